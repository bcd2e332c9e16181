#!/usr/bin/env bash
# A tour in half a minute: a platform, upstreams and three entry VMs in two
# data centres as processes on loopback, and a VM on the users' platform. Ends by itself and cleans up what it
# started. $1: folder of the built programs. DEMO_FIRST_PORT: first of 100
# ports. Exit code 0 only if every step did what it says.
set -euo pipefail
BIN=$(cd "${1:?usage: demo.sh FOLDER_OF_PROGRAMS}" && pwd)
PORT=${DEMO_FIRST_PORT:-25000}
. "$(dirname "$0")/processes.sh"

SHARDS=4
REPLICAS=4
PLATFORM=127.0.0.1:$PORT
UPSTREAM_PORT=$((PORT + 40))
VM_NAMES=(vm-1 vm-2 vm-3)
VM_PLACES=(dc-a dc-a dc-b)

callers_of() { echo "127.0.0.1:$((PORT + $1))"; }
peers_of() { echo "127.0.0.1:$((PORT + 20 + $1))"; }
ALL_VMS=$(callers_of 1),$(callers_of 2),$(callers_of 3)

ctl() { "$BIN/masticctl" "$@"; }

start_vm() {
  local NUMBER=$1 NAME=${VM_NAMES[$1 - 1]}
  write_settings "$WORK/$NAME.toml" "$NAME" "${VM_PLACES[$1 - 1]}" \
    "$(callers_of "$NUMBER")" "$(peers_of "$NUMBER")" "$PLATFORM"
  start "$NAME" "$BIN/masticproxyd" --settings "$WORK/$NAME.toml"
}

list_vms() {
  local ROWS="" I
  for I in 1 2 3; do
    ROWS+="${ROWS:+,}{\"name\":\"${VM_NAMES[I - 1]}\",\"data_centre\":\"${VM_PLACES[I - 1]}\","
    ROWS+="\"peer_address\":\"$(peers_of "$I")\",\"leaving\":false}"
  done
  curl -fsS -X PUT -d "[$ROWS]" "http://$PLATFORM/stub/vms" >/dev/null
}

write_profile() {
  printf 'wait = "%s"\ncoverage = 1.0\nmay_repeat = true\n' "$1" >"$WORK/lookup.toml"
  ctl profile apply lookup "$WORK/lookup.toml" --platform "$PLATFORM"
}

# in_force VERSION: whether every VM reports that version of the profile.
in_force() {
  local TEXT
  TEXT=$(ctl profile status lookup --vm "$ALL_VMS") || return 1
  [ "$(grep -c "version $1 " <<<"$TEXT")" -eq 3 ]
}

load() {
  "$BIN/masticproxy_load" --targets "$1" --index suites --profile lookup \
    --rate 40 --length-ms 4000
}

# figure FILE EXPRESSION: a value out of a load run's JSON, called R.
figure() { python3 -c "import json,sys; R=json.load(open(sys.argv[1])); print($2)" "$1"; }

step "1. The platform: keeps profiles and index maps, and lists the VMs"
start platform "$BIN/platform_stub" "$PLATFORM"
wait_for_own platform "$PLATFORM" /stub/counts
list_vms
say "a stand-in of the platform answers at $PLATFORM"

step "2. The upstreams: $SHARDS shards, each with two replicas in each data centre"
for I in $(seq 0 $((SHARDS * REPLICAS - 1))); do
  start "upstream-$I" "$BIN/upstream_stub" --first-port $((UPSTREAM_PORT + I)) \
    --shards 1 --replicas 1 --service-us 2000 --seed $((I + 1))
done
for I in $(seq 0 $((SHARDS * REPLICAS - 1))); do
  wait_for "upstream $I does not answer" answers "127.0.0.1:$((UPSTREAM_PORT + I))" /stub/counts
done
"$BIN/upstream_stub" --first-port "$UPSTREAM_PORT" --shards "$SHARDS" \
  --replicas "$REPLICAS" --data-centres dc-a,dc-b --print-map >"$WORK/map.json"
ctl index apply suites "$WORK/map.json" --platform "$PLATFORM"
say "the map says which replica of which shard stands where"

step "3. A profile: what a kind of caller may expect"
write_profile 2s
cat "$WORK/lookup.toml"

step "4. Three entry VMs: vm-1 and vm-2 in dc-a, vm-3 in dc-b"
for I in 1 2 3; do start_vm "$I"; done
for I in 1 2 3; do
  wait_for "vm-$I is not ready" answers "$(callers_of "$I")" /readyz
done
ctl status --vm "$ALL_VMS"

step "5. Queries: each answer states its snapshot and its coverage"
for I in 1 3; do
  say "through vm-$I"
  ctl query --vm "$(callers_of "$I")" --index suites --profile lookup --request "demo-$I" |
    tee "$WORK/answer"
  grep -q "^coverage  $SHARDS of $SHARDS shards" "$WORK/answer" || fail "coverage is not full"
