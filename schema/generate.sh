#!/usr/bin/env bash
# Regenerates the committed C++ of the schema files. Needs flatc (Debian: flatbuffers-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
for name in api ledger peer workload; do
    embed=()
    [ "$name" = api ] && embed=(--bfbs-gen-embed)
    # The field names follow this project's style; flatc's advice on snake_case is left out of the output.
    flatc --cpp --scoped-enums --gen-object-api --cpp-std c++17 --no-prefix --gen-name-strings "${embed[@]}" \
          -o paddlepier/wire -I schema "schema/$name.fbs" 2>&1 | grep -v -e 'snake_case' -e '^warning:' -e '^ *$' || true
done
