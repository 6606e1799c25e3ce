#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts into target/review-standins; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-standins
mkdir -p target/review-standins
javac -d target/review-standins review/standins/review/*.java
