#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/entry ] && [ -x target/review-stand ] || { echo "build first: the deploy file's build line and review/build.sh"; exit 2; }
exec target/review-stand waves "$here"
