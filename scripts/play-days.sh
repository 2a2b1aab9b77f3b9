#!/usr/bin/env bash
# play-days.sh FLEETBENCH SITE [DAY.toml...]: plays the days of test/days on a site of the users'
# bench and prints a table: day, worth, share served, and the rules that were broken.
# JOBS bounds how many are played at a time.
set -eu
bench=${1:?the bench}
site=${2:?the site file}
shift 2
cd "$(dirname "$0")/.."
[ $# -gt 0 ] || set -- test/days/*.toml
export bench site
play() {
    day=$(basename "$1" .toml)
    out=$("$bench" run "$site" "$1" --why "matrix of troubles: $day" 2>&1) || true
    line=$(printf '%s\n' "$out" | grep -E "^$day " | head -1)
    worth=$(printf '%s\n' "$line" | awk '{print $4}')
    served=$(printf '%s\n' "$line" | awk '{print $5}')
    weakest=$(printf '%s\n' "$line" | sed -E 's/^([^ ]+ +){7}//; s/; prices.*BROKEN/ BROKEN/; s/; prices.*//')
    [ -n "$line" ] || weakest="not played: $(printf '%s\n' "$out" | tail -1)"
    printf '| %s | %s | %s | %s |\n' "$day" "$worth" "$served" "$weakest"
}
export -f play
"$bench" build >/dev/null 2>&1 || true
echo "| day | worth | served | weakest part, broken rules |"
echo "| --- | --- | --- | --- |"
printf '%s\n' "$@" | xargs -P "${JOBS:-4}" -I{} bash -c 'play {}' | sort
