#!/usr/bin/env bash
# Measures what the path through an entry VM costs against asking the upstreams
# directly with a bare Beast client: processor time for each sub-request, and
# latency. Both ways take turns in one run over the same stand-ins. Prints a
# Markdown table. $1: folder of the built programs. Takes about a minute.
set -euo pipefail
BIN=$(cd "${1:?usage: measure_path.sh FOLDER_OF_PROGRAMS}" && pwd)
PORT=${MEASURE_FIRST_PORT:-25000}
RATE=${RATE:-100}
ROUNDS=${ROUNDS:-5}
SECONDS_EACH=${SECONDS_EACH:-5}
SHARDS=10
. "$(dirname "$0")/processes.sh"

PLATFORM=127.0.0.1:$PORT
CALLERS=127.0.0.1:$((PORT + 1))
UPSTREAM_PORT=$((PORT + 40))
TICKS=$(getconf CLK_TCK)

# Processor time of the entry VM in microseconds.
vm_processor_us() {
  sed 's/.*) //' "/proc/${PIDS[vm]}/stat" | awk -v T="$TICKS" '{ print ($12 + $13) * 1000000 / T }'
}
vm_attempts() {
  answers "$CALLERS" /metrics | awk '/^masticproxy_attempts_total/ { N += $2 } END { print N + 0 }'
}

start platform "$BIN/platform_stub" "$PLATFORM"
wait_for_own platform "$PLATFORM" /stub/counts
UPSTREAMS=("$BIN/upstream_stub" --first-port "$UPSTREAM_PORT" --shards "$SHARDS"
  --replicas 2 --service-us 1000 --slots 6 --connections 230 --setup-ms 1)
start upstreams "${UPSTREAMS[@]}"
wait_for "the upstreams do not answer" answers "127.0.0.1:$((UPSTREAM_PORT + 2 * SHARDS - 1))" /stub/counts
"${UPSTREAMS[@]}" --print-map >"$WORK/map.json"
printf 'wait = "2s"\nmay_repeat = true\n' >"$WORK/lookup.toml"
"$BIN/masticctl" index apply index "$WORK/map.json" --platform "$PLATFORM" >/dev/null
"$BIN/masticctl" profile apply lookup "$WORK/lookup.toml" --platform "$PLATFORM" >/dev/null
write_settings "$WORK/vm.toml" vm dc1 "$CALLERS" "127.0.0.1:$((PORT + 20))" "$PLATFORM"
start vm "$BIN/masticproxyd" --settings "$WORK/vm.toml"
wait_for "the VM is not ready" answers "$CALLERS" /readyz

through_vm() {
  "$BIN/masticproxy_load" --targets "$CALLERS" --index index --profile lookup \
    --rate "$RATE" --length-ms "$1"
}
directly() {
  "$BIN/masticproxy_load" --direct "$WORK/map.json" --rate "$RATE" --length-ms "$1"
}

# Connections are opened before anything is measured.
through_vm 1000 >/dev/null
for ((ROUND = 0; ROUND < ROUNDS; ++ROUND)); do
  directly $((SECONDS_EACH * 1000)) >"$WORK/direct-$ROUND.json"
  BEFORE=$(vm_processor_us)
  SENT=$(vm_attempts)
  through_vm $((SECONDS_EACH * 1000)) >"$WORK/vm-$ROUND.json"
  echo "$(vm_processor_us) $BEFORE $(vm_attempts) $SENT" >"$WORK/spent-$ROUND"
done

python3 - "$WORK" "$ROUNDS" "$SHARDS" "$RATE" "$SECONDS_EACH" <<'PYTHON'
import json
import statistics
import sys

folder, rounds, shards, rate, seconds = sys.argv[1], *map(int, sys.argv[2:])
direct = [json.load(open(f"{folder}/direct-{r}.json")) for r in range(rounds)]
vm = [json.load(open(f"{folder}/vm-{r}.json")) for r in range(rounds)]
for run in direct + vm:
    if run["codes"] != {"answered": run["requests"]}:
        sys.exit(f"not all answered: {run['codes']}")
spent = []
attempts = []
for r in range(rounds):
    after, before, sent_after, sent_before = map(
        float, open(f"{folder}/spent-{r}").read().split())
    asked = vm[r]["requests"] * shards
    spent.append((after - before) / asked)
    attempts.append((sent_after - sent_before) / asked)
bare = [run["processor_us"] / (run["requests"] * shards) for run in direct]


def row(name, one, other):
    a, b = statistics.median(one), statistics.median(other)
    print(f"| {name} | {a:.2f} ({min(one):.2f} to {max(one):.2f}) |"
          f" {b:.2f} ({min(other):.2f} to {max(other):.2f}) | {b - a:.2f} | {b / a:.2f} |")


print(f"{rounds} rounds of {seconds} s each way, {rate} queries/s to {shards} shards.\n")
print("| median (least to greatest) | directly | through the VM | added | ratio |")
print("|---|---|---|---|---|")
row("processor time for a sub-request, us", bare, spent)
row("attempts for a sub-request", [1.0] * rounds, attempts)
row("p50, ms", [r["p50_ms"] for r in direct], [r["p50_ms"] for r in vm])
row("p99, ms", [r["p99_ms"] for r in direct], [r["p99_ms"] for r in vm])
PYTHON
