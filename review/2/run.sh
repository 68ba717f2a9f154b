#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 110 java -Xmx512m -cp target/review review.SpoiltHeads review/2
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
