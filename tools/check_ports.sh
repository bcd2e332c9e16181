#!/usr/bin/env bash
# Tests of real processes run side by side, so each has a first port of its own.
# Takes the folders of the tests; those of the project where there is none.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
FOLDERS=("$@")
if [ ${#FOLDERS[@]} = 0 ]; then
  FOLDERS=(packages/testing/tests platform/tests)
fi
# First ports are whole hundreds, given as FirstPort or to what a test starts.
PORTS=$(grep -rhE --include='*_test.cpp' \
  'FirstPort = |test_cluster |_path |checkLeaving' "${FOLDERS[@]}" |
  grep -oE '(\(|FirstPort = )2[0-9]{2}00\b' | grep -oE '[0-9]+' | sort)
TWICE=$(echo "$PORTS" | uniq -d)
if [ -n "$TWICE" ]; then
  echo "first ports of more than one test:" $TWICE >&2
  exit 1
fi
echo "$(echo "$PORTS" | wc -l) first ports, each of one test"
