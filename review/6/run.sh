#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -f target/review-2/ReplicaOutage.class -a -f target/celerywalk-gateway/gateway.jar || exit 2
timeout -k 2 115 java -Xmx512m -cp target/review-2 ReplicaOutage review/6
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
