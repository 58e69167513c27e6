#!/bin/sh
# Builds the stand-ins and checks of the cases in review/6 and following, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/programs-2 -B target/review-2 -G Ninja
cmake --build target/review-2
