#!/usr/bin/env bash
# Installs the project's dependencies and builds the project in build/.
set -euo pipefail
cd "$(dirname "$0")/.."

PACKAGES=(
    g++ cmake ninja-build ccache git curl clang-format clang-tidy clang libclang-rt-14-dev spin
    libcaf-dev libboost-dev libboost-coroutine-dev libboost-context-dev libflatbuffers-dev flatbuffers-compiler
    libcli11-dev libspdlog-dev libfmt-dev nlohmann-json3-dev libxxhash-dev libsodium-dev zlib1g-dev
    libgtest-dev libgmock-dev libbenchmark-dev
)

missing=()
for package in "${PACKAGES[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    sudo=""
    [ "$(id -u)" -eq 0 ] || sudo="sudo"
    $sudo apt-get update -qq
    DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi

cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build build
