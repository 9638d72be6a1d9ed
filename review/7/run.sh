#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chicorystall ] && [ -x target/review-2/silence ] || { echo "build the deploy file and run review/build-2.sh first"; exit 2; }
exec target/review-2/silence target/chicorystall review/7
