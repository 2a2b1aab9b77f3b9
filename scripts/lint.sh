#!/usr/bin/env bash
# Fails on any file that clang-format would change and on any finding of clang-tidy.
set -eu
git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror
# clang can't read g++'s precompiled headers, so it gets compile commands of its own.
cmake --preset lint >/dev/null
# clang 14 has coroutines but not the macro by which libstdc++ and Asio find them.
coroutines="--extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-D__cpp_coroutines=201703L"
# shellcheck disable=SC2086
git ls-files 'src/*.cpp' 'platform/*.cpp' 'standin/*.cpp' 'demo/*.cpp' 'test/logic/*.cpp' 'bench/*.cpp' |
    xargs -P "${JOBS:-10}" -n 2 clang-tidy --quiet -p build/lint \
        --extra-arg=-Wno-unknown-warning-option $coroutines
echo "lint: clean"
