#!/usr/bin/env bash
# Plays short days of the bench and prints one line a play: day, seed, verdict, figures, what broke.
#
#   deploy/short-days.sh BENCH SITE OUT LANES NODES DAY[,DAY...] SEED [SEED...]
#
# Runs from the root of a checkout that `build` of deploy/balancer.toml has been run in; LANES plays at once.
# A play ends within its bound and nothing goes on after the script. OUT keeps reports and controllers' logs.
set -euo pipefail
[ $# -ge 7 ] || { sed -n '2,7s/^# \{0,1\}//p' "$0" >&2; exit 2; }
bench=$1 site=$2 out=$3 lanes=$4 nodes=$5 days=$6
shift 6
seeds=("$@")
mkdir -p "$out"

play() {
    local bench=$1 site=$2 out=$3 nodes=$4 day=$5 seed=$6
    local at="$out/$(basename "$site" .toml)-$day-$nodes-$seed" code=0
    timeout --kill-after=10 900 "$bench" "$site" --rough "$day" --seed "$seed" --nodes "$nodes" --no-build \
        --logs "$at.logs" >"$at.txt" 2>&1 || code=$?
    local line verdict=passed why=""
    line=$(grep -E '^[a-z0-9+]+ +G -?[0-9]' "$at.txt" | tail -n 1) || true
    if [ -z "$line" ]; then
        printf '%-22s seed %-3s not played: exit %s: %s\n' "$day" "$seed" "$code" "$(tail -n 1 "$at.txt")"
        return
    fi
    if grep -qE 'RULE BROKEN|FAULT|[Cc]rash' "$at.txt"; then
        verdict=FAILED why=$(grep -E 'RULE BROKEN|FAULT|[Cc]rash' "$at.txt" | head -n 1)
    elif ! grep -q 'rules kept, no fault' "$at.txt"; then
        verdict=FAILED why=$(sed -n 3p "$at.txt")
    elif ! awk '{for (i = 1; i < NF; i++) {if ($i == "served") s = $(i + 1); if ($i == "(gate") g = $(i + 1) + 0}}
            END {exit !(g == "" || s >= g)}' <<<"$line"; then
        verdict=FAILED why="served below the gate"
    fi
    local starts
    starts=$(sed -n 's/^nodes: ready after \([0-9.]*\) s, restarts took \(.*\) s$/ready \1 \2/p' "$at.txt")
    printf '%-22s seed %-3s %s  %s  %s  %s\n' "$day" "$seed" "$verdict" "${line#* }" "$starts" "$why"
}
export -f play
for day in ${days//,/ }; do
    for seed in "${seeds[@]}"; do
        printf '%s\0%s\0' "$day" "$seed"
    done
done | xargs -0 -n 2 -P "$lanes" bash -c 'play "$@"' play "$bench" "$site" "$out" "$nodes"
