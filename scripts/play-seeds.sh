#!/usr/bin/env bash
# play-seeds.sh FLEETBENCH WHY SEEDS SITE...: plays every standard day of each site with each seed of
# the list ("1 2") and prints a table: day, seed, worth, share served, the share that was refused and
# that failed, and the broken rules. The last line of a site is the mean worth of its days with trouble.
# DAYS="scale-1 scale-2" bounds the days; JOBS bounds how many are played at a time.
set -eu
bench=${1:?the bench}
why=${2:?why it is played}
seeds=${3:?the seeds}
shift 3
cd "$(dirname "$0")/.."
export bench why
play() {
    out=$("$bench" run "$1" "$2" --seed "$3" --jobs 1 --why "$why: $2, seed $3" 2>&1) || true
    line=$(printf '%s\n' "$out" | grep -E "^$2 " | head -1)
    [ -n "$line" ] || line="$2 - - - - - - not played: $(printf '%s\n' "$out" | tail -1)"
    printf '%s\n' "$line" | awk -v site="$(basename "$1" .toml)" -v seed="$3" '{
        broken = match($0, /BROKEN.*/) ? substr($0, RSTART) : ""
        if ($4 == "-") broken = $0
        printf "| %s | %s | %s | %s | %s | %s | %s | %s |\n", site, $1, seed, $4, $5, $6, $7, broken
    }'
}
export -f play
"$bench" build >/dev/null 2>&1 || true
echo "| site | day | seed | worth | served | refused | failed | broken rules |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- |"
for site in "$@"; do
    days=${DAYS:-$(sed -n 's/^name = "\(\(quiet\|trouble\|scale\)-[0-9]*\)"$/\1/p' "$site")}
    rows=$(for day in $days; do
        for seed in $seeds; do
            printf '%s\0%s\0%s\0' "$site" "$day" "$seed"
        done
    done | xargs -0 -n 3 -P "${JOBS:-4}" bash -c 'play "$@"' play | sort)
    printf '%s\n' "$rows"
    printf '%s\n' "$rows" | awk '$4 !~ /quiet/ && $8 != "-" { sum += $8; n++ }
        END { if (n) printf "| %s | mean with trouble | | %.3f | | | | |\n", $2, sum / n }'
done
