#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3/, against the packages of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in reborn withdrawal filling; do
    g++ -std=c++20 -O2 -Wall -Wextra -o "target/review-3/$program" "review/standins-3/$program.cpp" \
        review/standins-3/cell.cpp review/standins-3/minion.cpp review/standins-3/wire.cpp -pthread &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done