done
say "the same with curl:"
curl -fsS -d '{"customer":17}' \
  "http://$(callers_of 2)/v1/indexes/suites/query?profile=lookup" | tee "$WORK/answer"
grep -q '"code":"answered"' "$WORK/answer" || fail "curl got no answer"

step "6. Failures under load: one upstream and one entry VM are killed"
load "$(callers_of 1),$(callers_of 3)" >"$WORK/load-others" &
PIDS[load-others]=$!
load "$(callers_of 2)" >"$WORK/load-killed" &
PIDS[load-killed]=$!
sleep 1
kill_now upstream-0
say "killed the upstream at 127.0.0.1:$UPSTREAM_PORT (shard 0, dc-a)"
sleep 1
kill_now vm-2
say "killed vm-2"
wait "${PIDS[load-others]}" "${PIDS[load-killed]}" || fail "a load run failed"
unset "PIDS[load-others]" "PIDS[load-killed]"
say "vm-1 and vm-3: $(figure "$WORK/load-others" "R['codes'], 'mean coverage', R['mean_coverage']")"
say "vm-2 until and after its death: $(figure "$WORK/load-killed" "R['codes']")"
[ "$(figure "$WORK/load-others" "R['codes'] == {'answered': R['requests']} and R['mean_coverage'] == 1")" = True ] ||
  fail "a query through a living VM was not answered in full"
[ "$(figure "$WORK/load-killed" "R['codes'].get('answered', 0) > 0 and R['codes'].get('connection_error', 0) > 0")" = True ] ||
  fail "vm-2 did not answer before its death, or did after"

step "7. A replacement of vm-2 takes its configuration and is ready"
start_vm 2
wait_for "the new vm-2 is not ready" answers "$(callers_of 2)" /readyz
say "vm-2 is back"

step "8. An edit of the profile is in force on every VM within seconds"
write_profile 1s | tee "$WORK/edit"
VERSION=$(sed -n 's/.* has version \([0-9]*\).*/\1/p' "$WORK/edit")
wait_for "version $VERSION is not in force everywhere" in_force "$VERSION"
ctl profile status lookup --vm "$ALL_VMS"

step "9. The time line of one request, merged over all VMs"
ctl timeline --vm "$ALL_VMS" --request demo-1 | tee "$WORK/timeline"
for KIND in query_arrived attempt_sent outcome; do
  grep -q "$KIND" "$WORK/timeline" || fail "no $KIND in the time line"
done

step "10. SIGTERM: each VM leaves without cutting a request"
for I in 1 2 3; do kill -TERM "${PIDS[vm-$I]}"; done
for I in 1 2 3; do
  wait "${PIDS[vm-$I]}" || fail "vm-$I left with exit code $?"
  unset "PIDS[vm-$I]"
done
say "all three left with exit code 0"
step "11. The users' platform: a store, three shards of two upstreams, one VM"
start stand-ins "$BIN/platform_stand_ins" 127.0.0.1 "$((PORT + 70))"
STORE_CALLERS=127.0.0.1:$((PORT + 71))
STORE_PAGES=127.0.0.1:$((PORT + 72))
cat >"$WORK/vm-4.toml" <<SETTINGS
[node]
name = "vm-4"
data_centre = "dc1"
[listen]
callers = "$STORE_CALLERS"
pages = "$STORE_PAGES"
peers = "127.0.0.1:$((PORT + 73))"
[platform]
address = "127.0.0.1:$((PORT + 70))"
interface = "store"
[peers]
exchange = false
[callers]
forward = true
[upstreams]
all_data_centres = true
[leave]
balancer_lag = "200ms"
SETTINGS
start vm-4 "$BIN/masticproxyd" --settings "$WORK/vm-4.toml"
wait_for_own vm-4 "$STORE_PAGES" /readyz
say "vm-4 read its routes and upstreams from the store and is ready"

step "12. Its routes: one merges the greatest records, one passes an answer on"
curl -fsS -H 'host: host' "http://$STORE_CALLERS/merged/1" | tee "$WORK/merged"
printf '\n'
curl -fsS -H 'host: host' "http://$STORE_CALLERS/one/1" | tee "$WORK/one"
printf '\n'
[ "$(cat "$WORK/merged")" = ccccccccccccccccbbbbbbbbbbbbbbbb ] || fail "not the greatest records"
[ "$(cat "$WORK/one")" = aaaaaaaaaaaaaaaa ] || fail "not the upstream's answer"
curl -fsS "http://$STORE_PAGES/metrics" | grep '^masticproxy_request_seconds_count'
kill -TERM "${PIDS[vm-4]}"
wait "${PIDS[vm-4]}" || fail "vm-4 left with exit code $?"
unset "PIDS[vm-4]"
say "vm-4 left with exit code 0"
printf '\nThe demo did all it says.\n'
