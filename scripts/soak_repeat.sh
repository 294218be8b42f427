#!/usr/bin/env bash
# Plays seeds of the soak many times and counts what held: a seed fixes the plan of faults, not the times of the processes.
#
#     scripts/soak_repeat.sh BUILD PLAYS JOBS BUSY SEED... [-- OPTIONS OF THE SOAK]
#
# JOBS plays run at the same time, beside BUSY processes that each occupy a processor. Prints the result of each play, and then one line a seed.
set -euo pipefail
build=$1 plays=$2 jobs=$3 busy=$4
shift 4
seeds=()
while [ $# -gt 0 ] && [ "$1" != -- ]; do
    seeds+=("$1")
    shift
done
[ $# -eq 0 ] || shift
results=$(mktemp)
busy_pids=()
trap '[ ${#busy_pids[@]} -eq 0 ] || kill "${busy_pids[@]}" 2>/dev/null || true; rm -f "$results"' EXIT
for ((number = 0; number < busy; ++number)); do
    (while :; do :; done) &
    busy_pids+=($!)
done
for ((play = 0; play < plays; ++play)); do
    printf '%s\n' "${seeds[@]}"
done | xargs -P "$jobs" -I SEED bash -c '"$0" --programs "$1" --seed SEED "${@:2}" 2>/dev/null | grep -v "^1 seeds" || true' \
    "$build/testing/soak" "$build" "$@" | tee "$results"
for seed in "${seeds[@]}"; do
    echo "$seed: $(grep -c "^seed $seed: held" "$results" || true) of $plays held"
done
