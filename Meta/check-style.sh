#!/usr/bin/env bash
# Checks the formatting of all sources and runs the linter on them. Takes a configured build folder as its argument.
set -eu
build=${1:?usage: Meta/check-style.sh BUILD_FOLDER}
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h')
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(git ls-files --cached --others --exclude-standard -- '*.cpp')
# The packaged clang-tidy supports coroutines, but announces them by another macro than the compiler does.
coroutines=(--extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1)
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" "${coroutines[@]}"
