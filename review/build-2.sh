#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are Python programs that use the standard library only, so that this
# checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX="$(mktemp -d)" python3 -m py_compile lab-2/lab2.py [6-9]/case.py 1[0-9]/case.py
echo "the stand-ins of the second review are ready"
