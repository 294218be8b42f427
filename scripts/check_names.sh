#!/usr/bin/env bash
# Checks that the platform's names stay in platform/, that the product doesn't include it, and that it stays small.
set -euo pipefail
cd "$(dirname "$0")/.."
names='last_seen|run-start|run-stop|machine-upkeep|requested_memory_mb|fencing_token|task_spec|last_checkpoint|anti_affinity|long_running|heartbeat_address|drain_remaining_ms|api_keys|Api-Key|Paddlepier-(Duty|Fencing|Expected-Instance|Deadline-Remaining)'
# These play the platform against the real programs; nothing but tests may include them.
players=(':!testing/soak' ':!testing/platformworkers.*')
if git grep -nE "$names" -- 'paddlepier/*.h' 'paddlepier/*.cpp' 'testing/*.h' 'testing/*.cpp' "${players[@]}"; then
    echo "names of the platform outside platform/" >&2
    exit 1
fi
if git grep -nE '#include "platform/' -- 'paddlepier' 'testing' "${players[@]}"; then
    echo "the product includes the platform's adapter" >&2
    exit 1
fi
if git grep -nE '#include "testing/' -- 'paddlepier' 'platform' ':!*_test.cpp'; then
    echo "the product includes what only tests need" >&2
    exit 1
fi
lines=$(git ls-files 'platform/*.h' 'platform/*.cpp' | grep -v _test | xargs cat | wc -l)
[ "$lines" -lt 1560 ] || { echo "platform/ has $lines lines; it translates and stays under 1560" >&2; exit 1; }
echo "names: platform/ has $lines lines, nothing outside knows its words"
