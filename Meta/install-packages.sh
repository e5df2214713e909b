#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests, the linters and the benchmarks need.
set -euo pipefail
packages=(
    g++ ccache cmake ninja-build pkg-config clang-format clang-tidy clang-tools python3 curl git
    libglib2.0-dev libmsgpack-cxx-dev libboost-dev libsoup-3.0-dev nlohmann-json3-dev
    libabsl-dev liblog4cxx-dev libcppunit-dev libbenchmark-dev valgrind gnuplot-nox
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2> /dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    sudo=""
    [ "$(id -u)" -eq 0 ] || sudo="sudo"
    $sudo apt-get update -qq
    $sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
fi
