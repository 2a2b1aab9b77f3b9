#!/usr/bin/env bash
# Builds the stand-ins and scenarios of this review into target/review. Needs what the build of the
# deploy file needs, and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++20 -O1 -g -pthread -I review/standin"
for part in harness deployment; do
    # shellcheck disable=SC2086
    g++ $flags -c "review/standin/$part.cpp" -o "target/review/$part.o"
done
for scenario in review/[1-3]/scenario.cpp; do
    [ -e "$scenario" ] || continue
    number=$(basename "$(dirname "$scenario")")
    # shellcheck disable=SC2086
    g++ $flags "$scenario" target/review/harness.o target/review/deployment.o \
        -o "target/review/case$number"
done
