#!/usr/bin/env python3
"""Prints the thread sanitizer's reports in a folder; exits 1 where one is ours.

Debian's CAF library is not instrumented, so the sanitizer can't see that its
mailboxes order a message's making before its reading and its end. A report
whose innermost frame, the allocator's and the sanitizer's own aside, is CAF's own is passed over; what
masticproxy's code does below CAF's frames is not.
"""
import pathlib
import re
import sys

FRAME = re.compile(r"^\s+#\d+ (.*)$")


def is_allocator(frame):
    return "libtsan.so" in frame or frame.startswith(
        ("operator new", "operator delete", "malloc", "free"))


def is_cafs(report):
    for line in report.splitlines():
        match = FRAME.match(line)
        if match and not is_allocator(match.group(1)):
            frame = match.group(1)
            return "caf::" in frame.split("(")[0].split("<")[0] or "libcaf_core" in frame
    return False


ours = passed_over = 0
for path in sorted(pathlib.Path(sys.argv[1]).iterdir()):
    for report in path.read_text().split("=================="):
        if "WARNING: ThreadSanitizer" not in report and "ERROR: " not in report:
            continue
        if "WARNING: ThreadSanitizer: data race" in report and is_cafs(report):
            passed_over += 1
        else:
            ours += 1
            print(report)
print(f"thread sanitizer: {ours} reports, {passed_over} within CAF passed over")
sys.exit(1 if ours else 0)
