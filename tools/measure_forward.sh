#!/usr/bin/env bash
# Measures what a request that is forwarded to many shards costs the entry VM on
# the users' platform: processor time for each sub-request, against stand-ins.
# $1: folder of the built programs. Takes about half a minute.
set -euo pipefail
BIN=$(cd "${1:?usage: measure_forward.sh FOLDER_OF_PROGRAMS}" && pwd)
PORT=${MEASURE_FIRST_PORT:-25200}
SHARDS=${SHARDS:-36}
RATE=${RATE:-30}
SECONDS_LONG=${SECONDS_LONG:-10}
. "$(dirname "$0")/processes.sh"
TICKS=$(getconf CLK_TCK)

vm_processor_us() {
  sed 's/.*) //' "/proc/${PIDS[vm]}/stat" | awk -v T="$TICKS" '{ print ($12 + $13) * 1000000 / T }'
}
attempts() {
  curl -fsS "http://127.0.0.1:$((PORT + 2))/metrics" | awk '/^masticproxy_attempts_total/ { N += $2 } END { print N + 0 }'
}

start stand-ins "$BIN/platform_stand_ins" 127.0.0.1 "$PORT" "$SHARDS"
export nodeName=vm zone=dc1 ip=127.0.0.1 PORT
python3 - "$(dirname "$0")/../deploy/node.toml" >"$WORK/vm.toml" <<'PYTHON'
import os
import re
import sys

port = int(os.environ["PORT"])
values = {
    "nodeName": "vm", "zone": "dc1", "ip": "127.0.0.1",
    "listenAddrs.front": f"127.0.0.1:{port + 1}",
    "listenAddrs.ready": f"127.0.0.1:{port + 2}",
    "internalPortRange.0": str(port + 3),
    "bounds.configApplyMs": "3000", "bounds.drainMs": "3000",
    "bounds.budgetWindowS": "10",
    "platform.address": f"127.0.0.1:{port}",
}
text = open(sys.argv[1]).read()
print(re.sub(r"{{(.*?)}}", lambda m: values[m.group(1)], text), end="")
PYTHON
start vm "$BIN/masticproxyd" --settings "$WORK/vm.toml"
wait_for_own vm "127.0.0.1:$((PORT + 2))" /readyz

load() {
  python3 - "$PORT" "$RATE" "$1" <<'PYTHON'
import http.client
import statistics
import sys
import time

port, rate, seconds = map(int, sys.argv[1:])
caller = http.client.HTTPConnection("127.0.0.1", port + 1)
start = time.monotonic()
took = []
for number in range(rate * seconds):
    due = start + number / rate
    time.sleep(max(0, due - time.monotonic()))
    sent = time.monotonic()
    caller.request("GET", f"/merged/{number}", headers={
        "Host": "host", "X-Masticproxy-Request-Id": f"{number:016x}",
        "X-Masticproxy-Deadline-Ms": "1200"})
    answer = caller.getresponse()
    answer.read()
    if answer.status != 200:
        sys.exit(f"status {answer.status}")
    took.append(time.monotonic() - sent)
print(f"p50 {1000 * statistics.median(took):.2f} ms")
PYTHON
}

load 2 >/dev/null
BEFORE=$(vm_processor_us)
SENT=$(attempts)
load "$SECONDS_LONG"
echo "$(vm_processor_us) $BEFORE $(attempts) $SENT" |
  awk '{ printf "%.1f us of processor time for each of %d sub-requests\n", ($1 - $2) / ($3 - $4), $3 - $4 }'
