#!/usr/bin/env bash
# Plays the fault soak with some seeds side by side, each at a loopback address
# of its own. Logs, settings and the plan of each stay in FOLDER/SEED.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
usage() {
  echo "usage: tools/soak.sh BIN FOLDER FIRST_SEED LAST_SEED" >&2
  echo "  [--vms N] [--seconds N]; JOBS: runs side by side, 3 as a rule" >&2
  exit 2
}
[ $# -ge 4 ] || usage
BIN=$1 FOLDER=$2 FIRST=$3 LAST=$4
shift 4
export BIN FOLDER
soak_one() {
  SEED=$1
  shift
  mkdir -p "$FOLDER/$SEED"
  # 127.1.x.y, so that no two of 60,000 seeds meet.
  HOST=127.1.$((SEED / 250 % 250)).$((SEED % 250 + 1))
  "$BIN/masticproxy_soak" --programs "$BIN" --settings deploy/node.toml \
    --folder "$FOLDER/$SEED" --seed "$SEED" --host "$HOST" "$@" 2>&1 |
    tee "$FOLDER/$SEED/report.txt"
}
export -f soak_one
seq "$FIRST" "$LAST" |
  xargs -P "${JOBS:-3}" -I{} bash -c 'set -o pipefail; soak_one "$@"' _ {} "$@"
