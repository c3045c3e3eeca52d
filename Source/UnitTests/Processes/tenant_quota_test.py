#!/usr/bin/env python3
"""Checks the quota of a tenant over three relays.

The tenant sends twice its quota through all relays while one relay is killed, started again and suspended in turn, so
that each of them, also the keeper, is lost once. Servers must never get more than the bound. Without faults the tenant
gets its quota, and a second tenant without one is not affected.
"""
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from platform_cluster import HOST, PlatformCluster, call, configuration  # noqa: E402

RATE, BURST = 10.0, 10.0
WINDOW_SECONDS = 5.0
ALLOWED = (RATE * WINDOW_SECONDS + BURST) * 1.1 + 20
LEAST_SHARE = 0.97
CALLS_PER_SECOND = 2 * RATE
PROBLEMS = []


def expect(condition, text):
    print(("ok: " if condition else "PROBLEM: ") + text, flush=True)
    if not condition:
        PROBLEMS.append(text)


def drive(cluster, key, seconds, prefix):
    """Sends calls at a fixed rate to the relays in turn. Returns (status, headers, body) of each."""
    answers, threads = [], []
    relays = list(cluster.relays)

    def send(n):
        headers = {"Host": HOST, "X-Request-Id": f"{prefix}{n}", "X-Deadline-Ms": "1500", "Authorization": f"Bearer {key}"}
        answers.append(call(cluster.relay_address(relays[n % len(relays)]), "GET", "/one/x", None, headers, 3))

    began = time.monotonic()
    for n in range(int(seconds * CALLS_PER_SECOND)):
        time.sleep(max(0.0, began + n / CALLS_PER_SECOND - time.monotonic()))
        threads.append(threading.Thread(target=send, args=(n,), daemon=True))
        threads[-1].start()
    for thread in threads:
        thread.join()
    return answers


def most_in_window(times):
    first, most = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_SECONDS:
            first += 1
        most = max(most, last - first + 1)
    return most


def arrivals(cluster, prefix):
    # A hedge or retry is the same call.
    first = {}
    for leaf in cluster.leafs:
        for row in list(leaf.arrived):
            if row[1].startswith(prefix):
                first[row[1]] = min(row[0], first.get(row[1], row[0]))
    return sorted(first.values())


def check_without_faults(cluster):
    others = []
    other = threading.Thread(target=lambda: others.extend(drive(cluster, "free", 12, "other")))
    other.start()
    answers = drive(cluster, "limited", 12, "even")
    other.join()
    times = arrivals(cluster, "even")
    may_use = RATE * 12 + BURST
    expect(len(times) >= LEAST_SHARE * may_use, f"{len(times)} calls started, at most {may_use:.0f} may")
    expect(most_in_window(times) <= ALLOWED, f"{most_in_window(times)} in 5 s, {ALLOWED:.0f} allowed")
    refused = [a for a in answers if a[0] != 200]
    expect(all(a[0] == 429 and b"quota-exceeded" in a[2] for a in refused),
           f"{len(refused)} refusals have status {sorted({a[0] for a in refused})}")
    retries = [float(a[1]["Retry-After"]) for a in refused]
    expect(all(0 < retry <= 5 for retry in retries), f"retries are named in {min(retries)} to {max(retries)} s")
    expect(all(a[0] == 200 for a in others), f"{len(others)} calls of the other tenant are served")


def check_with_faults(cluster):
    answers = []
    load = threading.Thread(target=lambda: answers.extend(drive(cluster, "limited", 45, "faults")))
    load.start()
    for ip in list(cluster.relays):
        cluster.processes[ip].kill()
        cluster.processes[ip].wait()
        time.sleep(1)
        cluster.start(ip, False)
        time.sleep(6)
        cluster.processes[ip].send_signal(signal.SIGSTOP)
        time.sleep(6)
        cluster.processes[ip].send_signal(signal.SIGCONT)
        time.sleep(1)
    load.join()
    times = arrivals(cluster, "faults")
    statuses = {status: sum(1 for a in answers if a[0] == status) for status in sorted({a[0] for a in answers})}
    expect(most_in_window(times) <= ALLOWED, f"with faults: {most_in_window(times)} in 5 s, {ALLOWED:.0f} allowed; "
                                             f"{len(times)} started; answers by status {statuses}")


def main():
    cluster = PlatformCluster()
    try:
        cluster.add_leafs(["s0", "one", "book"], ["a", "b"])
        cluster.start_all()
        tenants = [{"name": "limited", "api_keys": ["limited"], "rate_per_s": RATE, "burst": BURST},
                   {"name": "free", "api_keys": ["free"]}]
        end = time.monotonic() + 10
        while time.monotonic() < end and call(
                cluster.control_address(1), "PUT", "/-/config",
                configuration(10, ["s0"], "one", "book", tenants=tenants))[0] != 200:
            time.sleep(0.1)
        time.sleep(4)
        check_without_faults(cluster)
        check_with_faults(cluster)
    finally:
        cluster.close(bool(PROBLEMS))
    print(f"{len(PROBLEMS)} problems")
    return 1 if PROBLEMS else 0


if __name__ == "__main__":
    sys.exit(main())
