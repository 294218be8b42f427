#!/usr/bin/env bash
# Checks format and lints. usage: lint.sh BUILD-FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
mapfile -t sources < <(git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v _generated)
clang-format --dry-run --Werror "${sources[@]}"
echo "clang-format: ${#sources[@]} files clean"
# The linter doesn't read the compiler's precompiled headers; it gets the same commands without them.
mkdir -p "$build/lint"
sed -e 's/ -Winvalid-pch//g' -e 's/ -include [^ ]*cmake_pch.hxx//g' "$build/compile_commands.json" > "$build/lint/compile_commands.json"
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build/lint" --quiet 2> "$build/lint/stderr.log" || {
    grep -v 'warnings generated' "$build/lint/stderr.log" || true
    exit 1
}
echo "clang-tidy: ${#units[@]} files clean"
