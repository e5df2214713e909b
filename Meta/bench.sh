#!/usr/bin/env bash
# Installs the packages, builds and runs the benchmarks, and checks the figures against the bounds of docs/design.md.
# Measure while nothing else builds: the processor shares of the report are times.
# usage: Meta/bench.sh
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-packages.sh
build="${BUILD_DIR:-Build}"
jobs="${JOBS:-3}"
output="$build/bench"
repetitions="${REPETITIONS:-3}"
cmake -S . -B "$build" -G Ninja -DFUCHSIASTEP_BENCHMARKS=ON > /dev/null
ninja -C "$build" -j "$jobs" | tail -n 1
mkdir -p "$output"
rm -f "$output"/*.json
for program in "$build"/bin/benchmark-*; do
    name="$(basename "$program")"
    echo "running $name"
    timeout 300 "$program" --benchmark_out="$output/$name.json" --benchmark_out_format=json \
        --benchmark_repetitions="$repetitions" > "$output/$name.log" 2>&1 \
        || { echo "$name failed:" >&2; tail -n 20 "$output/$name.log" >&2; exit 1; }
done
# FIXME: give each experiment its own arguments once the flags of fuchsialab are settled.
if [ -x "$build/bin/fuchsialab" ]; then
    echo "running fuchsialab"
    timeout 600 "$build/bin/fuchsialab" > "$output/lab-fuchsialab.json"
fi
python3 Meta/bench-report.py "$output"
