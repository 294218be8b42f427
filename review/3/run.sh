#!/usr/bin/env bash
# Runs the case on the deploy file's build, after review/build.sh: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the same runs without the disruption, and the rule must hold.
cd "$(dirname "$0")/../.." || exit 2
name=$(basename "$(dirname "$(realpath "${BASH_SOURCE[0]}")")")
program=target/review/case-$name
[ -x "$program" ] && [ -x target/paddlepier ] || { echo "build target/ and run review/build.sh first" >&2; exit 2; }
TROUBLE=${TROUBLE:-1} timeout --kill-after=2 115 "$program" "review/$name/record.txt"
status=$?
[ "$status" -le 2 ] && exit "$status"
exit 2
