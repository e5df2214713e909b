#!/usr/bin/env python3
"""Works out slopes and the figures at the scale target, and checks them against the bounds of docs/design.md.

usage: bench-report.py FOLDER
Reads FOLDER/benchmark-*.json and FOLDER/lab-*.json, prints the tables, writes FOLDER/report.json and exits
with 1 where a bound is broken or a benchmark failed.
"""

import glob
import json
import math
import os
import sys

# The scale target of docs/design.md, section 1.4.
UPSTREAMS = 26_000
SERVICES = 1_200
DATA_CENTRES = 8
MEMBERS = 3_250
CHANGES_PER_SECOND = 33_000 / 86_400
RESTARTS_PER_SECOND = 5_800 / 86_400
CALLS_PER_SECOND = 1_900_000
CALLS_PER_NODE = CALLS_PER_SECOND / UPSTREAMS
WORST_HOUR = 10

# Bounds of docs/design.md, sections 1.4 and 1.5.
MAXIMUM_CORE_SHARE = 0.012
MAXIMUM_BYTES = 32_000_000
MAXIMUM_BYTES_PER_SECOND = 14_000
MAXIMUM_READS = 2_000
# The least that "several hundred" writes a second can mean.
MAXIMUM_WRITES = 300
MAXIMUM_CONVERGENCE_SECONDS = 6
MAXIMUM_ADDED_LATENCY_MS = 1.6

# Settings of the protocols, from the design page and the settings headers.
READERS = 3
POLLS_PER_SECOND = 2
CONTACT_ROWS = 8
CONTACT_PERIOD_SECONDS = 30
RESYNC_SECONDS_PER_MEMBER = 0.1
FAN_OUT = 8
BATCH_WINDOW_SECONDS = 0.05
HOLD_TIMEOUT_SECONDS = 1
ACK_TIMEOUT_SECONDS = 0.3
SELECTOR_PROBES = 64

# Half way, on logarithmic scales, between a cost that is constant and one that grows with the configuration.
MAXIMUM_EXPONENT_OF_CHANGE = 0.5

NANOSECONDS = {"ns": 1, "us": 1e3, "ms": 1e6, "s": 1e9}


def read_benchmarks(folder):
    """Maps name -> {argument or tuple of arguments: record}. Returns the failures besides."""
    points, failures = {}, []
    for path in sorted(glob.glob(os.path.join(folder, "benchmark-*.json"))):
        with open(path, encoding="utf-8") as file:
            content = json.load(file)
        for record in content["benchmarks"]:
            if record.get("run_type") == "aggregate":
                continue
            parts = record["name"].split("/")
            if record.get("error_occurred"):
                failures.append(f"{record['name']}: {record.get('error_message', '')}")
                continue
            arguments = tuple(int(part) for part in parts[1:] if part.isdigit())  # Skips "iterations:1" and the like.
            record["cpu_ns"] = record["cpu_time"] * NANOSECONDS[record["time_unit"]]
            # The least of the repetitions is the one that other processes of the machine disturbed least.
            series = points.setdefault(parts[0], {})
            if arguments not in series or record["cpu_ns"] < series[arguments]["cpu_ns"]:
                series[arguments] = record
    return points, failures


def slope(pairs):
    """Least squares: (change of y for each unit of x, y at 0)."""
    mean_x = sum(x for x, _ in pairs) / len(pairs)
    mean_y = sum(y for _, y in pairs) / len(pairs)
    spread = sum((x - mean_x) ** 2 for x, _ in pairs)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread if spread else 0
    return gradient, mean_y - gradient * mean_x


def exponent(pairs):
    """The power of x that y grows with."""
    return slope([(math.log(x), math.log(y)) for x, y in pairs])[0]


class Points:
    def __init__(self, points):
        self.points = points

    def series(self, name, key="cpu_ns", rest=()):
        """(size, value) in ascending order; the benchmark has \\a rest as its further arguments."""
        return sorted((arguments[0], record[key]) for arguments, record in self.points[name].items() if arguments[1:] == tuple(rest))

    def at(self, name, arguments, key="cpu_ns"):
        return self.points[name][tuple(arguments)][key]


