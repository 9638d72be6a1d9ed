#!/usr/bin/env bash
# Runs this case; see claim.txt. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/stand ] && [ -x target/chicorystall ] || { echo 'not built' >&2; exit 2; }
exec review/bin/stand -case leaving-worker -dir review/5 -root .
