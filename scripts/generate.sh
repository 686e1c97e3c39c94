#!/usr/bin/env bash
# Regenerates the committed FlatBuffers header from packages/wire/frames.fbs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p packages/wire/include/wire/generated
flatc --cpp --gen-object-api --scoped-enums --cpp-std c++17 \
    -o packages/wire/include/wire/generated packages/wire/frames.fbs
