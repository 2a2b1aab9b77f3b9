#!/usr/bin/env bash
# Installs everything that building, testing and linting azurehill needs on Debian 12.
set -eu
packages="g++ cmake make ninja-build ccache clang-format clang-tidy curl
libboost1.81-all-dev libboost-json1.81-dev libexpected-dev libfmt-dev libpopt-dev libssl-dev
doctest-dev librapidcheck-dev libxxhash-dev prometheus-cpp-dev libjsonrpccpp-dev libjsoncpp-dev
zlib1g-dev libtomlplusplus-dev"

missing=""
for p in $packages; do
    dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0

run=""
[ "$(id -u)" = 0 ] || run="sudo"
$run apt-get update -q
# shellcheck disable=SC2086
$run apt-get install -y -q --no-install-recommends $missing
