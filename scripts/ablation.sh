#!/usr/bin/env bash
# ablation.sh FLEETBENCH SEEDS SITE...: what each mechanism is worth: plays the standard days with
# trouble with everything on, and then with one mechanism off at a time, on a copy of the tree in
# which only the daemon's arguments differ. Prints, by site, the mean worth and its difference, and
# puts the copy's journal entries into journal/.
# WITHOUT="a b" bounds the mechanisms; DAYS and JOBS are play-seeds.sh's.
set -eu
bench=${1:?the bench}
seeds=${2:?the seeds}
shift 2
cd "$(dirname "$0")/.."
names=${WITHOUT:-$(sed -n '/names$/,/};/p' src/core/mechanism.h | grep -o '"[a-z_]*"' | tr -d '"')}
export DAYS=${DAYS:-"trouble-1 trouble-2 trouble-3 scale-1 scale-2"}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z -c -o --exclude-standard | grep -zv '^journal/' | xargs -0 cp --parents -t "$copy"
cp deploy/system.toml "$copy/system.toml.all"
git -C "$copy" init -q .
git -C "$copy" add -A
git -C "$copy" -c user.name=ablation -c user.email=ablation@localhost commit -qm "scratch copy"
for off in "" $names; do
    sed "/^run = /s/\"\$/${off:+ --without $off}\"/" "$copy/system.toml.all" >"$copy/deploy/system.toml"
    table=$("$copy/scripts/play-seeds.sh" "$bench" "trial on a scratch copy: ablation, without ${off:-nothing}" \
        "$seeds" "$@")
    printf '%s\n' "$table" | sed "s/^/${off:-everything on} /" >&2
    printf '%s\n' "$table" | awk -v off="${off:-(everything on)}" '/mean with trouble/ { print "| " off " | " $2 " | " $9 " |" }
        /LOST|BUDGET|MIXED|TWICE|REFUSED|UNASKED|ROUTE|DRAIN|GONE|CONFIG|ORDER|RECOVER/ { print "  broken: " $0 }'
done
cp -rn "$copy"/journal/. journal/ 2>/dev/null || true
