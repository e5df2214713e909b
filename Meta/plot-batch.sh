#!/usr/bin/env bash
# Measures convergence time and control bytes at several values of distribution.batch_ms, and draws docs/batch-curve.svg.
# usage: Meta/plot-batch.sh BUILD_FOLDER OUTPUT_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
build="$1"
output="$2"
data="$output/batch-curve.tsv"
for batch in 0 20 100 500 2000; do
    plan="$output/plan-batch-$batch.json"
    sed "s/\"batch_ms\": *[0-9]*/\"batch_ms\": $batch/" Base/whitcombe/deployment.json > "$plan"
    timeout 300 "$build/bin/fuchsialab" run --json --seed=1 --plan="$plan" --experiment=convergence \
        > "$output/batch-$batch.json" 2> "$output/batch-$batch.log" &
done
wait
python3 Meta/batch-table.py "$output" > "$data"
cat "$data"
gnuplot << PLOT
set terminal svg size 720,420 font "sans,13"
set output "docs/batch-curve.svg"
set title "distribution.batch_ms: Whitcombe, 14 proxies"
set xlabel "convergence time of a single change, median (ms)"
set ylabel "control bytes a change in a burst of 50, mean proxy (B)"
set key off
set grid
plot "$data" using 2:3 with linespoints pt 7, "" using 2:3:(sprintf("%d ms", column(1))) with labels offset 3,0.8
PLOT
