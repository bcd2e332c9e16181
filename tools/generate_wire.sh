#!/usr/bin/env bash
# Makes the committed FlatBuffers header again from its schema.
set -euo pipefail
cd "$(dirname "$0")/../packages/wire/masticproxy/src/Wire"
flatc --cpp --scoped-enums -o ../../generated peer.fbs
