#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 and later. Needs the JDK only; run it after the build of the deploy
# file. Everything built lies in target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -Xlint:all -Xlint:-serial -d target/review-3 review/standin-3/*.java
