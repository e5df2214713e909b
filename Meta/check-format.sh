#!/usr/bin/env bash
# Checks that clang-format would change nothing. With --fix it rewrites the files.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
if [ "${1:-}" = "--fix" ]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run --Werror "${files[@]}"
fi
