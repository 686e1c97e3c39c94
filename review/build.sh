#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs without dependencies, so it only checks that they
# can be run: review/standins/fleet.py holds the store, the upstreams and the clients of all cases.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1
export PYTHONDONTWRITEBYTECODE
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || { echo "Python 3.8 or newer is needed"; exit 1; }
for file in standins/fleet.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
