#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/out/split_route ] || { echo "run review/build.sh first" >&2; exit 2; }
timeout -k 2 110 review/out/split_route review/3/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
