#!/usr/bin/env python3
"""Takes mended faults back, one at a time, and lets the fault soak find them.

    tools/soak_variants.py BUILD FOLDER [NAME...]

Each variant is the daemon with some lines as they were before a fault was
mended, built in FOLDER/NAME. Seeds are played side by side until a promise is
broken, for five minutes at most. Prints one row a variant; exit code 1 where
one was not found.
"""

import concurrent.futures
import dataclasses
import os
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
LIMIT_S = 300
JOBS = int(os.environ.get("JOBS", "4"))
SECONDS_OF_RUN = 15
FIRST_SEED = 901
FIRST_NET = 20


@dataclasses.dataclass
class edit:
    """Lines of a file, and what stands for them while a fault is back."""
    file: str
    mended: str
    broken: str


@dataclasses.dataclass
class variant:
    """One mended fault, and how to bring it back."""
    name: str
    edits: list


DAEMON = "packages/daemon/masticproxy/src/Daemon/"
NET = "packages/net/masticproxy/src/Net/"
CORE = "packages/core/masticproxy/src/"

VARIANTS = [
    variant("foreign_response", [
        edit(DAEMON + "forwarding.cpp",
             "if (!Id.empty() && Id != Attempt.RequestId)", "if (false)")]),
    variant("same_request_on_its_connection", [
        edit(DAEMON + "upstreams_thread.cpp",
             "bool NeedsNew = Held.Unanswered.contains(Command.RequestId);",
             "bool NeedsNew = false;")]),
    variant("route_named_like_a_service", [
        edit("platform/masticproxy/src/Platform/configuration_codec.cpp",
             'return "route:" + std::string(Route);',
             'return "service:" + std::string(Route);')]),
    variant("endless_answer", [
        edit(NET + "http_connection.cpp", "MaxBufferedBytes = 32U << 10U;",
             "MaxBufferedBytes = 1U << 31U;"),
        edit(NET + "http_connection.cpp",
             "Parser->get().body().capacity() + Buffer.capacity()",
             "Parser->get().body().capacity()")]),
    variant("lost_answer_to_a_watch", [
        edit(NET + "held_call.cpp", "at(Check.Due(), [this] { check(); });",
             "")]),
    variant("threads_address_space", [
        edit("packages/daemon/main.cpp", "  limitAddressSpace();\n", "")]),
    variant("body_to_head", [
        edit(NET + "http_convert.cpp", "if (Method == http::verb::head) {",
             "if (false) {")]),
    # What contains exceptions was mended with their cause.
    variant("trace_with_a_body", [
        edit(NET + "http_request_parser.cpp",
             "Request.method() == http::verb::trace &&", "false &&"),
        edit(NET + "http_convert.cpp",
             "if (StatesLength)\n    To.content_length(To.body().size());",
             "To.prepare_payload();"),
        edit(NET + "http_connection.cpp",
             "} catch (const std::exception &) {\n      // A field",
             "} catch (int) {\n      // A field"),
        edit(DAEMON + "error_boundary.h",
             "  } catch (const std::exception &Error) {\n"
             "    recordContained(Counters, Where, Error);\n",
             "  } catch (int) {\n")]),
    variant("success_without_a_part", [
        edit(CORE + "Query/query_run.cpp",
             "bool NoneAsked = Covered.Asked == 0 && !Route;",
             "bool NoneAsked = Covered.Asked == 0 || Profile.Coverage == 0;")]),
    variant("leaving_upstream", [
        edit(CORE + "Routing/excluded_processes.cpp",
             "if (Leaving)\n    return time_point::max();", "(void)Leaving;"),
        edit(DAEMON + "upstreams_thread.cpp", "if (Unwanted)", "if (false)")]),
    variant("pausing_upstream", [
        edit(CORE + "Routing/excluded_processes.cpp",
             "std::max(Record.MisdirectedUntil, Record.PausedUntil)",
             "Record.MisdirectedUntil"),
        edit(DAEMON + "upstreams_thread.cpp", "if (Unwanted)", "if (false)")]),
]


def build(one, folder):
    """Builds the daemon of a variant. Returns the folder of its programs."""
    tree = folder / one.name
    subprocess.run(["git", "clone", "-q", ROOT, tree], check=True)
    for change in one.edits:
        source = tree / change.file
        text = source.read_text()
        if text.count(change.mended) != 1:
            sys.exit(f"{one.name}: {change.file} has changed")
        source.write_text(text.replace(change.mended, change.broken))
    subprocess.run(["cmake", "-S", tree, "-B", tree / "build", "-G", "Ninja",
                    "-DMASTICPROXY_DAEMON_ONLY=ON", "-DCMAKE_CXX_FLAGS=-w",
                    "-DCMAKE_BUILD_TYPE=Release"],
                   check=True, stdout=subprocess.DEVNULL)
    subprocess.run(["cmake", "--build", tree / "build"], check=True,
                   stdout=subprocess.DEVNULL)
    return tree / "build" / "bin"


def play(build_folder, programs, folder, net, seed):
    """Plays one seed. Returns the first broken promise, or nothing."""
    # One of its own for each run, as several variants may be played at once.
    host = f"127.{FIRST_NET + net}.{seed // 250}.{seed % 250 + 1}"
    run = subprocess.run(
        [pathlib.Path(build_folder) / "bin/masticproxy_soak", "--programs",
         programs, "--settings", ROOT / "deploy/node.toml", "--folder",
         folder / f"seed-{seed}", "--seed", str(seed), "--seconds",
         str(SECONDS_OF_RUN), "--host", host],
        capture_output=True, text=True, check=False)
    if run.returncode > 1:
        sys.exit(f"seed {seed} could not run: {run.stderr}")
    return run.stdout.splitlines()[1].strip() if run.returncode else None


def find(one, build_folder, folder):
    """Plays seeds until one finds the variant. Returns its row."""
    programs = build(one, folder)
    net = VARIANTS.index(one)
    start = time.monotonic()
    seed = FIRST_SEED
    while time.monotonic() - start < LIMIT_S:
        seeds = range(seed, seed + JOBS)
        with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
            broken = list(pool.map(
                lambda s: play(build_folder, programs, folder / one.name, net, s),
                seeds))
        for number, promise in zip(seeds, broken):
            if promise:
                took = time.monotonic() - start
                return f"| {one.name} | {number} | {took:.0f} s | {promise} |"
        seed += JOBS
    return f"| {one.name} | not found | {LIMIT_S} s | |"


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    build_folder, folder = sys.argv[1], pathlib.Path(sys.argv[2])
    names = sys.argv[3:]
    rows = []
    for one in VARIANTS:
        if not names or one.name in names:
            rows.append(find(one, build_folder, folder))
            print(rows[-1], flush=True)
    sys.exit(any("not found" in row for row in rows))


main()
