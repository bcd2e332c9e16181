#!/usr/bin/env python3
"""Holds the tables of docs/PROOFS.md against the tests that ran.

    tools/check_proofs.py BUILD [PAGE]

In the columns of tests a cell names tests in backticks, as `TEST` or
`TEST:CASE`, or says "none". Each TEST has to be one of CTest's and to have
passed in CTest's last run; each CASE has to be a Criterion test of its
program, of which none was passed over. A test that KNOWN-RED.txt lists need
not have run.
"""

import dataclasses
import fnmatch
import json
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
TEST_COLUMNS = ("Property tests", "Differential tests", "Process tests",
                "Broken variants caught")
NOTHING = "none"


@dataclasses.dataclass
class ctest_run:
    """What CTest's last run says of one test."""
    passed: bool
    cases_run: int | None


@dataclasses.dataclass
class ctest_test:
    """One test of CTest: the command, and how its last run went."""
    command: list
    run: ctest_run | None = None


def read_cells(page):
    """Yields the row's name, the column and the text of each cell of tests."""
    header = []
    for line in page.splitlines():
        if not line.startswith("|"):
            header = []
            continue
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if not header:
            header = cells
        elif not set(cells[0]) <= {"-", ":"}:
            if len(cells) != len(header):
                yield cells[0], "all", ""
            for column, cell in zip(header, cells):
                if column in TEST_COLUMNS:
                    yield cells[0], column, cell


def read_log(text):
    """Returns the runs in the text of CTest's LastTest.log by test."""
    runs = {}
    for part in re.split(r"^\d+/\d+ Testing: ", text, flags=re.M)[1:]:
        tested = re.search(r"Synthesis: Tested: (\d+)", part)
        runs[part.split("\n", 1)[0].strip()] = ctest_run(
            "\nTest Passed." in part, int(tested[1]) if tested else None)
    return runs


def read_listing(text):
    """Returns the cases, as suite/case, that a Criterion program lists."""
    cases, suite = [], ""
    for line in text.splitlines():
        heading = re.fullmatch(r"(\w+): \d+ tests?", line.strip())
        case = re.search(r"(?:├──|└──|\|--|`--)\s*(\w+)", line)
        if heading:
            suite = heading[1]
        elif case:
            cases.append(f"{suite}/{case[1]}")
    return cases


def list_cases(command):
    """Returns the cases that a test's command runs."""
    listed = subprocess.run([command[0], "--list"], check=True,
                            capture_output=True, text=True)
    pattern = command[2] if command[1:2] == ["--filter"] else "*"
    return [case for case in read_listing(listed.stdout)
            if fnmatch.fnmatch(case, pattern)]


def read_tests(build):
    """Returns CTest's tests of a build by name."""
    log = pathlib.Path(build, "Testing/Temporary/LastTest.log")
    kept = log.read_bytes() if log.exists() else b""
    listed = subprocess.run(
        ["ctest", "--test-dir", str(build), "--show-only=json-v1"],
        check=True, capture_output=True, text=True)
    # Listing the tests empties the log.
    log.write_bytes(kept)
    runs = read_log(kept.decode(errors="replace"))
    return {test["name"]: ctest_test(test.get("command", []),
                                     runs.get(test["name"]))
            for test in json.loads(listed.stdout)["tests"]}


def problem_of(name, tests, red, cases_of):
    """Returns what is wrong with one `TEST` or `TEST:CASE`, or None."""
    test_name, _, case = name.partition(":")
    test = tests.get(test_name)
    if test is None:
        return "CTest has no such test"
    if test_name not in red and (test.run is None or not test.run.passed):
        return "did not run" if test.run is None else "failed"
    if not case:
        return None
    cases = cases_of(test.command)
    if case not in [known.split("/")[1] for known in cases]:
        return "the program has no such case"
    if test_name not in red and test.run.cases_run != len(cases):
        return f"ran {test.run.cases_run} of its {len(cases)} cases"
    return None


def problems(page, tests, red, cases_of=list_cases):
    """Yields one line for each cell or name that does not hold."""
    rows = 0
    for row, column, cell in read_cells(page):
        rows += 1
        names = re.findall(r"`([^`]+)`", cell)
        if not names and cell != NOTHING:
            yield f"{row}, {column}: names no test and does not say none"
        for name in names:
            problem = problem_of(name, tests, red, cases_of)
            if problem:
                yield f"{row}, {column}: {name}: {problem}"
    if rows == 0:
        yield "the page has no table of tests"


def main():
    if len(sys.argv) not in (2, 3):
        sys.exit(__doc__)
    page = pathlib.Path(sys.argv[2] if len(sys.argv) == 3
                        else ROOT / "docs/PROOFS.md").read_text()
    red_page = ROOT / "KNOWN-RED.txt"
    red = set(re.findall(r"^test: *(\w+)", red_page.read_text(), re.M)
              if red_page.exists() else [])
    found = list(problems(page, read_tests(sys.argv[1]), red))
    print("\n".join(found) or "every test of the page exists and passed")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
