#!/usr/bin/env bash
# Measures a cell of real processes on loopback. usage: measure.sh BUILD-FOLDER [quick] [starts] [failover] [configuration] [idle]
set -euo pipefail
exec "$1/testing/measure" "$@"
