#!/usr/bin/env bash
# Runs clang-tidy. Without arguments: over every source file; else over the given ones. Files that passed before in the
# same state are left out; FUCHSIASTEP_LINT_ALL=1 runs over them as well.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${LINT_DIR:-Build-lint}"
# The linter cannot read the precompiled headers of g++.
cmake -S . -B "$build" -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON -DCCACHE=CCACHE-NOTFOUND > /dev/null
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp')
fi
if [ "${FUCHSIASTEP_LINT_ALL:-0}" = 1 ]; then
    mapfile -t pending < <(printf '%s /dev/null\n' "${files[@]}")
else
    mapfile -t pending < <(Meta/lint-cache.py "${files[@]}")
fi
echo "${#pending[@]} of ${#files[@]} files to lint"
[ "${#pending[@]}" -gt 0 ] || exit 0
printf '%s\n' "${pending[@]}" | xargs -P "${JOBS:-$(nproc)}" -n 2 sh -c '
    clang-tidy -p "$0" --quiet --extra-arg=-Wno-unknown-warning-option --warnings-as-errors="*" "$1" 2> /dev/null &&
        touch "$2"' "$build"
