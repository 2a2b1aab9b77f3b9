#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. What happened is in record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
scenario=target/review/case$(basename "$here")
[ -x target/azurehill-entry ] && [ -x "$scenario" ] || exit 2
SCRATCH=$(mktemp -d) || exit 2
trap 'rm -rf "$SCRATCH"' EXIT
export SCRATCH TROUBLE="${TROUBLE:-1}" RECORD="$here/record.txt"
timeout -k 2 115 "$scenario"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
