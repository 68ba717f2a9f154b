#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 115 java -Xmx512m -cp target/review review.PlannedStops review/3
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
