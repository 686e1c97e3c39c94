#!/usr/bin/env bash
# Checks formatting with clang-format and the code with clang-tidy.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.h' '*.cpp' | grep -v '/generated/')
clang-format --dry-run -Werror "${files[@]}"
# clang-tidy cannot read GCC's precompiled headers, so it gets a build tree without them.
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON -DCMAKE_CXX_COMPILER=g++ >/dev/null
git ls-files '*.cpp' | grep -v -E '/generated/|/test/' | xargs -P 5 -n 1 clang-tidy -p build-lint --quiet 2>/dev/null
echo "lint: clean"
