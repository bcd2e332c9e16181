"""Pools the rounds left by measure_tail.sh in a folder and prints a table."""

import glob
import json
import math
import re
import sys

POLICIES = ("adaptive", "naive")
ATTEMPTS = re.compile(r'^masticproxy_attempts_total\{kind="(\w+)"\} (\d+)', re.M)


def attempts(path):
    """Returns the attempts by kind, over all VMs whose metrics are in path."""
    total = {"first": 0, "retry": 0, "hedge": 0}
    with open(path, encoding="utf-8") as file:
        for kind, count in ATTEMPTS.findall(file.read()):
            total[kind] += int(count)
    return total


def upstream_work(path):
    """Returns the attempts that the upstreams had to deal with so far."""
    total = 0
    with open(path, encoding="utf-8") as file:
        for line in file:
            counts = json.loads(line)
            total += sum(counts[k] for k in ("served", "cancelled", "refused"))
    return total


def quantile_ms(values, share):
    """Returns a quantile of sorted latencies in microseconds."""
    return values[max(0, math.ceil(share * len(values)) - 1)] / 1000.0


def pooled(folder, condition, policy):
    """Returns the pooled figures of one policy under one condition."""
    latencies, codes, coverage, work = [], {}, 0.0, 0
    made = {"first": 0, "retry": 0, "hedge": 0}
    for path in sorted(glob.glob(f"{folder}/{condition}.{policy}.*.json")):
        with open(path, encoding="utf-8") as file:
            run = json.load(file)
        latencies += run["latencies_us"]
        coverage += run["mean_coverage"] * run["codes"].get("answered", 0)
        for code, count in run["codes"].items():
            codes[code] = codes.get(code, 0) + count
        before = attempts(path.replace(".json", ".before"))
        after = attempts(path.replace(".json", ".after"))
        for kind in made:
            made[kind] += after[kind] - before[kind]
        work += upstream_work(path.replace(".json", ".counts_after"))
        work -= upstream_work(path.replace(".json", ".counts_before"))
    if made["first"] == 0:
        raise ValueError(f"no attempts counted: {condition} {policy}")
    answered = codes.get("answered", 0)
    latencies.sort()
    return {
        "requests": len(latencies),
        "p50": quantile_ms(latencies, 0.5),
        "p99": quantile_ms(latencies, 0.99),
        "p999": quantile_ms(latencies, 0.999),
        "coverage": coverage / answered if answered else 0.0,
        "extra": (made["retry"] + made["hedge"]) / made["first"],
        "work": work / made["first"] - 1,
        "hedges": made["hedge"],
        "retries": made["retry"],
        "refused": codes.get("not_run", 0),
        "other": len(latencies) - answered - codes.get("not_run", 0),
    }


def main():
    """Prints one line for each condition and policy."""
    print("| condition | policy | requests | p50 ms | p99 ms | p99.9 ms "
          "| coverage | extra load | extra at upstreams "
          "| hedges | retries | refused | other |")
    print("|---" * 13 + "|")
    for condition in sys.argv[2:]:
        for policy in POLICIES:
            row = pooled(sys.argv[1], condition, policy)
            print(f"| {condition} | {policy} | {row['requests']} "
                  f"| {row['p50']:.1f} | {row['p99']:.1f} "
                  f"| {row['p999']:.1f} | {row['coverage']:.4f} "
                  f"| {100 * row['extra']:.2f} % "
                  f"| {100 * row['work']:.2f} % | {row['hedges']} "
                  f"| {row['retries']} | {row['refused']} | {row['other']} |")


main()
