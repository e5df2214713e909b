#!/usr/bin/env bash
# Writes docs/errors.md and docs/log-events.md from the tables in LibCore. Run it after adding a row.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-Build}"
cmake -S . -B "$build" -G Ninja > /dev/null
ninja -C "$build" document-tables > /dev/null
"$build/bin/document-tables" docs
