#!/usr/bin/env bash
# Plays the fault soak with some seeds side by side, each at a loopback address
# of its own. Logs, settings, plan and report of each stay in FOLDER/SEED.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
usage() {
  cat >&2 <<'END'
usage: tools/soak.sh BIN FOLDER FIRST_SEED LAST_SEED [--vms N] [--seconds N]
       tools/soak.sh BIN FOLDER regressions
JOBS is the number of runs side by side, 3 as a rule.
END
  exit 2
}
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

[ $# -ge 3 ] || usage
BIN=$1 FOLDER=$2
shift 2
export BIN FOLDER
if [ "$1" = regressions ]; then
  RUNS=$(sed -e 's/#.*//' -e '/^ *$/d' soak/regressions.txt)
else
  [ $# -ge 2 ] || usage
  FIRST=$1 LAST=$2
  shift 2
  RUNS=$(seq "$FIRST" "$LAST" | sed "s/\$/ $*/")
fi
# shellcheck disable=SC2016
echo "$RUNS" | xargs -P "${JOBS:-3}" -L 1 bash -c 'set -o pipefail; soak_one "$@"' _
