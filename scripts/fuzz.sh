#!/usr/bin/env bash
# Runs the randomised proofs from a new seed, many times longer than CI does. usage: fuzz.sh BUILD-FOLDER [FACTOR [BASE]]
set -euo pipefail
build=$1
export PADDLEPIER_SCENARIO_FACTOR=${2:-20}
export PADDLEPIER_SCENARIO_BASE=${3:-$(( $(date +%s) % 100000000 * 1000 ))}
export RC_PARAMS="seed=$PADDLEPIER_SCENARIO_BASE max_success=$((100 * PADDLEPIER_SCENARIO_FACTOR)) max_size=80"
echo "again with: $0 $build $PADDLEPIER_SCENARIO_FACTOR $PADDLEPIER_SCENARIO_BASE"
exec "$build/testing/unit_tests" "[fuzz]"
