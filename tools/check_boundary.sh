#!/usr/bin/env bash
# Nothing outside platform/ and deploy/ may know the names of the users'
# platform. The names are taken from the texts in platform/'s sources.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
ROOT=${1:-.}
# Quoted words of two parts at least; others are words of any program.
NAMES=$(grep -ohE '"[A-Za-z][A-Za-z-]*"' platform/masticproxy/src/Platform/*.cpp \
  platform/masticproxy/src/Platform/*.h | tr -d '"' |
  grep -E '[a-z][A-Z]|^x-[a-z]+-' | sort -u)
FOUND=0
for NAME in $NAMES; do
  if grep -rInwF --include='*.cpp' --include='*.h' --include='*.fbs' \
    -e "$NAME" "$ROOT/packages" "$ROOT/soak" "$ROOT/bench" "$ROOT/fuzz" "$ROOT/docs/examples"; then
    FOUND=1
  fi
done
if [ "$FOUND" = 1 ]; then
  echo "names of the users' platform stand outside platform/" >&2
  exit 1
fi
echo "$(echo "$NAMES" | wc -l) names, none outside platform/"
