#!/usr/bin/env bash
# Compares the routing policies "adaptive" and "naive" in one run against the
# stand-ins: calm, with stragglers (1 % of attempts 20 times slower), with one
# replica of each shard lost, with one of each ten times slower, and overloaded.
# usage: measure_tail.sh [BUILD_FOLDER]
# Environment: FIRST_PORT (100 ports), RATE (requests a second), LENGTH_MS and
# ROUNDS (of each policy under each condition), CONDITIONS (which of them).
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/${1:-build/release}/bin
FIRST_PORT=${FIRST_PORT:-21000}
RATE=${RATE:-120}
LENGTH_MS=${LENGTH_MS:-5000}
ROUNDS=${ROUNDS:-3}
CONDITIONS=${CONDITIONS:-calm stragglers replica_lost replica_slow overload}
SHARDS=10
REPLICAS=3
SERVICE_US=5000
SLOW_US=50000
OVERLOAD_US=120000
UPSTREAMS_PORT=$((FIRST_PORT + 40))
PLATFORM=127.0.0.1:$FIRST_PORT
FOLDER=$(mktemp -d)
PIDS=()

stop_all() {
  for PID in "${PIDS[@]}"; do kill "$PID" 2>/dev/null || true; done
  for PID in "${PIDS[@]}"; do wait "$PID" 2>/dev/null || true; done
  rm -rf "$FOLDER"
}
trap stop_all EXIT

call() { curl -sf --max-time 5 "$@"; }

wait_for() {
  for _ in $(seq 200); do
    call -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  exit 1
}

callers() { echo "127.0.0.1:$((FIRST_PORT + 1 + $1))"; }

start_vm() { # number policy
  cat >"$FOLDER/vm-$1.toml" <<SETTINGS
[node]
name = "vm-$1"
data_centre = "dc1"
[listen]
callers = "$(callers "$1")"
peers = "127.0.0.1:$((FIRST_PORT + 20 + $1))"
[platform]
address = "$PLATFORM"
[query]
policy = "$2"
SETTINGS
  "$BIN/masticproxyd" --settings "$FOLDER/vm-$1.toml" \
    >"$FOLDER/vm-$1.log" 2>&1 &
  PIDS+=($!)
}

start_surroundings() {
  "$BIN/platform_stub" "$PLATFORM" >"$FOLDER/platform.log" 2>&1 &
  PIDS+=($!)
  SHAPE=(--first-port "$UPSTREAMS_PORT" --shards "$SHARDS"
    --replicas "$REPLICAS" --slots 3 --connections 65 --setup-ms 6
    --service-us "$SERVICE_US")
  "$BIN/upstream_stub" "${SHAPE[@]}" >"$FOLDER/upstreams.log" 2>&1 &
  PIDS+=($!)
  wait_for "http://$PLATFORM/stub/counts"
  "$BIN/upstream_stub" "${SHAPE[@]}" --print-map >"$FOLDER/map.json"
  LIST=$(for VM in 0 1 2 3; do
    printf '%s{"name":"vm-%s","data_centre":"dc1","peer_address":"127.0.0.1:%s","leaving":false}' \
      "${SEPARATOR:-}" "$VM" $((FIRST_PORT + 20 + VM))
    SEPARATOR=,
  done)
  call -X PUT -d "[$LIST]" "http://$PLATFORM/stub/vms"
  "$BIN/masticctl" --platform "$PLATFORM" index apply index "$FOLDER/map.json"
  printf 'wait = "2s"\ncoverage = 1.0\nmay_repeat = true\n' >"$FOLDER/p.toml"
  "$BIN/masticctl" --platform "$PLATFORM" profile apply lookup "$FOLDER/p.toml"
}

upstreams() { seq "$UPSTREAMS_PORT" $((UPSTREAMS_PORT + SHARDS * REPLICAS - 1)); }

faults() { # JSON PORT...
  JSON=$1
  shift
  for PORT in "$@"; do
    call -o /dev/null -X POST -d "$JSON" "http://127.0.0.1:$PORT/stub/faults"
  done
}

first_replicas() { seq "$UPSTREAMS_PORT" "$REPLICAS" $((UPSTREAMS_PORT + SHARDS * REPLICAS - 1)); }

load() { # policy targets file length_ms
  "$BIN/masticproxy_load" --targets "$2" --index index --profile lookup \
    --rate "$RATE" --length-ms "$4" --samples >"$3"
}

metrics() { # file vm...
  FILE=$1
  shift
  for VM in "$@"; do call "http://$(callers "$VM")/metrics"; done >"$FILE"
}

# One line of counts for each upstream.
upstream_counts() { # file
  for PORT in $(upstreams); do
    call -w '\n' "http://127.0.0.1:$PORT/stub/counts"
  done >"$1"
}

targets() { # policy
  if [ "$1" = adaptive ]; then
    echo "$(callers 0),$(callers 1)"
  else
    echo "$(callers 2),$(callers 3)"
  fi
}

vms() { [ "$1" = adaptive ] && echo "0 1" || echo "2 3"; }

set_condition() { # condition
  SHARE=0
  SERVICE=$SERVICE_US
  [ "$1" = stragglers ] && SHARE=0.01
  [ "$1" = overload ] && SERVICE=$OVERLOAD_US
  faults "{\"straggler_share\":$SHARE,\"straggler_factor\":20,\"service_us\":$SERVICE}" \
    $(upstreams)
  if [ "$1" = replica_slow ]; then
    faults "{\"service_us\":$SLOW_US}" $(first_replicas)
  fi
}

# The lost replicas die a second into the load and come back after it.
lose_replicas() {
  sleep 1
  faults "{\"restart_ms\":$LENGTH_MS,\"die\":true}" $(first_replicas)
}

measure() { # condition policy round
  PART=$FOLDER/$1.$2.$3
  metrics "$PART.before" $(vms "$2")
  upstream_counts "$PART.counts_before"
  if [ "$1" = replica_lost ]; then
    lose_replicas &
    LOSER=$!
  fi
  load "$2" "$(targets "$2")" "$PART.json" "$LENGTH_MS"
  metrics "$PART.after" $(vms "$2")
  if [ "$1" = replica_lost ]; then
    wait "$LOSER"
    for PORT in $(first_replicas); do
      wait_for "http://127.0.0.1:$PORT/stub/counts"
    done
  fi
  upstream_counts "$PART.counts_after"
}

start_surroundings >/dev/null
for VM in 0 1; do start_vm "$VM" adaptive; done
for VM in 2 3; do start_vm "$VM" naive; done
for VM in 0 1 2 3; do wait_for "http://$(callers "$VM")/readyz"; done
sleep 1
for POLICY in adaptive naive; do
  load "$POLICY" "$(targets "$POLICY")" "$FOLDER/warm" 3000
done
for CONDITION in $CONDITIONS; do
  set_condition "$CONDITION"
  for ROUND in $(seq "$ROUNDS"); do
    for POLICY in adaptive naive; do measure "$CONDITION" "$POLICY" "$ROUND"; done
  done
done
python3 tools/tail_report.py "$FOLDER" $CONDITIONS
