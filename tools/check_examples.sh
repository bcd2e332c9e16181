#!/usr/bin/env bash
# Fails where a settings file or profile of the examples is not valid. $1:
# folder of the built programs.
set -euo pipefail
BIN=$(cd "${1:?}" && pwd)
cd "$(dirname "$0")/../examples"
for FILE in */vm.toml; do "$BIN/masticctl" check settings "$FILE"; done
for FILE in */profiles/*.toml; do "$BIN/masticctl" check profile "$FILE"; done