SERIES = [
    # title, benchmark, key, further arguments, unit, scale
    ("Configuration::tryApply of one change", "ConfigurationApply", "cpu_ns", (), "us", 1e-3),
    ("ConfigurationDelta::tryDecode", "DeltaDecode", "cpu_ns", (), "us", 1e-3),
    ("View::withConfiguration", "ViewWithConfiguration", "cpu_ns", (), "us", 1e-3),
    ("View::withEndpoints, one endpoint", "ViewWithEndpoint", "cpu_ns", (), "us", 1e-3),
    ("View::tryResolve", "ViewResolve", "cpu_ns", (), "us", 1e-3),
    ("snapshot encode", "SnapshotEncode", "cpu_ns", (), "ms", 1e-6),
    ("snapshot decode", "SnapshotDecode", "cpu_ns", (), "ms", 1e-6),
    ("snapshot", "SnapshotEncode", "bytes", (), "KB", 1e-3),
    ("memory of the configuration", "ConfigurationMemory", "heapBytes", (), "KB", 1e-3),
    ("memory of the view", "ViewMemory", "heapBytes", (), "KB", 1e-3),
    ("memory of the member list", "MembershipMemory", "heapBytes", (), "KB", 1e-3),
    ("MembershipTable::merge", "MembershipMerge", "cpu_ns", (), "us", 1e-3),
    ("UpstreamSelector::trySelect", "UpstreamSelect", "cpu_ns", (), "us", 1e-3),
    ("endpoints looked at", "UpstreamSelect", "mostProbes", (), "", 1),
    ("encode of a probe, by updates", "ProbeEncode", "cpu_ns", (), "us", 1e-3),
    ("probe, by updates", "ProbeEncode", "bytes", (), "B", 1),
    ("request frame encode, by body bytes", "RequestFrameEncode", "cpu_ns", (), "us", 1e-3),
    ("request frame decode, by body bytes", "RequestFrameDecode", "cpu_ns", (), "us", 1e-3),
    ("request through both proxies, by body bytes", "RequestThroughBoth", "cpu_ns", (), "us", 1e-3),
    ("distribution: frames per member", "DistributeChange", "framesPerMember", (), "", 1),
    ("distribution: bytes per member", "DistributeChange", "bytesPerMember", (), "B", 1),
    ("distribution: most bytes of one member", "DistributeChange", "mostBytesOfOneMember", (), "B", 1),
    ("distribution: deepest delivery", "DistributeChange", "deepestDelivery", (), "", 1),
    ("delegate of no other member", "DelegatePush", "cpu_ns", (0,), "us", 1e-3),
    ("delegate of the whole ring", "DelegatePush", "cpu_ns", (1,), "us", 1e-3),
    ("gossip sent, no news", "DetectorSecond", "sentBytesPerSecond", (0,), "B/s", 1),
    ("gossip sent, mean news", "DetectorSecond", "sentBytesPerSecond", (270,), "B/s", 1),
    ("gossip sent, worst hour", "DetectorSecond", "sentBytesPerSecond", (2700,), "B/s", 1),
    ("gossip datagrams, mean news", "DetectorSecond", "datagramsPerSecond", (270,), "/s", 1),
    ("gossip datagrams, worst hour", "DetectorSecond", "datagramsPerSecond", (2700,), "/s", 1),
    ("detector per second, no news", "DetectorSecond", "cpuPerSecond", (0,), "ms", 1e-6),
    ("detector per second, mean news", "DetectorSecond", "cpuPerSecond", (270,), "ms", 1e-6),
    ("detector per second, worst hour", "DetectorSecond", "cpuPerSecond", (2700,), "ms", 1e-6),
    ("contact: answer to a member of its data centre", "JoinAnswer", "bytes", (0,), "KB", 1e-3),
    ("contact: answer to a member of another one", "JoinAnswer", "bytes", (1,), "KB", 1e-3),
    ("contact: answer to a member of its data centre", "JoinAnswer", "cpu_ns", (0,), "ms", 1e-6),
    ("contact: answer to a member of another one", "JoinAnswer", "cpu_ns", (1,), "ms", 1e-6),
    ("contacts asked by a joining member, by data centres", "JoinRequests", "joinRequests", (), "", 1),
    ("bridge sent, mean news", "BridgeSecond", "sentBytesPerSecond", (270,), "B/s", 1),
    ("bridge sent, worst hour", "BridgeSecond", "sentBytesPerSecond", (2700,), "B/s", 1),
    ("bridge: first exchange, all data centres", "BridgeSecond", "firstBytes", (270,), "KB", 1e-3),
    ("bridge per second, mean news", "BridgeSecond", "cpuPerSecond", (270,), "ms", 1e-6),
    ("claims: transactions per claim, by claims a second", "ClaimTransactions", "transactionsPerClaim", (), "", 1),
]


