#!/usr/bin/env python3
"""Checks that a request that crashes servers is stopped when its sends differ, and when it crashes many groups.

Six relays in three domains. The request comes to the relays in turn, each time under another id:
- groups: unchanged, a gather that crashes the servers of all 20 groups;
- query: each second send has another query;
- shared: a third of the other requests have its method, path and body, come from other addresses and crash nothing.
The control plays the same loads with servers that don't crash: nothing may be refused.
"""
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from crashing_request_test import (ALLOWED_RESENDS, CONTACT_SECONDS, DOWN_SECONDS, PROBLEMS,  # noqa: E402
                                   RESEND_SECONDS, Load, expect)
from platform_cluster import PlatformCluster, call, configuration  # noqa: E402

SHARDS = [f"s{n}" for n in range(20)]
SERVERS = 6  # Of a service that is not gathered.
LOAD_SECONDS = 10.0
CRASH_DELAY = 0.1
CALLER, OTHER_CALLER = "127.0.4.1", "127.0.4.2"
ROUTES = {"single": ("/one/", "GET", ["one"]), "unsafe": ("/book/", "POST", ["book"]),
          "gathered": ("/all/", "GET", SHARDS)}
CASES = [("groups", "gathered"), ("query", "single"), ("query", "unsafe"), ("query", "gathered"),
         ("shared", "single"), ("shared", "unsafe"), ("shared", "gathered")]


def play(cluster, kind, route, prefix):
    """Returns the loads of the request that may crash servers, of the others, and the time of the start.

    The targets differ between two plays, so that no answer of an earlier one speaks for the request.
    """
    path, method, _ = ROUTES[route]
    path += prefix
    changes = kind == "query"
    target = path + kind
    crashing = Load(cluster, prefix + "c", method,
                    lambda n: f"{target}?page={n}" if changes and n % 2 else target, RESEND_SECONDS, CALLER)
    others = Load(cluster, prefix + "o", method,
                  lambda n: target if kind == "shared" and n % 3 == 0 else f"{path}other{n % 7}", 0.04, OTHER_CALLER)
    began = time.monotonic()
    time.sleep(LOAD_SECONDS)
    crashing.stop()
    others.stop()
    return crashing, others, began


def check_case(cluster, kind, route, number):
    name, prefix = f"{kind}, {route}", f"x{number}"
    leafs = [leaf for leaf in cluster.leafs if leaf.service in ROUTES[route][2]]
    for leaf in leafs:
        leaf.crashes_on_id, leaf.crash_delay = prefix + "c", CRASH_DELAY
    crashing, others, began = play(cluster, kind, route, prefix)
    crashes = sorted(at for leaf in leafs for at in leaf.crashed_at if at > began)
    late_after = (crashes[2] if len(crashes) > 2 else began) + CONTACT_SECONDS
    arrivals = [(at, request) for leaf in leafs for at, request, *_ in leaf.arrived if request.startswith(prefix + "c")]
    late = {request for at, request in arrivals if at > late_after}
    expect(len(crashes) > 2, f"{name}: {len(crashes)} servers ended")
    expect(len(late) <= ALLOWED_RESENDS, f"{name}: {len(late)} resends reach servers after three have ended")
    settled = late_after + DOWN_SECONDS
    answers = [a for a in others.answers if a[0] > settled and a[1]]
    served = sum(1 for a in answers if a[1] == 200)
    expect(answers and served >= 0.9 * len(answers), f"{name}: {served} of {len(answers)} others are served afterwards")
    ran = {request for _, request in arrivals}
    false = [a[2] for a in crashing.answers if a[1] in (429, 503) and a[2] in ran]
    expect(route != "unsafe" or not false, f"{name}: {len(false)} are refused as not run and have run")


def check_control(cluster, kind, route, number):
    crashing, others, _ = play(cluster, kind, route, f"y{number}")
    for load in crashing, others:
        served = sum(1 for a in load.answers if a[1] == 200)
        refused = sum(1 for a in load.answers if a[1] == 503)
        expect(served >= 0.98 * len(load.answers) and not refused,
               f"control of {kind}, {route}: {served} of {len(load.answers)} are served, {refused} refused")


def main():
    cluster = PlatformCluster(domains=("a", "b", "c", "a", "b", "c"))
    try:
        cluster.add_leafs(SHARDS, ["a", "b"])
        cluster.add_leafs(["one", "book"], ["a", "b", "c"] * (SERVERS // 3))
        cluster.start_all()
        end = time.monotonic() + 10
        while time.monotonic() < end and call(cluster.control_address(1), "PUT", "/-/config",
                                              configuration(10, SHARDS, "one", "book"))[0] != 200:
            time.sleep(0.1)
        time.sleep(3)
        # In the control nothing has ended before, so that no suspicion is left.
        check_control(cluster, "query", "single", 0)
        check_control(cluster, "groups", "gathered", 1)
        for number, (kind, route) in enumerate(CASES):
            check_case(cluster, kind, route, number)
            time.sleep(DOWN_SECONDS)
    finally:
        cluster.close(bool(PROBLEMS))
    print(f"{len(PROBLEMS)} problems")
    return 1 if PROBLEMS else 0


if __name__ == "__main__":
    sys.exit(main())
