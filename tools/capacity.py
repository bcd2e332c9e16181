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

# What the daemon does by itself, as its sources have it.
BEATS_PER_S, LIST_INTERVAL_S, DEAD_AFTER_S = 2, 30, 6
LINKS_TO_EACH_DATA_CENTRE, REMOTE_BEATS_PER_S, WATCHERS = 2, 1, 2
# A segment with timestamps, and its acknowledgement.
HEADER_BYTES = 104
RACK_SHARE = 1 / 3

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


def fleet_of(slopes, vms):
    return next(p for p in slopes["idle"] if p["vms"] == vms)


def heartbeat_bytes(slopes):
    """Bytes a second that one VM sends and receives, headers included."""
    frames = slopes["heartbeat"][-1]["frames_per_interval"] * BEATS_PER_S
    return 2 * (fleet_of(slopes, VMS)["peer_bytes_sent_per_s"] + frames * HEADER_BYTES)


def remote_bytes(slopes):
    """Bytes a second that a watcher sends to other data centres."""
    frames = (DATA_CENTRES - 1) * LINKS_TO_EACH_DATA_CENTRE * REMOTE_BEATS_PER_S
    return frames * (slopes["heartbeat"][-1]["frame_bytes"] + HEADER_BYTES)


def map_text(slopes):
    return at(slopes["index_map"], "shards", "text_bytes", SHARDS_PER_INDEX)


def all_configuration(slopes):
    return INDEXES * map_text(slopes) + at(slopes["catalogue"], "profiles", "held_bytes",
                                           PROFILES)


def control(slopes):
    idle = fleet_of(slopes, VMS)
    core, resident = idle["processor_share"], idle["resident_bytes"]
    change = at(slopes["catalogue"], "profiles", "change_ns", PROFILES) * 1e-9
    in_force = max(p["change_in_force_s"] for p in slopes["idle"])
    beats = heartbeat_bytes(slopes)
    memory = resident + all_configuration(slopes)
    rows = [
        ("Heartbeats, sent and received", f"{beats / 1000:.1f} kB/s",
         verdict(beats, BUDGET_BYTES),
         f"measured with {VMS} idle VMs, and {HEADER_BYTES} bytes of headers a frame"),
        ("Processor time", f"{core:.2%} of a core", verdict(core, BUDGET_CORE),
         "the same run; all duties but the data path"),
        ("Memory", f"{memory / 1e6:.1f} MB", verdict(memory, BUDGET_MEMORY),
         f"{resident / 1e6:.1f} MB resident, {PROFILES} profiles and {INDEXES} index texts"),
        ("Configuration changes", f"one every {DAY_S / CHANGES_PER_DAY:.0f} s",
         f"{change * CHANGES_PER_DAY / DAY_S:.1e} of a core",
         f"{change * 1e6:.0f} us to take over one with {PROFILES} profiles"),
        ("Time until an edit is in force on all VMs of a data centre", f"{in_force:.3f} s",
         verdict(in_force, CHANGE_BOUND_S),
         f"largest of 3 edits for each of {len(slopes['idle'])} fleets"),
    ]
    return table(("Control of one VM", "At the target", "Against its bound", "Worked out from"),
                 rows)


def watcher(slopes):
    links = remote_bytes(slopes)
    all_bytes = heartbeat_bytes(slopes) + links
    pushed = (VMS - 1) * map_text(slopes)
    changes = max(0, BUDGET_BYTES - all_bytes) * DAY_S / pushed
    rows = [
        ("Heartbeats to other data centres", f"{links / 1000:.1f} kB/s", "",
         f"{LINKS_TO_EACH_DATA_CENTRE} VMs of each of {DATA_CENTRES - 1}, "
         f"{REMOTE_BEATS_PER_S} a second"),
        ("All its heartbeats", f"{all_bytes / 1000:.1f} kB/s", verdict(all_bytes, BUDGET_BYTES),
         "with those of every VM"),
        ("A change of an index map", f"{pushed / 1e6:.2f} MB at once", "",
         f"{map_text(slopes) / 1000:.1f} kB to each of {VMS - 1} peers"),
        ("Changes of index maps that the rest of the budget carries",
         f"{number(changes)} a day", f"of {CHANGES_PER_DAY:,} changes of all kinds",
         "the bytes left, averaged over a day"),
    ]
    return table(("A watcher, besides", "At the target", "Against its bound", "Worked out from"),
                 rows)


def relay(slopes):
    points = slopes["relay"]
    asking = line(points, "relayed", "processor_s")[0]
    serving = line(points, "relayed", "other_processor_s")[0]
    size = line(points, "relayed", "relay_bytes")[0]
    moved = NODE_SUB_REQUESTS / (DATA_CENTRES - 1)
    rows = [
        ("Asking VM, all its sub-requests relayed", f"{asking * NODE_SUB_REQUESTS:.2f} cores",
         f"{asking * 1e6:.1f} us each, measured between two VMs"),
        ("Bytes both ways", f"{size * NODE_SUB_REQUESTS / 1e6:.1f} MB/s",
         f"{size:.0f} bytes for each sub-request"),
        ("Serving VM, its part of one data centre's", f"{serving * moved:.2f} cores",
         f"{serving * 1e6:.1f} us each, {moved:,.0f} a second"),
    ]
    return table(("Relay between data centres", "At the target", "Worked out from"), rows)


