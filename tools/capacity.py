#!/usr/bin/env python3
"""Works out the tables of docs/CAPACITY.md from docs/capacity/slopes.json.

Usage: tools/capacity.py [--check]

Rewrites what stands between the page's markers; with --check it changes
nothing and exits 1 where page and measurement disagree.
"""
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES = ROOT / "docs" / "capacity" / "slopes.json"

# The target size.
NODES, SERVERS, DATA_CENTRES, REGIONS = 480, 2300, 12, 3
QUERIES_PER_S, SERVERS_PER_QUERY, WAIT_S = 87_000, 160, 0.3
CHANGES_PER_DAY, CHANGE_BOUND_S = 1500, 8
RESTARTS_PER_DAY = 840
BUDGET_CORE, BUDGET_BYTES, BUDGET_MEMORY = 0.042, 22_000, 64e6
PLATFORM_READS_PER_S, PLATFORM_WRITES_PER_S = 2000, 300
PROFILES, INDEXES, SHARDS_PER_INDEX = 200, 20, 160
DAY_S = 86_400

VMS = NODES // DATA_CENTRES
NODE_QUERIES = QUERIES_PER_S / NODES
NODE_SUB_REQUESTS = NODE_QUERIES * SERVERS_PER_QUERY


def line(points, x, y):
    """Slope and intercept through the first and the last point."""
    (x0, y0), (x1, y1) = [(p[x], p[y]) for p in (points[0], points[-1])]
    slope = (y1 - y0) / (x1 - x0)
    return slope, y0 - slope * x0


def at(points, x, y, where):
    slope, intercept = line(points, x, y)
    return slope * where + intercept


def number(value):
    if value >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def verdict(value, budget):
    share = value / budget
    return f"{share:.0%} of the budget" if share <= 1 else f"**{share:.1f} times the budget**"


def table(head, rows):
    out = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    out += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(out)


def largest_fleet(heartbeat, beats_per_s):
    """Most VMs of one data centre whose heartbeats fit the byte budget."""
    members = 2
    while (members + 1) * beats_per_s * at(heartbeat, "members", "frame_bytes",
                                           members + 1) <= BUDGET_BYTES and members < 10_000:
        members += 1
    return members


def data_path(slopes):
    cost = line(slopes["load"], "sub_requests", "processor_s")[0]
    engine = slopes["engine"]
    under_way = NODE_QUERIES * WAIT_S
    runs = under_way * engine["bytes_per_query_under_way"]
    timeline = 20_000 * slopes["timeline"]["bytes_per_event"]
    maps = INDEXES * at(slopes["index_map"], "shards", "held_bytes", SHARDS_PER_INDEX)
    rows = [
        ("Queries a second", number(NODE_QUERIES), f"{QUERIES_PER_S:,} / {NODES}"),
        ("Sub-requests a second", number(NODE_SUB_REQUESTS),
         f"{SERVERS_PER_QUERY} for each query"),
        ("Processor time, whole daemon", f"{cost * NODE_SUB_REQUESTS:.2f} cores",
         f"{cost * 1e6:.1f} us for each sub-request, measured on the stand-ins"),
        ("of that, the decisions",
         f"{engine['ns_per_sub_request'] * 1e-9 * NODE_SUB_REQUESTS:.3f} cores",
         f"{engine['ns_per_sub_request']:.0f} ns for each sub-request"),
        ("Queries under way, at most", number(under_way),
         f"{NODE_QUERIES:.0f}/s for the whole wait of {WAIT_S} s"),
        ("Memory of these", f"{runs / 1e6:.1f} MB",
         f"{engine['bytes_per_query_under_way'] / 1000:.1f} kB each with "
         f"{engine['shards']} shards"),
        ("Memory of the index maps", f"{maps / 1e6:.2f} MB",
         f"{INDEXES} maps of {SHARDS_PER_INDEX} shards, 3 replicas each"),
        ("Memory of the time line", f"{timeline / 1e6:.1f} MB",
         f"20,000 events of {slopes['timeline']['bytes_per_event']:.0f} bytes"),
    ]
    return table(("Data path of one VM", "At the target", "Worked out from"), rows)


