#!/usr/bin/env bash
# Builds the cases of the second review (6 to 10), with their stand-ins.
# Needs a compiler only; the daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p build-2
printf '*\n' >build-2/.gitignore
for CASE in 6 7 8 9 10; do
  [ -f "$CASE/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$CASE/case.cpp" \
    -o "build-2/case_$CASE"
done