def series_rows(points):
    rows = []
    for title, name, key, rest, unit, scale in SERIES:
        pairs = [(x, y * scale) for x, y in points.series(name, key, rest)]
        gradient, start = slope(pairs)
        rows.append({"title": title, "unit": unit, "points": pairs, "slopePerThousand": gradient * 1000, "start": start})
    return rows


def control_processor(points, news, factor):
    """Processor seconds of one node in a second, by part."""
    changes = CHANGES_PER_SECOND * factor
    records = points.at("DetectorSecond", (MEMBERS, news), "recordChangesPerSecond")
    leaf = points.at("DelegatePush", (MEMBERS, 0))
    whole = points.at("DelegatePush", (MEMBERS, 1))
    # One member in FAN_OUT is a delegate of others at most; the whole ring is the largest range.
    push = leaf * (1 - 1 / FAN_OUT) + whole / FAN_OUT
    view = points.at("ViewWithConfiguration", (UPSTREAMS,))
    nanoseconds = {
        "gossip and probes": points.at("DetectorSecond", (MEMBERS, news), "cpuPerSecond"),
        "distribution": changes * push,
        "view of new configurations": changes * view,
        "view of new members": records * points.at("ViewWithEndpoint", (UPSTREAMS,)),
        "full exchange of records": points.at("MembershipMerge", (UPSTREAMS,)) / RESYNC_SECONDS_PER_MEMBER,
    }
    return {part: value / 1e9 for part, value in nanoseconds.items()}


def control_bytes(points, news, factor):
    """Bytes that one node sends in a second, by part."""
    return {
        "gossip and probes": points.at("DetectorSecond", (MEMBERS, news), "sentBytesPerSecond"),
        "distribution": CHANGES_PER_SECOND * factor * points.at("DistributeChange", (MEMBERS,), "bytesPerMember"),
        "full exchange of records": points.at("MemberRecordSize", (25_999,), "bytes") / RESYNC_SECONDS_PER_MEMBER,
        "snapshots for joins": RESTARTS_PER_SECOND * factor / UPSTREAMS * points.at("SnapshotEncode", (UPSTREAMS,), "bytes"),
        "member lists for joins": contact_load(points, factor, "bytes") * CONTACT_ROWS * DATA_CENTRES / UPSTREAMS,
    }


def contact_load(points, factor, key):
    """Sum of \a key over the answers that one contact gives in a second."""
    near = points.at("JoinRequests", (1,), "joinRequests")
    far = points.at("JoinRequests", (DATA_CENTRES,), "joinRequests") - near
    each_join = near * points.at("JoinAnswer", (UPSTREAMS, 0), key) + far * points.at("JoinAnswer", (UPSTREAMS, 1), key)
    return RESTARTS_PER_SECOND * factor * each_join / (CONTACT_ROWS * DATA_CENTRES)


def role_bytes(points, news, factor):
    """Bytes that the holder of a role sends in a second beside those of every node, by role."""
    changes = CHANGES_PER_SECOND * factor
    every_member = points.at("DistributeChange", (MEMBERS,), "bytesPerMember")
    return {
        "first reader": changes * (points.at("DistributeChange", (MEMBERS,), "mostBytesOfOneMember") - every_member),
        "bridge": points.at("BridgeSecond", (UPSTREAMS, news), "sentBytesPerSecond"),
        "contact": contact_load(points, factor, "bytes"),
    }


def role_processor(points, news, factor):
    """Processor seconds in a second that a role costs beside those of every node, by role."""
    changes = CHANGES_PER_SECOND * factor
    nanoseconds = {
        "first reader": changes * points.at("DelegatePush", (MEMBERS, 1)),
        "bridge": points.at("BridgeSecond", (UPSTREAMS, news), "cpuPerSecond"),
        "contact": contact_load(points, factor, "cpu_ns"),
    }
    return {role: value / 1e9 for role, value in nanoseconds.items()}


def memory(points):
    return {
        "configuration": points.at("ConfigurationMemory", (UPSTREAMS,), "heapBytes"),
        "view": points.at("ViewMemory", (UPSTREAMS,), "heapBytes"),
        "member list": points.at("MembershipMemory", (UPSTREAMS,), "heapBytes"),
    }


