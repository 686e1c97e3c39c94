#!/usr/bin/env bash
# Checks that names of the platform's wire protocol are used in platform/ and deploy/ only.
set -euo pipefail
cd "$(dirname "$0")/../.."
names='Mustardpond-(Request-Id|Timeout-Ms|Target-Instance|Response-Seal|Caller-Service|Not-Executed|Server-Load|Instance-Id)'
names+='|weighted_split|target_latency_s|path_prefix|cold_remaining_s|/instances/|current_rev|max_header_bytes|app_addr'
if grep -rnE "$names" packages examples --include=*.cpp --include=*.h --include=*.json --include=*.fbs; then
    echo "FAILED names: names of the platform's wire protocol found outside platform/ and deploy/"
    exit 1
fi
echo "names: clean"
