#!/usr/bin/env bash
# Installs the packages, builds everything and runs every test.
# usage: Meta/test.sh [CTest arguments]
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-packages.sh
build="${BUILD_DIR:-Build}"
jobs="${JOBS:-$(nproc)}"
cmake -S . -B "$build" -G Ninja > /dev/null
ninja -C "$build" -j "$jobs" | tail -n 1
Meta/show-known-red.sh
ctest --test-dir "$build" --output-on-failure -j "$((jobs > 4 ? 4 : jobs))" "$@"
