#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, from the packages and the library of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
packages=(libmicrohttpd log4cplus libxxhash libcurl absl_flat_hash_map absl_flat_hash_set absl_synchronization absl_time absl_strings absl_random_random)
read -r -a cflags <<< "$(pkg-config --cflags "${packages[@]}")"
read -r -a libs <<< "$(pkg-config --libs "${packages[@]}")"
compile() { g++ -std=c++20 -O1 -Wall -Wextra -I. "${cflags[@]}" "$@"; }
compile -c review/standins/cell.cpp -o "$out/cell.o"
for case in review/*/case.cpp; do
    name=$(basename "$(dirname "$case")")
    compile "$case" "$out/cell.o" target/libpaddlepier_core.a "${libs[@]}" -lpthread -o "$out/case-$name" &
    jobs+=("$!")
done
for job in "${jobs[@]}"; do
    wait "$job"
done
