#!/usr/bin/env bash
# Hosts drain while answers to calls with allow_stale=1 are as old as the pages let them be.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption
# out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chivemast-edge ] && [ -x target/review/standin ] || { echo "not built"; exit 2; }
exec target/review/standin stale-watch review/5
