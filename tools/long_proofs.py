#!/usr/bin/env python3
"""Runs the property tests of a build with another seed and more schedules.

    tools/long_proofs.py build/release SEED FACTOR

FACTOR multiplies the number of cases that CTest runs. Prints one line for each
test, and the output of those that fail.
"""

import json
import os
import re
import subprocess
import sys


def property_tests(build):
    """Yields name, command and cases of each test above RapidCheck's usual."""
    listed = subprocess.run(
        ["ctest", "--test-dir", build, "--show-only=json-v1"],
        check=True, capture_output=True, text=True)
    for test in json.loads(listed.stdout)["tests"]:
        for entry in test.get("properties", []):
            if entry["name"] != "ENVIRONMENT":
                continue
            cases = re.search(r"max_success=(\d+)", " ".join(entry["value"]))
            if cases and int(cases[1]) > 100:
                yield test["name"], test["command"], int(cases[1])


def main():
    if len(sys.argv) != 4:
        sys.exit(__doc__)
    build, seed, factor = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    failed = 0
    for number, (name, command, cases) in enumerate(property_tests(build)):
        # Parts of one property must not run the same schedules.
        params = (f"seed={seed + number} noshrink=1 "
                  f"max_success={cases * factor}")
        run = subprocess.run(command, env={**os.environ, "RC_PARAMS": params},
                             capture_output=True, text=True, check=False)
        print("failed" if run.returncode else "passed", name, params,
              flush=True)
        if run.returncode:
            failed += 1
            print(run.stdout + run.stderr)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
