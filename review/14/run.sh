#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3 ] && [ -x target/entry ] || exit 2
exec target/review3 -case withdraw -entry target/entry -record review/14/record.txt
