#!/usr/bin/env bash
# Checks that no two process tests use the addresses of the same data centre, because ctest runs them in parallel.
set -euo pipefail
cd "$(dirname "$0")/../.."
dataCentresOf() { # script: prints the numbers of its fleet's data centres
    local base
    base=$(grep -o '\bBASE=[0-9]*' "$1" | cut -d= -f2)
    echo "$base"
    echo "$((base + 10))"
}
used=$(for script in tests/process/*_test.sh platform/test/*_test.sh; do
    if grep -q '^TEST=.* BASE=' "$script"; then
        dataCentresOf "$script"
    fi
done | sort)
duplicates=$(uniq -d <<<"$used")
if [ -n "$duplicates" ]; then
    echo "FAILED addresses: data centres used by two tests: $(tr '\n' ' ' <<<"$duplicates")"
    exit 1
fi
echo "passed addresses"
