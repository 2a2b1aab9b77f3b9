#!/usr/bin/env bash
# play-days.sh FLEETBENCH SITE [DAY.toml...]: plays the days of deploy/days on a site of the users'
# bench and prints a table: day, worth, share served, and the rules that were broken.
# MOMENT moves the day's first trouble to that second (the files have 9.0), and what follows with it;
# JOBS bounds how many are played at a time.
set -eu
bench=${1:?the bench}
site=${2:?the site file}
shift 2
cd "$(dirname "$0")/.."
[ $# -gt 0 ] || set -- deploy/days/*.toml
moment=${MOMENT:-9}
days=$(mktemp -d)
trap 'rm -rf "$days"' EXIT
export bench site moment days
play() {
    day=$(basename "$1" .toml)
    # Every entry of a day has its second as "at = S".
    awk -v by="$moment" '{
        if (match($0, /at = [0-9.]+/)) {
            at = substr($0, RSTART + 5, RLENGTH - 5) + by - 9
            $0 = substr($0, 1, RSTART - 1) sprintf("at = %.2f", at) substr($0, RSTART + RLENGTH)
        }
        print
    }' "$1" >"$days/$day.toml"
    out=$("$bench" run "$site" "$days/$day.toml" --jobs 1 \
        --why "matrix of troubles: $day at second $moment" 2>&1) || true
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
