#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start, into target/review-2.
# Run from the root of the repository, after the build of deploy/system.toml.
set -e
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Ireview/standin-2 -o "target/review-2/$name" "$source" -lboost_json -lpthread &
    pids="$pids $!"
done
for pid in $pids; do
    wait "$pid"
done
