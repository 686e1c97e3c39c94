#!/usr/bin/env bash
# Checks formatting with clang-format and the code with clang-tidy. The sources of a library are checked as units of
# several files, so that the headers that they share are parsed once a unit instead of once a file.
set -euo pipefail
cd "$(dirname "$0")/.."
UNIT_FILES=9
JOBS=${JOBS:-$(nproc)}
OUT=out/lint
rm -rf "$OUT"
mkdir -p "$OUT"
mapfile -t files < <(git ls-files '*.h' '*.cpp' | grep -v '/generated/')
clang-format --dry-run -Werror "${files[@]}"
# The units include sources, so that bugprone-suspicious-include is off there and this takes its place.
if grep -n -E '^ *# *include *["<].*\.(c|cc|cpp|cxx)[">]' "${files[@]}"; then
    echo "FAILED: a source file is included: include its header"
    exit 1
fi

# clang-tidy cannot read GCC's precompiled headers, so it gets build trees without them.
configure() { # build-tree options...
    local tree=$1
    shift
    cmake -S . -B "$tree" -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON -DCMAKE_CXX_COMPILER=g++ "$@" >/dev/null
}
configure build-lint
configure build-lint-units -DCMAKE_UNITY_BUILD=ON -DCMAKE_UNITY_BUILD_BATCH_SIZE="$UNIT_FILES"

unitsOfSources() { # prints the units that contain no tests
    find build-lint-units -path '*.dir/Unity/unity_*_cxx.cxx' ! -path '*_test.dir/*'
}
filesOf() { # unit: prints its files, relative to the root
    grep -o '"/[^"]*\.cpp"' "$1" | tr -d '"' | sed "s|^$PWD/||"
}
checkFile() { clang-tidy -p build-lint --quiet "$1" 2>/dev/null; }
checkUnit() { # unit
    local log file
    log=$OUT/$(tr / _ <<<"$1").log
    # The files of a unit are not its main file, so they are added to the files whose warnings count.
    clang-tidy -p build-lint-units --quiet --checks=-bugprone-suspicious-include --header-filter="$FILTER" "$1" >"$log" 2>/dev/null && return 0
    if ! grep -q 'clang-diagnostic-error' "$log"; then
        cat "$log"
        return 1
    fi
    # Files that define the same name cannot form a unit.
    for file in $(filesOf "$1"); do
        checkFile "$file" || return 1
    done
}
FILTER="$(sed -n "s/^HeaderFilterRegex: '\(.*\)'$/\1/p" .clang-tidy)|$PWD/(packages|platform)/.*\.cpp$"
export OUT FILTER
export -f checkFile checkUnit filesOf

mapfile -t units < <(unitsOfSources)
mapfile -t checkedInUnits < <(for unit in "${units[@]}"; do filesOf "$unit"; done)
mapfile -t others < <(git ls-files '*.cpp' | grep -v -E '/generated/|/test/' |
    grep -v -x -F -f <(printf '%s\n' "${checkedInUnits[@]}"))
{
    printf 'checkUnit %s\n' "${units[@]}"
    printf 'checkFile %s\n' "${others[@]}"
} | xargs -P "$JOBS" -I{} bash -c '{}'
echo "lint: clean (${#checkedInUnits[@]} files in ${#units[@]} units, ${#others[@]} files one by one)"
