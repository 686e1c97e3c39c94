#!/usr/bin/env bash
# Fuzzes the frames exchanged between processes with libFuzzer, AddressSanitizer and UndefinedBehaviorSanitizer. Does
# a bounded number of runs, given as the argument, with a fixed seed. scripts/setup.sh installs the dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
RUNS=${1:-200000}
OUT=out/fuzz
rm -rf "$OUT"
mkdir -p "$OUT/seeds"
FLAGS=(-std=c++17 -O1 -g -fsanitize=address,undefined -fno-sanitize-recover=undefined)
for package in foundation wire decision config membership; do
    FLAGS+=(-Ipackages/$package/include)
done
FLAGS+=(-DSPDLOG_FMT_EXTERNAL)
SOURCES=(packages/foundation/src/random.cpp packages/wire/src/*.cpp packages/decision/src/operationid.cpp
    packages/decision/src/configfreshness.cpp
    packages/config/src/objecttable.cpp packages/membership/src/*.cpp)
clang++ "${FLAGS[@]}" packages/membership/fuzz/seeds_main.cpp packages/wire/src/*.cpp -lfmt -lz -o "$OUT/seeds-writer"
"$OUT/seeds-writer" "$OUT/seeds"
clang++ "${FLAGS[@]}" -fsanitize=fuzzer packages/membership/fuzz/frames_fuzz.cpp "${SOURCES[@]}" -lfmt -lxxhash -lz -o "$OUT/frames-fuzz"
"$OUT/frames-fuzz" -seed=1 -runs="$RUNS" -max_len=4096 -timeout=10 -artifact_prefix="$OUT/" "$OUT/seeds" 2>"$OUT/log" || {
    tail -40 "$OUT/log"
    echo "FAILED: fuzz: see $OUT"
    exit 1
}
grep -E 'DONE|Done' "$OUT/log"
