#!/usr/bin/env bash
# Runs all benchmarks; JSON goes to BUILD/bench/. usage: bench.sh BUILD-FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
mkdir -p "$build/bench"
(cd "$build/bench" && ../testing/benchmarks --benchmark_out=micro.json --benchmark_out_format=json)
scripts/measure.sh "$build" | tee "$build/bench/cell.txt"