def control(slopes):
    idle = slopes["idle"]
    sent = next(p for p in idle if p["vms"] == VMS)["peer_bytes_sent_per_s"]
    core = next(p for p in idle if p["vms"] == VMS)["processor_share"]
    resident = next(p for p in idle if p["vms"] == VMS)["resident_bytes"]
    catalogue = at(slopes["catalogue"], "profiles", "held_bytes", PROFILES)
    texts = INDEXES * at(slopes["index_map"], "shards", "text_bytes", SHARDS_PER_INDEX)
    change = at(slopes["catalogue"], "profiles", "change_ns", PROFILES) * 1e-9
    in_force = max(p["change_in_force_s"] for p in idle)
    both_ways = 2 * sent
    memory = resident + catalogue + texts
    rows = [
        ("Heartbeats, sent and received", f"{both_ways / 1000:.1f} kB/s",
         verdict(both_ways, BUDGET_BYTES),
         f"measured with {VMS} idle VMs of one data centre"),
        ("Processor time", f"{core:.2%} of a core", verdict(core, BUDGET_CORE),
         "the same run; all duties but the data path"),
        ("Memory", f"{memory / 1e6:.1f} MB", verdict(memory, BUDGET_MEMORY),
         f"{resident / 1e6:.1f} MB resident, {PROFILES} profiles and {INDEXES} index texts"),
        ("Configuration changes", f"one every {DAY_S / CHANGES_PER_DAY:.0f} s",
         f"{change * CHANGES_PER_DAY / DAY_S:.1e} of a core",
         f"{change * 1e6:.0f} us to take over one with {PROFILES} profiles"),
        ("Time until an edit is in force on all VMs of a data centre", f"{in_force:.3f} s",
         verdict(in_force, CHANGE_BOUND_S), f"largest of 3 edits for each of {len(idle)} fleets"),
    ]
    return table(("Control of one VM", "At the target", "Against its bound", "Worked out from"),
                 rows)


def platform(slopes):
    slope, _ = line(slopes["idle"], "vms", "platform_calls_per_s")
    calls = slope * NODES
    most = PLATFORM_READS_PER_S / slope if slope > 0 else float("inf")
    pull = INDEXES * at(slopes["index_map"], "shards", "text_bytes", SHARDS_PER_INDEX) + at(
        slopes["catalogue"], "profiles", "held_bytes", PROFILES)
    rows = [
        ("Reads and waiting watches", f"{calls:.0f}/s", verdict(calls, PLATFORM_READS_PER_S),
         f"{slope:.2f}/s for each further VM of a data centre, measured idle"),
        ("Writes for configuration", f"{CHANGES_PER_DAY / DAY_S:.3f}/s",
         verdict(CHANGES_PER_DAY / DAY_S, PLATFORM_WRITES_PER_S), "one for each edit"),
        ("VMs at which the reads are used up", number(most) if most < 1e6 else "no such size",
         "", "the same slope"),
        ("A restart", f"one every {DAY_S / RESTARTS_PER_DAY:.0f} s",
         f"{pull / 1e6:.2f} MB from a peer", "all profiles and index maps"),
    ]
    return table(("The platform's service", "At the target", "Against its bound",
                  "Worked out from"), rows)


def first_to_break(slopes):
    beats = 2 * 2
    heartbeat = slopes["heartbeat"]
    return (f"With the heartbeat frames of this version "
            f"({heartbeat[0]['frame_bytes']} bytes at {heartbeat[0]['members']} members, "
            f"{heartbeat[-1]['frame_bytes']} at {heartbeat[-1]['members']}), two a second to "
            f"each peer, the byte budget holds up to {largest_fleet(heartbeat, beats)} VMs of a "
            f"data centre; the target has {VMS}.")


def render(page, slopes):
    for name, text in (("data-path", data_path(slopes)), ("control", control(slopes)),
                       ("platform", platform(slopes)), ("first", first_to_break(slopes))):
        begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        head, rest = page.split(begin)
        page = head + begin + "\n" + text + "\n" + end + rest.split(end)[1]
    return page


def main():
    page = PAGE.read_text()
    wanted = render(page, json.loads(SLOPES.read_text()))
    if "--check" not in sys.argv:
        PAGE.write_text(wanted)
    elif page != wanted:
        sys.exit("docs/CAPACITY.md does not fit docs/capacity/slopes.json: "
                 "run tools/capacity.py")


main()
