#!/usr/bin/env python3
"""Prints the source files, of those given, that clang-tidy has not passed yet in their present state.

A file's state is its content, the content of every project header that it includes, the rules, the compile commands and
the versions of the installed packages. Each line has the file and the path that is to be created once it has passed.
"""

import hashlib
import os
import re
import subprocess
import sys

CACHE = os.path.join(os.environ.get("XDG_CACHE_HOME", os.path.expanduser("~/.cache")), "fuchsiastep-lint")
INCLUDE = re.compile(r'^\s*#\s*include\s*[<"]([^>"]+)[>"]', re.MULTILINE)
ROOTS = [".", "Libraries", "Services", "Utilities", "Tests"]


def read(path):
    with open(path, "rb") as file:
        return file.read()


def output_of(*command):
    return subprocess.run(command, check=True, capture_output=True).stdout


def environment():
    build_files = output_of("git", "ls-files", "CMakeLists.txt", "*/CMakeLists.txt").decode().split()
    parts = [output_of("dpkg-query", "-W")]
    parts += [read(path) for path in [".clang-tidy", "Meta/Targets.cmake", "Meta/lint.sh", *build_files]]
    return hashlib.sha256(b"\0".join(parts)).digest()


def included(path, known):
    if path not in known:
        names = INCLUDE.findall(read(path).decode())
        options = [os.path.join(root, name) for name in names for root in [os.path.dirname(path), *ROOTS]]
        known[path] = {os.path.normpath(option) for option in options if os.path.isfile(option)}
    return known[path]


def state(path, known, base):
    reached, pending = set(), [path]
    while pending:
        current = pending.pop()
        if current not in reached:
            reached.add(current)
            pending.extend(included(current, known))
    digest = hashlib.sha256(base)
    for name in sorted(reached):
        digest.update(name.encode() + b"\0" + hashlib.sha256(read(name)).digest())
    return digest.hexdigest()


def main():
    os.makedirs(CACHE, exist_ok=True)
    known, base = {}, environment()
    for path in sys.argv[1:]:
        entry = os.path.join(CACHE, state(os.path.normpath(path), known, base))
        if not os.path.exists(entry):
            print(path, entry)


if __name__ == "__main__":
    main()
