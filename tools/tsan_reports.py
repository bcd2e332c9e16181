#!/usr/bin/env python3
"""Prints the thread sanitizer's reports in a folder; exits 1 where one is ours.

Debian's CAF library is not instrumented, so the sanitizer can't see that its
mailboxes order a message's making before its reading and its end. A report
whose innermost frame, the allocator's and the sanitizer's own aside, is CAF's own is passed over; what
masticproxy's code does below CAF's frames is not.

The programs run with symbolize=0: at its first report the sanitizer would read
all debug information, which stops the reporting thread, most often the control
actor, for up to two seconds. The names are looked up here instead. The second
argument is the folder of the programs.
"""
import pathlib
import re
import subprocess
import sys

FRAME = re.compile(r"^\s+#\d+ (.*)$")
PLACE = re.compile(r"\((\S+)\+(0x[0-9a-f]+)\)")


def modules_of(folder):
    """The files of the programs in the folder and of their libraries, by name."""
    files = {}
    for program in pathlib.Path(folder).iterdir():
        files[program.name] = program
        listing = subprocess.run(["ldd", program], capture_output=True, text=True)
        for path in re.findall(r"=> (/\S+)", listing.stdout):
            files[pathlib.Path(path).name] = pathlib.Path(path).resolve()
    return files


def names_of(module, offsets):
    """The function at each offset of a module, the innermost inlined one."""
    lookup = subprocess.run(["addr2line", "-f", "-C", "-i", "-a", "-e", module],
                            input="\n".join(offsets), capture_output=True,
                            text=True, check=True)
    lines = lookup.stdout.splitlines()
    return {int(line, 16): lines[i + 1] for i, line in enumerate(lines)
            if line.startswith("0x")}


def with_names(texts, folder):
    """The reports with the function's name before each place."""
    files = modules_of(folder)
    places = {}
    for module, offset in PLACE.findall("".join(texts)):
        module = pathlib.Path(module).name
        if module in files:
            places.setdefault(module, set()).add(offset)
    names = {module: names_of(files[module], sorted(offsets))
             for module, offsets in places.items()}

    def named(match):
        module = pathlib.Path(match[1]).name
        name = names.get(module, {}).get(int(match[2], 16), "??")
        return f"{name} ({module}+{match[2]})"

    return [PLACE.sub(named, text) for text in texts]


def is_allocator(frame):
    return "libtsan.so" in frame or frame.startswith(
        ("operator new", "operator delete", "malloc", "free"))


def is_cafs(report):
    for line in report.splitlines():
        match = FRAME.match(line)
        frame = match and match.group(1).replace("<null> <null> ", "")
        if frame and not is_allocator(frame):
            return "caf::" in frame.split("(")[0].split("<")[0] or "libcaf_core" in frame
    return False


ours = passed_over = 0
texts = [path.read_text() for path in sorted(pathlib.Path(sys.argv[1]).iterdir())]
for text in with_names(texts, sys.argv[2]):
    for report in text.split("=================="):
        if "WARNING: ThreadSanitizer" not in report and "ERROR: " not in report:
            continue
        if "WARNING: ThreadSanitizer: data race" in report and is_cafs(report):
            passed_over += 1
        else:
            ours += 1
            print(report)
print(f"thread sanitizer: {ours} reports, {passed_over} within CAF passed over")
sys.exit(1 if ours else 0)
