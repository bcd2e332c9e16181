#!/usr/bin/env bash
# Runs each fuzzer over its committed corpus: tools/fuzz.sh [RUNS [SEED]].
set -euo pipefail
cd "$(dirname "$0")/.."
RUNS=${1:-20000}
SEED=${2:-1}
TARGETS=(frame settings index request store)
cmake -S . -B build/fuzz -G Ninja -DMASTICPROXY_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++ >/dev/null
# The tests are built and run elsewhere.
cmake --build build/fuzz --target "${TARGETS[@]/#/fuzz_}"
FOUND=build/fuzz/found
mkdir -p "$FOUND"
for TARGET in "${TARGETS[@]}"; do
  # New inputs of one run must not change the next one's verdict.
  CORPUS=$(mktemp -d)
  cp fuzz/corpus/$TARGET/* "$CORPUS"
  build/fuzz/bin/fuzz_$TARGET -seed="$SEED" -runs="$RUNS" -max_len=4096 \
    -artifact_prefix="$FOUND/$TARGET-" "$CORPUS" 2>"$FOUND/$TARGET.log" ||
    { tail -40 "$FOUND/$TARGET.log"; exit 1; }
  rm -rf "$CORPUS"
  echo "fuzz_$TARGET: $RUNS runs, seed $SEED, nothing found"
done
