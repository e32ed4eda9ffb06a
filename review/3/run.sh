#!/bin/sh
# Plays case 3 (claim.txt); TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pipitspool-node ] && [ -x review/bin/case3 ] || { echo "not built"; exit 2; }
exec review/bin/case3 review/3/record.txt
