#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, in target/review-2/. Needs what the deploy file's
# build needs. The scripts start none of the project's own stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/*.cc; do
    g++ -std=c++17 -O1 -Wall -Wextra -o "target/review-2/$(basename "$source" .cc)" "$source" -pthread
done
