#!/usr/bin/env bash
# Lists the days of the journal that earned less than a floor. A hunt prints broken rules only.
set -euo pipefail
cd "$(dirname "$0")/.."
for entry in journal/*.json; do
    grep '"short":\["' "$entry" \
        | sed -E 's/^.*\{"G":[^,]*,"name":"([^"]*)".*"short":\[([^]]*)\].*$/\1: \2/; s/","/; /g; s/"//g' \
        | sed "s|^|${entry#journal/}  |" || true
done
