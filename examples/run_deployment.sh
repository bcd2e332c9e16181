#!/usr/bin/env bash
# Starts a deployment of an example's shape on the stand-ins, all on loopback,
# asks each index once through every data centre, and stays until it is
# interrupted. Called by each example's run.sh.
#
# usage: run_deployment.sh EXAMPLE_FOLDER PROGRAMS_FOLDER [SECONDS_TO_STAY]
# EXAMPLE_FIRST_PORT: first of 1000 ports.
set -euo pipefail
EXAMPLE=$(cd "${1:?}" && pwd)
BIN=$(cd "${2:?usage: run.sh FOLDER_OF_PROGRAMS [SECONDS]}" && pwd)
STAY=${3:-}
PORT=${EXAMPLE_FIRST_PORT:-25000}
. "$(dirname "$0")/../tools/processes.sh"
. "$EXAMPLE/deployment.sh"

PLATFORM=127.0.0.1:$PORT
VM_COUNT=$((${#DATA_CENTRES[@]} * VMS_EACH))
callers_of() { echo "127.0.0.1:$((PORT + 1 + $1))"; }
peers_of() { echo "127.0.0.1:$((PORT + 50 + $1))"; }
place_of() { echo "${DATA_CENTRES[$1 / VMS_EACH]}"; }
joined() { local IFS=,; echo "$*"; }

start_platform() {
  start platform "$BIN/platform_stub" "$PLATFORM"
  wait_for_own platform "$PLATFORM" /stub/counts
  local ROWS=() I
  for ((I = 0; I < VM_COUNT; ++I)); do
    ROWS+=("{\"name\":\"vm-$I\",\"data_centre\":\"$(place_of "$I")\",\"peer_address\":\"$(peers_of "$I")\",\"leaving\":false}")
  done
  curl -fsS -X PUT -d "[$(joined "${ROWS[@]}")]" "http://$PLATFORM/stub/vms" >/dev/null
}

# Every data centre holds each service with all its servers: a server's
# replicas take the data centres in turn.
start_upstreams() {
  local NEXT=$((PORT + 100)) NAME SERVICES SERVERS SLOTS CONNECTIONS SETUP REPLICAS
  while read -r NAME SERVICES SERVERS SLOTS CONNECTIONS SETUP; do
    REPLICAS=$((SERVERS * ${#DATA_CENTRES[@]}))
    local COMMAND=("$BIN/upstream_stub" --first-port "$NEXT"
      --shards "$SERVICES" --replicas "$REPLICAS" --slots "$SLOTS"
      --connections "$CONNECTIONS" --setup-ms "$SETUP"
      --data-centres "$(joined "${DATA_CENTRES[@]}")")
    start "$NAME" "${COMMAND[@]}"
    wait_for "$NAME does not answer" answers \
      "127.0.0.1:$((NEXT + SERVICES * REPLICAS - 1))" /stub/counts
    "${COMMAND[@]}" --print-map >"$WORK/$NAME.json"
    "$BIN/masticctl" index apply "$NAME" "$WORK/$NAME.json" --platform "$PLATFORM"
    NEXT=$((NEXT + SERVICES * REPLICAS))
  done <<<"$UPSTREAMS"
}

apply_profiles() {
  local FILE
  for FILE in "$EXAMPLE"/profiles/*.toml; do
    "$BIN/masticctl" profile apply "$(basename "$FILE" .toml)" "$FILE" --platform "$PLATFORM"
  done
}

start_vms() {
  local I
  for ((I = 0; I < VM_COUNT; ++I)); do
    write_settings "$WORK/vm-$I.toml" "vm-$I" "$(place_of "$I")" \
      "$(callers_of "$I")" "$(peers_of "$I")" "$PLATFORM"
    start "vm-$I" "$BIN/masticproxyd" --settings "$WORK/vm-$I.toml"
  done
  for ((I = 0; I < VM_COUNT; ++I)); do
    wait_for "vm-$I is not ready" answers "$(callers_of "$I")" /readyz
  done
}

ask_all() {
  local NAME PROFILE I
  while read -r NAME PROFILE; do
    for ((I = 0; I < VM_COUNT; I += VMS_EACH)); do
      "$BIN/masticctl" query --vm "$(callers_of "$I")" --index "$NAME" \
        --profile "$PROFILE" >"$WORK/answer" || fail "no answer from $NAME: $(cat "$WORK/answer")"
      say "$NAME through vm-$I in $(place_of "$I"): $(grep '^coverage' "$WORK/answer")"
    done
  done <<<"$QUERIES"
}

step "the platform, at $PLATFORM"
start_platform
step "the upstreams"
start_upstreams
step "the profiles"
apply_profiles
step "$VM_COUNT entry VMs, at $(callers_of 0) to $(callers_of $((VM_COUNT - 1)))"
start_vms
step "one query of each index through each data centre"
ask_all
if [ -n "$STAY" ]; then sleep "$STAY"; else
  step "Running; Ctrl-C ends it"
  while sleep 3600; do :; done
fi
