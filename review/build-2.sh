#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2; needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standins-2/*.java
