#!/usr/bin/env bash
# Builds the embedding example against an installed tree and runs it, and checks the example settings.
set -euo pipefail
cd "$(dirname "$0")/../.."
OUT=$PWD/out/tests/embedding
rm -rf "$OUT"
mkdir -p "$OUT"
cmake --install build --prefix "$OUT/installed" >/dev/null
cmake -S examples/embedding -B "$OUT/build" -G Ninja -DCMAKE_PREFIX_PATH="$OUT/installed" >/dev/null
cmake --build "$OUT/build" >/dev/null
"$OUT/build/embedding"
for settings in examples/*/node.json; do
    "$OUT/installed/bin/mustardpond" --check-settings "$settings"
done
"$OUT/installed/bin/mustardpond" --version
echo "passed embedding"