def client(slopes):
    processor = at(slopes["client"], "vms", "processor_s", NODES)
    wall = at(slopes["client"], "vms", "wall_s", NODES)
    rows = [
        ("`masticctl status` of all VMs", f"{processor * 1000:.0f} ms of a core",
         f"line through {', '.join(str(p['vms']) for p in slopes['client'])} VMs"),
        ("its time", f"{wall * 1000:.0f} ms", "the same runs, all VMs answering on loopback"),
    ]
    return table(("Operators' client", "At the target", "Worked out from"), rows)


def claims(slopes):
    calls = line([{"requests": sum(p["codes"].values()), **p} for p in slopes["once"]],
                 "requests", "platform_calls")[0]
    writes = 2
    rate = PLATFORM_WRITES_PER_S / writes
    rows = [
        ("Platform calls for each request", f"{calls:.2f}",
         "measured while it runs; its claim is deleted minutes later by one more"),
        ("Requests a second that the writes carry", number(rate),
         f"{PLATFORM_WRITES_PER_S} writes a second, {writes} for each request"),
        ("of all queries", f"{rate / QUERIES_PER_S:.2%}", f"of {QUERIES_PER_S:,} a second"),
    ]
    return table(("Requests that must not be repeated", "At the target", "Worked out from"), rows)


def platform(slopes):
    following = max(p["platform_calls_per_s"] for p in slopes["idle"]) * DATA_CENTRES
    listing = NODES / LIST_INTERVAL_S
    calls = following + listing
    rows = [
        ("Watches and reads", f"{following:.0f}/s", verdict(following, PLATFORM_READS_PER_S),
         f"most of any idle fleet of one data centre, {DATA_CENTRES} times"),
        ("Lists of VMs", f"{listing:.0f}/s", verdict(listing, PLATFORM_READS_PER_S),
         f"each VM every {LIST_INTERVAL_S} s"),
        ("VMs at which the reads are used up",
         number(PLATFORM_READS_PER_S / calls * NODES), "", "both in proportion"),
        ("Writes for configuration", f"{CHANGES_PER_DAY / DAY_S:.3f}/s",
         verdict(CHANGES_PER_DAY / DAY_S, PLATFORM_WRITES_PER_S), "one for each edit"),
    ]
    return table(("The platform's service", "At the target", "Against its bound",
                  "Worked out from"), rows)


def failures(slopes):
    cost = line(slopes["load"], "sub_requests", "processor_s")[0]
    ready = slopes["restart"]["ready_s"]
    outage = slopes["outage"]
    peak = max(outage["calls_each_second"]) * DATA_CENTRES
    more = NODE_SUB_REQUESTS * DATA_CENTRES / (DATA_CENTRES - 1)
    rack = VMS * (1 - RACK_SHARE)
    rows = [
        ("A VM restarts", f"one every {DAY_S / RESTARTS_PER_DAY:.0f} s",
         f"ready after {ready:.1f} s, measured among {slopes['restart']['vms']} VMs; takes "
         f"{all_configuration(slopes) / 1e6:.2f} MB from a peer"),
        ("A VM fails", "4 a day",
         f"dead after {DEAD_AFTER_S} s, its connections shared out after {2 * DEAD_AFTER_S} s"),
        ("A rack is gone", "every month or two",
         f"the same; {rack:.0f} of {VMS} VMs take {1 / (1 - RACK_SHARE):.2f} times their load, "
         f"{cost * NODE_SUB_REQUESTS / (1 - RACK_SHARE):.2f} cores"),
        ("A data centre is gone", "every other month",
         f"its callers go elsewhere: {more:,.0f} sub-requests a second on each VM, "
         f"{cost * more:.2f} cores; no state is lost, as none is its own"),
        ("Regions are apart", "for minutes, several times a year",
         "no membership reaches across; what can't be reached lowers the stated coverage; "
         f"afterwards {(DATA_CENTRES - 1) * LINKS_TO_EACH_DATA_CENTRE} links a watcher bring "
         "configuration level"),
        ("The platform is back", "after an hour",
         f"at most {peak} calls in a second from all VMs: {DATA_CENTRES} times the most of one "
         f"data centre, measured after {outage['outage_s']} s, beyond which waits do not grow"),
    ]
    return table(("Failure", "How often", "What it costs"), rows)


def first_to_break(slopes):
    pushed = (VMS - 1) * map_text(slopes)
    changes = max(0, BUDGET_BYTES - heartbeat_bytes(slopes) - remote_bytes(slopes))
    return (f"1. Requests that must not be repeated: beyond "
            f"{PLATFORM_WRITES_PER_S / 2 / QUERIES_PER_S:.2%} of the queries the platform's "
            "writes are used up. Ranges of ids leased to one VM are the way out.\n"
            f"2. Changes of index maps: more than {number(changes * DAY_S / pushed)} a day of "
            f"{SHARDS_PER_INDEX} shards pass a watcher's byte budget. Passing them on from VM to "
            "VM in a tree is the way out.\n"
            f"3. Members: of more than {4 * 13} VMs in a data centre each hears each other less "
            f"than every 2 s, too seldom for `peers.suspect_after`; the target has {VMS}.")


def render(page, slopes):
    for name, text in (("data-path", data_path(slopes)), ("control", control(slopes)),
                       ("watcher", watcher(slopes)), ("relay", relay(slopes)),
                       ("claims", claims(slopes)), ("client", client(slopes)),
                       ("platform", platform(slopes)), ("failures", failures(slopes)),
                       ("first", first_to_break(slopes))):
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
