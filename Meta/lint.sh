#!/usr/bin/env bash
# Runs clang-tidy. Without arguments: over every source file; else over the given ones.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${LINT_DIR:-Build-lint}"
# The linter cannot read the precompiled headers of g++.
cmake -S . -B "$build" -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON > /dev/null
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp')
fi
printf '%s\n' "${files[@]}" | xargs -P "${JOBS:-$(nproc)}" -n 2 clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option --warnings-as-errors='*' 2> /dev/null
