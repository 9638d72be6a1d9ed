#!/bin/sh
# Plays the case forgotten; claim.txt has the rule and the limits.
#
# TROUBLE=0 leaves out the crashes by the deadly part and the kills of the processes.
# Everything else, with the requests that have that part, stays the same, and the rule must hold.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
test -x target/chicorystall && test -x target/stand-3 || { echo "build first: the build line of deploy/system.toml and review/build-3.sh"; exit 2; }
exec target/stand-3 -case forgotten -program target/chicorystall -record review/14/record.txt
