#!/usr/bin/env bash
# Checks format and lints; a unit is linted again only if it or a file that it includes has changed since.
# usage: lint.sh BUILD-FOLDER (built before, since the list of included files comes from the build)
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
lint=$build/lint
mapfile -t sources < <(git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v _generated)
clang-format --dry-run --Werror "${sources[@]}"
echo "clang-format: ${#sources[@]} files clean"
# The linter doesn't read the compiler's precompiled headers; it gets the same commands without them.
mkdir -p "$lint/clean"
sed -e 's/ -Winvalid-pch//g' -e 's/ -include [^ ]*cmake_pch.hxx//g' "$build/compile_commands.json" > "$lint/compile_commands.json"
ninja -C "$build" -t deps > "$lint/deps"
root=$(pwd)
export lint root

lint_unit() {
    local unit=$1 stamp
    stamp=$(awk -v unit="$unit.o:" -v root="$root/" '
        /^[^ ]/ { inside = index($1, unit) && index($1, unit) == length($1) - length(unit) + 1 }
        inside && /^ / && index($1, root) == 1 && $1 !~ /\/build/ { print $1 }' "$lint/deps" | sort -u |
        cat - <(printf '%s\n' "$root/.clang-tidy" "$root/$unit") | xargs sha256sum | sha256sum | cut -d' ' -f1)
    [ -e "$lint/clean/$stamp" ] && return 0
    clang-tidy -p "$lint" --quiet "$unit" 2> >(grep -v 'warnings generated' >&2) && touch "$lint/clean/$stamp"
}
export -f lint_unit

mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_unit {}'
echo "clang-tidy: ${#units[@]} units clean"
