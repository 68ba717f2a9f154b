#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the late orders and the crash.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f target/review-3/RestartCase.class ] || { echo "run review/build-3.sh first"; exit 2; }
exec java -Xmx200m -cp target/review-3 RestartCase "$folder/record.txt"
