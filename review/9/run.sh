#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mustardpond ] && [ -x target/review-2/era ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -s KILL 115 target/review-2/era "$folder" review/9/record.txt "${TROUBLE:-1}"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
