#!/usr/bin/env bash
# Installs the packages that the build, the tests and the style check need.
set -eu
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq g++ cmake ninja-build clang-format clang-tidy curl \
    libpoco-dev libnghttp2-dev libdocopt-dev libgoogle-glog-dev libboost-dev libtomlplusplus-dev nlohmann-json3-dev libmsgpack-cxx-dev tao-pegtl-dev libxxhash-dev \
    libcppunit-dev libbenchmark-dev librapidcheck-dev >/dev/null
