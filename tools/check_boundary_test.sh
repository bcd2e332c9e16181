#!/usr/bin/env bash
# Shows that check_boundary.sh fails on a planted name, and passes without it.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
PLACE=$(mktemp -d)
trap 'rm -rf "$PLACE"' EXIT
mkdir -p "$PLACE"/{packages,soak,bench,fuzz,docs/examples}
tools/check_boundary.sh "$PLACE" >/dev/null
echo 'const char *Name = "fanoutServices";' >"$PLACE/packages/planted.cpp"
if tools/check_boundary.sh "$PLACE" >/dev/null 2>&1; then
  echo "a planted name was not found" >&2
  exit 1
fi
echo "the planted name was found"
