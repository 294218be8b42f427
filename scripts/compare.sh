#!/usr/bin/env bash
# Plays the same days with the same seeds on two commits and prints the paired differences of worth.
# usage: compare.sh BENCH BEFORE AFTER SEEDS SITE...        (BEFORE, AFTER: commits; SEEDS: how many seeds a day)
# PLAYS=n: days played at a time (default: all processors but two); DAYS="a b": these days only; WHY: the journal's line.
#
# Each commit is built in a clean clone. For every site: mean difference of worth over all pairs and its standard error, the same
# for each kind of request and for the worst windows; "no difference" stands where the mean is under two standard errors. Journal
# entries of the plays are copied into journal/. A side that was played before with the same days is taken from COMPARE_CACHE
# (default /tmp/paddlepier-compare), since a day's play repeats but for processor time.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$(pwd)
bench=$1 before=$(git rev-parse "$2") after=$(git rev-parse "$3") seeds=$4
shift 4
cache=${COMPARE_CACHE:-/tmp/paddlepier-compare}
plays=${PLAYS:-$(( $(nproc) - 2 ))}
export bench cache WHY=${WHY:-paired comparison}

clone_of() {
    local clone=$cache/$1/main
    if [ ! -e "$clone/.built" ]; then
        rm -rf "$clone" && mkdir -p "$cache/$1" && git clone -q "$root" "$clone" && git -C "$clone" checkout -q "$1"
        rm -f "$clone"/journal/*.json
        (cd "$clone" && "$bench" build > /dev/null) && touch "$clone/.built"
    fi
}

days_of() {
    echo "${DAYS:-$(sed -n '/^\[\[day/,$ s/^name = "\(.*\)"/\1/p' "$1") mix}"
}

# Plays one day unless its report is there already.
play() {
    local commit=$1 site=$2 day=$3 seed=$4
    local report=$cache/$commit/$(basename "$site" .toml).$day.$seed
    [ -s "$report" ] && return 0
    cd "$cache/$commit/main"
    "$bench" run "$site" "$day" --seed "$seed" --jobs 1 --why "$WHY" > "$report.part" 2>&1 || true
    mv "$report.part" "$report"
}
export -f play

clone_of "$before"
clone_of "$after"
for site in "$@"; do
    for day in $(days_of "$site"); do
        for seed in $(seq "$seeds"); do
            printf '%s %s %s %s\n' "$before" "$site" "$day" "$seed" "$after" "$site" "$day" "$seed"
        done
    done
done | xargs -P "$plays" -L 1 bash -c 'play "$@"' play
for commit in "$before" "$after"; do
    cp -n "$cache/$commit/main"/journal/*.json journal/ 2> /dev/null || true
done

for site in "$@"; do
    name=$(basename "$site" .toml)
    for day in $(days_of "$site"); do
        for seed in $(seq "$seeds"); do
            awk -v pair="$day.$seed" -v day="$day" '
                FNR == 1 { side++ }
                /^worth / { print pair, side, "worth", $2; split($0, part, "worst windows "); split(part[2], windows, " "); print pair, side, "worst-windows", windows[1] }
                /^rules broken/ { print pair, side, "BROKEN", 1; print "  " day, "side", side, $0 > "/dev/stderr" }
                /^class  / { inside = 1; next }
                /^$/ { inside = 0 }
                inside { print pair, side, $1, $8 }
            ' "$cache/$before/$name.$day.$seed" "$cache/$after/$name.$day.$seed"
        done
    done | awk -v site="$name" '
        { value[$1, $2, $3] = $4; pairs[$1]; kinds[$3] }
        END {
            print site
            for (kind in kinds) {
                n = sum = squares = first = 0
                for (pair in pairs) {
                    if (!((pair, 1, kind) in value) || !((pair, 2, kind) in value)) continue
                    difference = value[pair, 2, kind] - value[pair, 1, kind]
                    n++; sum += difference; squares += difference * difference; first += value[pair, 1, kind]
                }
                if (n < 2) { printf "  %-16s in %d pairs only\n", kind, n; continue }
                mean = sum / n
                error = sqrt((squares - n * mean * mean) / (n - 1) / n)
                verdict = (mean > 2 * error || mean < -2 * error) ? "" : "  no difference"
                printf "  %-16s %3d pairs  before %.4f  after %.4f  difference %+.4f +- %.4f%s\n", kind, n, first / n, first / n + mean, mean, error, verdict
            }
        }' | sort -k1,1
done
