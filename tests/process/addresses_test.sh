#!/usr/bin/env bash
# No two process tests use the same data centre's addresses, so that they can run side by side.
set -euo pipefail
cd "$(dirname "$0")"
dataCentresOf() { # script: the numbers that its fleet takes
    local base
    base=$(grep -o '\bBASE=[0-9]*' "$1" | cut -d= -f2)
    echo "$base"
    echo "$((base + 10))"
}
taken=$(for script in *_test.sh; do
    if grep -q '^TEST=.* BASE=' "$script"; then
        dataCentresOf "$script"
    fi
done | sort)
doubled=$(uniq -d <<<"$taken")
if [ -n "$doubled" ]; then
    echo "FAILED addresses: data centres used by two tests: $(tr '\n' ' ' <<<"$doubled")"
    exit 1
fi
echo "passed addresses"
