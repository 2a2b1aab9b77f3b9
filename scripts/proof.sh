#!/usr/bin/env bash
# proof.sh BUILD: runs all tests and writes docs/PROOF.md from their results.
# proof.sh BUILD names: only fails if the matrix names a test that doesn't exist.
set -eu
build=${1:?the build folder}
root=$(dirname "$0")/..
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT
for binary in test_logic test_io test_process; do
    if [ "${2:-}" = names ]; then
        "$build/test/$binary" --list-test-cases --reporters=xml >"$results/$binary.xml"
    else
        # A failed test is for the page to tell.
        RC_PARAMS="seed=1" "$build/test/$binary" --reporters=xml >"$results/$binary.xml" || true
    fi
done
"$build/test/azurehill-proof" "$root/test/process/matrix.txt" "$results"/*.xml >"$results/PROOF.md"
[ "${2:-}" = names ] || cp "$results/PROOF.md" "$root/docs/PROOF.md"
