#!/bin/sh
# Plays the case forgotten. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
test -x target/chicorystall && test -x target/stand-3 || { echo "build first: the build line of deploy/system.toml and review/build-3.sh"; exit 2; }
target/stand-3 -case forgotten -program target/chicorystall -record review/14/record.txt
