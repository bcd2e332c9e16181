#!/usr/bin/env bash
# usage: run.sh FOLDER_OF_PROGRAMS [SECONDS_TO_STAY]
HERE=$(cd "$(dirname "$0")" && pwd)
exec "$HERE/../run_deployment.sh" "$HERE" "$@"
