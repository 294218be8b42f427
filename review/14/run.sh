#!/usr/bin/env bash
# A core machine is replaced as planned, then another is lost. Exit: 1 broken, 0 held, 2 couldn't run. TROUBLE=0: neither.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/paddlepier ] && [ -x target/review-4/replacement ] || exit 2
exec target/review-4/replacement target/paddlepier review/14/record.txt
