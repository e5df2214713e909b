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
# One experiment after the other: each starts a whole fleet of processes.
experiment() {
    local name="$1"
    shift
    echo "running fuchsialab $*"
    timeout 300 "$build/bin/fuchsialab" run --json --seed=1 "$@" > "$output/lab-$name.json" 2> "$output/lab-$name.log" \
        || { echo "fuchsialab $name failed:" >&2; tail -n 5 "$output/lab-$name.log" >&2; exit 1; }
}
if [ "${SKIP_LAB:-}" != 1 ]; then
    experiment direct --plan=Base/cork/deployment.json --experiment=direct
    experiment readers --plan=Base/cork/deployment.json --experiment=readers
    experiment convergence-whitcombe --plan=Base/whitcombe/deployment.json --experiment=convergence
    experiment convergence-cork --plan=Base/cork/deployment.json --experiment=convergence
    for proxies in 50 100 200; do
        experiment "convergence-$proxies" --plan=Base/cork/deployment.json --experiment=convergence --proxies="$proxies"
        experiment "naive-$proxies" --plan=Base/cork/deployment.json --experiment=naive --proxies="$proxies"
    done
    Meta/plot-batch.sh "$build" "$output"
fi
python3 Meta/bench-report.py "$output"
