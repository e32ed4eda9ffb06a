#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pipitspool-node ] && [ -x review/standins-2/bin/case-5 ] || exit 2
exec timeout -k 5 115 review/standins-2/bin/case-5
