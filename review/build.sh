#!/bin/sh
# Builds the stand-ins and clients of all cases into review/build. Needs what
# the deploy file's build needs, and no network.
set -e
cd "$(dirname "$0")"
mkdir -p build
for source in [1-9]/case.cpp; do
  number=$(dirname "$source")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/case_$number"
done
