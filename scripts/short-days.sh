#!/usr/bin/env bash
# Lists the simulated days in the journal whose score was below a required minimum. The output of a hunt does not
# show them, because a hunt prints violated rules only.
set -euo pipefail
cd "$(dirname "$0")/.."
for entry in journal/*.json; do
    grep '"short":\["' "$entry" \
        | sed -E 's/^.*\{"G":[^,]*,"name":"([^"]*)".*"short":\[([^]]*)\].*$/\1: \2/; s/","/; /g; s/"//g' \
        | sed "s|^|${entry#journal/}  |" || true
done
