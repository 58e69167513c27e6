#!/usr/bin/env bash
# Builds the stand-ins and the programs of the review's cases into target/review. Needs the packages of deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standins -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review
