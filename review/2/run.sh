#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 it does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
program=$here/../build/case_$(basename "$here")
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
trouble=with
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=without
fi
exec "$program" "$here/../.." "$here" "$trouble"
