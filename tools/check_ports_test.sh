#!/usr/bin/env bash
# Shows that check_ports.sh fails on a port that stands twice.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
PLACE=$(mktemp -d)
trap 'rm -rf "$PLACE"' EXIT
echo 'test_cluster A({.FirstPort = 22700}); users_path B(28000);' >"$PLACE/a_test.cpp"
tools/check_ports.sh "$PLACE" >/dev/null
echo 'users_path C(22700);' >"$PLACE/b_test.cpp"
if tools/check_ports.sh "$PLACE" 2>/dev/null; then
  echo "a port of two tests was not found" >&2
  exit 1
fi
echo "check_ports.sh finds a port of two tests"