def platform(factor):
    """(reads, writes) a second without claims, by part."""
    changes = CHANGES_PER_SECOND * factor
    joins = RESTARTS_PER_SECOND * factor
    readers = READERS * DATA_CENTRES
    reads = {
        "readers poll the head": readers * POLLS_PER_SECOND,
        "readers read change rows": readers * changes,
        "committers read objects": 2 * changes,
        "contacts": CONTACT_ROWS * DATA_CENTRES / CONTACT_PERIOD_SECONDS,
        "joins: contacts and head": 2 * joins,
    }
    writes = {"changes": changes, "contacts": CONTACT_ROWS * DATA_CENTRES / CONTACT_PERIOD_SECONDS}
    return reads, writes


def convergence(points):
    """Seconds to the last member where each level of the broadcast loses one delegate."""
    levels = points.at("DistributeChange", (MEMBERS,), "deepestDelivery")
    work = levels * points.at("DelegatePush", (MEMBERS, 1)) / 1e9
    return 1 / POLLS_PER_SECOND + BATCH_WINDOW_SECONDS + HOLD_TIMEOUT_SECONDS + levels * ACK_TIMEOUT_SECONDS + work


class Checks:
    def __init__(self):
        self.rows = []

    def add(self, title, value, bound=None, unit="", parts=None, decides=True):
        state = "shown"
        if bound is not None:
            state = "holds" if value <= bound else "BROKEN"
            if not decides:
                state = "within" if value <= bound else "over (shown)"
        self.rows.append({"title": title, "value": value, "bound": bound, "unit": unit, "state": state, "parts": parts or {}})

    def broken(self):
        return [row["title"] for row in self.rows if row["state"] == "BROKEN"]


def add_node_checks(checks, points):
    for label, news, factor in (("mean", 270, 1), ("worst hour", 2_700, WORST_HOUR)):
        shares = {part: 100 * value for part, value in control_processor(points, news, factor).items()}
        checks.add(f"control processor share, {label}", sum(shares.values()), 100 * MAXIMUM_CORE_SHARE, "% of a core", shares)
        sent = control_bytes(points, news, factor)
        checks.add(f"control bytes sent, {label}", sum(sent.values()), MAXIMUM_BYTES_PER_SECOND, "B/s", sent)
        checks.add(f"control bytes sent and received, {label}", 2 * sum(sent.values()), MAXIMUM_BYTES_PER_SECOND, "B/s", decides=False)
        role_shares = role_processor(points, news, factor)
        for role, value in role_bytes(points, news, factor).items():
            share = sum(shares.values()) + 100 * role_shares[role]
            checks.add(f"processor share of a {role}, {label}", share, 100 * MAXIMUM_CORE_SHARE, "% of a core", {"role alone": 100 * role_shares[role]})
            checks.add(f"bytes sent by a {role}, {label}", sum(sent.values()) + value, MAXIMUM_BYTES_PER_SECOND, "B/s", {"role alone": value})
    held = {part: value / 1e6 for part, value in memory(points).items()}
    checks.add("memory of the replicated state", sum(held.values()), MAXIMUM_BYTES / 1e6, "MB", held)


def add_platform_checks(checks, points):
    for label, factor in (("mean", 1), ("worst hour", WORST_HOUR)):
        reads, writes = platform(factor)
        checks.add(f"platform reads, {label}", sum(reads.values()), MAXIMUM_READS, "/s", reads)
        checks.add(f"platform writes without claims, {label}", sum(writes.values()), MAXIMUM_WRITES, "/s", writes)
    checks.add("reads of the herd of a data centre", 2 * MEMBERS, None, "reads")
    free = MAXIMUM_WRITES - sum(platform(1)[1].values())
    for rate in (1, 73, 1_000, 5_000):
        per_claim = points.at("ClaimTransactions", (rate,), "transactionsPerClaim")
        checks.add(f"at-most-once share, {rate} claims/s per claiming proxy", 100 * free / per_claim / CALLS_PER_SECOND, None, "% of calls")


