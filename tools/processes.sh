# Sourced by the scripts that start processes on loopback. Keeps their pids, so
# that only they are ended, and a folder for their files, removed at the end.

WORK=$(mktemp -d)
declare -A PIDS=()

clean_up() {
  for PID in "${PIDS[@]}"; do kill -KILL "$PID" 2>/dev/null || true; done
  { wait || true; } 2>/dev/null
  rm -rf "$WORK"
}
trap clean_up EXIT
trap 'exit 1' INT TERM

step() { printf '\n== %s\n' "$*"; }
say() { printf '   %s\n' "$*"; }
fail() {
  printf '%s failed: %s\n' "$(basename "$0" .sh)" "$*" >&2
  tail -n 5 "$WORK"/*.log >&2 || true
  exit 1
}

# start NAME COMMAND...: a background process whose pid is kept under NAME.
start() {
  local NAME=$1
  shift
  "$@" >"$WORK/$NAME.log" 2>&1 &
  PIDS[$NAME]=$!
}

# kill_now NAME: kills a process and collects it, as bash would report it late.
kill_now() {
  kill -KILL "${PIDS[$1]}"
  { wait "${PIDS[$1]}" || true; } 2>/dev/null
  unset "PIDS[$1]"
}

# wait_for WHAT COMMAND...: until the command succeeds, ten seconds at most.
wait_for() {
  local WHAT=$1
  shift
  for _ in $(seq 200); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  fail "$WHAT"
}

# wait_for_own NAME ADDRESS PATH: until the process NAME answers. Another one may
# hold the address; then ours has ended, a moment after its start.
wait_for_own() {
  wait_for "$1 does not answer" answers "$2" "$3"
  sleep 0.3
  kill -0 "${PIDS[$1]}" 2>/dev/null || fail "$1 has ended; is $2 in use?"
}

# answers ADDRESS PATH: whether a GET is answered with success.
answers() { curl -fsS --max-time 2 "http://$1$2"; }

# write_settings FILE NAME DATA_CENTRE CALLERS PEERS PLATFORM
# NODE_SETTINGS: further lines of the table [node].
write_settings() {
  cat >"$1" <<SETTINGS
[node]
name = "$2"
data_centre = "$3"
${NODE_SETTINGS:-}
[listen]
callers = "$4"
peers = "$5"
[platform]
address = "$6"
[leave]
balancer_lag = "200ms"
SETTINGS
}
