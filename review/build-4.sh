#!/usr/bin/env bash
# Builds the stand-ins of this review's cases into target/review-4/, with the packages of the deploy file alone.
# Run it after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-4
mkdir -p "$out"
for program in replacement; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "$out/$program" "review/standins-4/$program.cpp" review/standins-4/system.cpp
done
