#!/usr/bin/env bash
# Shows that tsan_reports.py finds a planted data race and names its function,
# and passes over one whose innermost frame is CAF's.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
PLACE=$(mktemp -d)
trap 'rm -rf "$PLACE"' EXIT

# report_of FUNCTION_NAMESPACE: runs a program with a race in NAMESPACE::count().
report_of() {
  mkdir -p "$PLACE/$1/bin" "$PLACE/$1/reports"
  cat >"$PLACE/$1/main.cpp" <<SOURCE
#include <thread>
int Count = 0;
namespace $1 {
__attribute__((noinline)) void count() { ++Count; }
}
int main() {
  std::thread Other($1::count);
  $1::count();
  Other.join();
}
SOURCE
  "${CXX:-c++}" -O1 -g -fsanitize=thread -pthread "$PLACE/$1/main.cpp" -o "$PLACE/$1/bin/racing"
  TSAN_OPTIONS="log_path=$PLACE/$1/reports/report exitcode=0 symbolize=0" "$PLACE/$1/bin/racing"
  python3 tools/tsan_reports.py "$PLACE/$1/reports" "$PLACE/$1/bin"
}

if FOUND=$(report_of ours); then
  echo "a planted race was passed over" >&2
  exit 1
fi
grep -q 'ours::count' <<<"$FOUND"
grep -q '1 reports, 0 within CAF' <<<"$FOUND"
report_of caf | grep -q '0 reports, 1 within CAF'
echo "tsan_reports.py finds a planted race"