def add_other_checks(checks, points):
    checks.add("convergence with one lost delegate a level", convergence(points), MAXIMUM_CONVERGENCE_SECONDS, "s")
    for title, name in (("tryApply", "ConfigurationApply"), ("withConfiguration", "ViewWithConfiguration")):
        checks.add(f"growth of {title} with the configuration", exponent(points.series(name)), MAXIMUM_EXPONENT_OF_CHANGE, "(exponent)")
    checks.add("endpoints looked at in each tier", points.at("UpstreamSelect", (1_000,), "mostProbes"), SELECTOR_PROBES, "", decides=False)
    request = points.at("RequestThroughBoth", (256,)) + points.at("UpstreamSelect", (100,)) + points.at("ViewResolve", (UPSTREAMS,))
    request += 2 * (points.at("RequestFrameEncode", (256,)) + points.at("RequestFrameDecode", (256,)))
    checks.add("processor time of a request in both proxies", request / 1e3, None, "us")
    checks.add("request path at 73 calls/s per node", request / 1e9 * CALLS_PER_NODE * 100, None, "% of a core")


def read_lab(folder):
    results = {}
    for path in sorted(glob.glob(os.path.join(folder, "lab-*.json"))):
        with open(path, encoding="utf-8") as file:
            results[os.path.basename(path)] = json.load(file)
    return results


# Measures of fuchsialab that have a bound in docs/design.md.
LAB_BOUNDS = {
    "single changes: accepted to held by all, longest": 1000 * MAXIMUM_CONVERGENCE_SECONDS,
    "burst of 50: last accepted to held by all": 1000 * MAXIMUM_CONVERGENCE_SECONDS,
    "quiet: control bytes, busiest proxy": MAXIMUM_BYTES_PER_SECOND,
    "quiet: processor time, busiest proxy": 100 * MAXIMUM_CORE_SHARE,
    "quiet: resident memory, largest proxy": MAXIMUM_BYTES / 2**20,
    "quiet: platform reads": MAXIMUM_READS,
    "1 at once: p99 difference": MAXIMUM_ADDED_LATENCY_MS,
}


def rows_of(result):
    """An experiment prints a list of {measure, value, unit}, on its own or under "rows"."""
    rows = result.get("rows", []) if isinstance(result, dict) else result
    return [row for row in rows if isinstance(row, dict) and "measure" in row]


def add_lab_checks(checks, lab):
    for name, result in lab.items():
        is_naive = name.startswith("lab-naive")
        for row in rows_of(result):
            bound = None if is_naive else LAB_BOUNDS.get(row["measure"])
            checks.add(f"{name[4:-5]}: {row['measure']}", row["value"], bound, row["unit"])


def print_series(rows):
    print(f"{'quantity':<52}{'points':<64}{'slope per 1,000':>16}")
    for row in rows:
        text = ", ".join(f"{x:,}: {y:,.4g}" for x, y in row["points"])
        print(f"{row['title']:<52}{text:<64}{row['slopePerThousand']:>16,.4g} {row['unit']}")


def print_checks(rows):
    print(f"\n{'at the scale target':<56}{'figure':>12}{'bound':>10}  {'unit':<14}state")
    for row in rows:
        bound = "-" if row["bound"] is None else f"{row['bound']:,.5g}"
        print(f"{row['title']:<56}{row['value']:>12,.4g}{bound:>10}  {row['unit']:<14}{row['state']}")
        for part, value in row["parts"].items():
            print(f"    {part:<52}{value:>12,.4g}")


def main():
    folder = sys.argv[1]
    records, failures = read_benchmarks(folder)
    for name in ("DetectorSecond", "BridgeSecond"):
        for record in records[name].values():
            record["cpuPerSecond"] = record["cpu_ns"] / record["protocolSeconds"]
    points = Points(records)
    rows = series_rows(points)
    checks = Checks()
    add_node_checks(checks, points)
    add_platform_checks(checks, points)
    add_other_checks(checks, points)
    lab = read_lab(folder)
    add_lab_checks(checks, lab)
    print_series(rows)
    print_checks(checks.rows)
    for name in lab:
        print(f"experiment: {name}")
    with open(os.path.join(folder, "report.json"), "w", encoding="utf-8") as file:
        json.dump({"series": rows, "checks": checks.rows, "lab": lab, "failures": failures}, file, indent=1)
    for problem in failures:
        print(f"failed: {problem}", file=sys.stderr)
    for title in checks.broken():
        print(f"broken bound: {title}", file=sys.stderr)
    return 1 if failures or checks.broken() else 0


if __name__ == "__main__":
    sys.exit(main())
