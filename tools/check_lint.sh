#!/usr/bin/env bash
# Runs clang-tidy over every source of the build folder in $1. A file that is
# unchanged, with all it includes, since it last passed is not read again.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${1:-build/release}
STAMPS=${LINT_CACHE:-build/lint}
mkdir -p "$STAMPS"
export BUILD STAMPS
CONFIG=$(sha1sum .clang-tidy | cut -c1-40)
export CONFIG
lint_one() {
  SOURCE=$1
  # Header changes are seen through the preprocessed text.
  COMMAND=$(python3 tools/compile_command.py "$BUILD" "$SOURCE")
  KEY=$( { echo "$CONFIG"; sh -c "$COMMAND"; } | sha1sum | cut -c1-40)
  [ -e "$STAMPS/$KEY" ] && return 0
  if clang-tidy --quiet -p "$BUILD" "$SOURCE" >"$STAMPS/$KEY.out" 2>/dev/null; then
    rm -f "$STAMPS/$KEY.out"
    touch "$STAMPS/$KEY"
  else
    cat "$STAMPS/$KEY.out"
    rm -f "$STAMPS/$KEY.out"
    return 1
  fi
}
export -f lint_one
git ls-files --cached --others --exclude-standard 'packages/*.cpp' 'bench/*.cpp' 'platform/*.cpp' 'soak/*.cpp' |
  xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
