#!/usr/bin/env python3
"""Checks that all relays together keep the rate of cold servers, also of servers that become cold again, and use it."""
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from platform_cluster import PlatformCluster, call, configuration  # noqa: E402
from server_limit_test import LOAD_SECONDS, PROBLEMS, drive, expect  # noqa: E402

import json  # noqa: E402

SHARDS = ["s0", "s1"]
RATE = 12.0
ALLOWED = 1.5 * RATE + 5  # In any second.
HEARTBEAT_SECONDS = 2.0  # Until the next heartbeat of each server has reached all relays.


def most_in_a_second(times):
    times = sorted(times)
    first, most = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def check(cluster, name, path, services):
    leafs = [leaf for leaf in cluster.leafs if leaf.service in services]
    for leaf in leafs:
        leaf.warmup_ms = 3000
    time.sleep(HEARTBEAT_SECONDS)
    began = time.monotonic()
    drive(cluster, list(cluster.relays), "GET", path, LOAD_SECONDS)
    for leaf in leafs:
        times = [row[0] for row in leaf.arrived if began < row[0] < began + LOAD_SECONDS]
        most = most_in_a_second(times)
        expect(most <= ALLOWED, f"{name}: {leaf.id} got {most} requests in 1 s, {ALLOWED:.0f} allowed")
        expect(len(times) >= 0.6 * LOAD_SECONDS * RATE, f"{name}: {leaf.id} got {len(times)} requests")
        leaf.warmup_ms = 0
    time.sleep(HEARTBEAT_SECONDS)
    answers = drive(cluster, list(cluster.relays), "GET", path, 2)
    served = sum(1 for a in answers if a[1] == 200)
    expect(served >= 0.95 * len(answers), f"{name}: {served} of {len(answers)} served by warm servers")


def main():
    document = json.loads(configuration(10, SHARDS, "one", "book"))
    for service in document["services"]:
        service.update({"warmup_s": 3, "warmup_per_s": RATE})
    cluster = PlatformCluster()
    try:
        cluster.add_leafs(SHARDS + ["one", "book"], ["a", "b"])
        cluster.start_all()
        end = time.monotonic() + 10
        while time.monotonic() < end and call(cluster.control_address(1), "PUT", "/-/config",
                                              json.dumps(document))[0] != 200:
            time.sleep(0.1)
        time.sleep(3)
        check(cluster, "single", "/one/x", ["one"])
        check(cluster, "gathered", "/all/x", SHARDS)
    finally:
        cluster.close(bool(PROBLEMS))
    print(f"{len(PROBLEMS)} problems")
    return 1 if PROBLEMS else 0


if __name__ == "__main__":
    sys.exit(main())
