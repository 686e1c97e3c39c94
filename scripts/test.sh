#!/usr/bin/env bash
# Installs the dependencies, builds, and runs all tests except the known failures in KNOWN-RED.txt, which it prints.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
echo "setup and build took $SECONDS s"
exclude=""
if [ -f KNOWN-RED.txt ]; then
    names=$(grep -E '^test: ' KNOWN-RED.txt | sed 's/^test: //' | paste -sd'|' || true)
    if [ -n "$names" ]; then
        exclude="^(${names})$"
    fi
    echo "known red, not run:"
    cat KNOWN-RED.txt
fi
ctest --test-dir build --output-on-failure -j 4 ${exclude:+-E "$exclude"}
