#!/usr/bin/env python3
"""Prints the command that preprocesses one source: BUILD SOURCE."""
import json
import os
import shlex
import sys

build, source = sys.argv[1], os.path.abspath(sys.argv[2])
with open(os.path.join(build, "compile_commands.json")) as file:
    entries = json.load(file)
for entry in entries:
    if os.path.abspath(entry["file"]) != source:
        continue
    words = shlex.split(entry["command"])
    while os.path.basename(words[0]) in ("env", "ccache") or "=" in words[0]:
        words.pop(0)
    words[words.index("-o") + 1] = "-"
    words[words.index("-c")] = "-E"
    words.insert(1, "-P")
    if "-MF" in words:
        words[words.index("-MF") + 1] = "/dev/null"
    print("cd " + shlex.quote(entry["directory"]) + " && " + shlex.join(words))
    sys.exit(0)
sys.exit("no compile command for " + source)
