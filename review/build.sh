#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/standin/*.java
