#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the second review with the JDK alone. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java
