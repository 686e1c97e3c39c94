#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, in target/review-3/. It needs the C++ compiler
# and nlohmann-json3-dev, both packages of the deploy file's build, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=target/review-3
mkdir -p "$OUT"
for program in store upstream client silentproxy fetch; do
    g++ -std=c++17 -O2 -Wall -Wextra -pthread "review/standins-3/$program.cxx" -o "$OUT/$program"
done
echo "built the stand-ins in $OUT"
