#!/usr/bin/env bash
# Plays every day of deploy/days on the given site files with the users' bench, one line each; exits 1 if a rule is broken.
# usage: play_days.sh BENCH SITE...
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
shift
"$bench" build > /dev/null 2>&1
failed=0
for site in "$@"; do
    for day in deploy/days/*.toml; do
        report=$("$bench" run "$site" "$day" --jobs 1 --why "days of our own" 2>&1) || true
        broken=$(grep -m1 '^rules broken' <<< "$report" || true)
        worth=$(grep -m1 -o '^worth [-0-9.]*' <<< "$report" || echo "no worth")
        [ -z "$broken" ] && [ "$worth" != "no worth" ] || failed=1
        printf '%-18s %-14s %s  %s\n' "$(basename "$site" .toml)" "$(basename "$day" .toml)" "$worth" "${broken:-no rule broken}"
    done
done
exit "$failed"
