#!/usr/bin/env bash
# Fails where a source file is not in the committed format; --fix rewrites it.
set -euo pipefail
cd "$(dirname "$0")/.."
MODE=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && MODE=(-i)
git ls-files --cached --others --exclude-standard 'packages/*.h' 'packages/*.cpp' 'bench/*.cpp' 'bench/*.h' 'docs/*.cpp' 'fuzz/*.cpp' 'platform/*.h' 'platform/*.cpp' 'soak/*.h' 'soak/*.cpp' |
  grep -v _generated.h | xargs -r clang-format "${MODE[@]}"
