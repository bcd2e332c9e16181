#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
PACKAGES=(g++ cmake ninja-build ccache make pkg-config curl python3
  clang-format clang-tidy clang libclang-rt-dev gnuplot-nox
  libcaf-dev libflatbuffers-dev flatbuffers-compiler libtomlplusplus-dev
  libboost-dev liblog4cxx-dev libcriterion-dev librapidcheck-dev
  nlohmann-json3-dev libxxhash-dev libbenchmark-dev)
MISSING=()
for PACKAGE in "${PACKAGES[@]}"; do
  dpkg -s "$PACKAGE" >/dev/null 2>&1 || MISSING+=("$PACKAGE")
done
[ ${#MISSING[@]} -eq 0 ] && exit 0
SUDO=""
[ "$(id -u)" -eq 0 ] || SUDO=sudo
export DEBIAN_FRONTEND=noninteractive
$SUDO apt-get update -q
$SUDO apt-get install -y -q --no-install-recommends "${MISSING[@]}"
