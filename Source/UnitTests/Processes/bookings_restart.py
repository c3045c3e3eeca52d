#!/usr/bin/env python3
"""Restarts every instance in turn with SIGTERM under open-loop load and checks that no request fails or is cut off.

Use: bookings_restart.py [--rate PER_SECOND] [--seed S] [--keep]. Exits 1 if a check failed.
"""
import argparse
import collections
import concurrent.futures
import json
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

import bookings_common as common
from bookings_common import loopback

SENDERS = 64
PROBE_INTERVAL = 0.05  # Seconds between two probes of /health/ready.
LOOKUP_SHARE = 0.5
EXIT_TIMEOUT = 35  # Seconds; longer than the drain timeout of an instance (stop.finish_bound_ms).
SLOW_RUN_MS = 1500
SLOW_SEARCH_MS = 800


class Balancer(threading.Thread):
    """Probes the readiness of each instance, as the load balancer of the platform does."""

    def __init__(self, addresses, seed):
        super().__init__()
        self.addresses = addresses
        self.rng = random.Random(seed)
        self.ready = list(addresses)
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.wait(PROBE_INTERVAL):
            self.ready = [a for a in self.addresses
                          if loopback.http(a, "GET", "/health/ready", timeout=0.3)[0] == 200]

    def choose(self):
        ready = self.ready
        return self.rng.choice(ready) if ready else None


class Load:
    """Open-loop load: requests start at their scheduled times, regardless of the latency of earlier ones."""

    def __init__(self, balancer, rate, seed):
        self.balancer, self.rate = balancer, rate
        self.rng = random.Random(seed)
        self.lock = threading.Lock()
        self.results = []  # (completion time, kind, request id, success, details)
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
            due, n = time.time(), 0
            while not self.stopping.is_set():
                due += self.rng.expovariate(self.rate)
                time.sleep(max(0.0, due - time.time()))
                kind = "lookup" if self.rng.random() < LOOKUP_SHARE else "booking"
                pool.submit(self.send_one, kind, f"load-{n}")
                n += 1

    def send_one(self, kind, request_id):
        address = self.balancer.choose()
        if address is None:
            ok, seen = False, "no instance is ready"
        elif kind == "lookup":
            ok, seen = lookup(address)
        else:
            answer = common.send(address, request_id, first=True)
            ok, seen = answer.code == "completed", f"{answer.status} {answer.code} {answer.body[:200]}"
        with self.lock:
            self.results.append((time.time(), kind, request_id, ok, f"{address}: {seen}"))

    def longest_gap(self):
        times = sorted(r[0] for r in self.results if r[3])
        return max((b - a for a, b in zip(times, times[1:])), default=0.0)


def lookup(address):
    status, _, text = loopback.http(address, "POST", "/v1/query/free-slots", {"q": "household-00001"})
    if status != 200:
        return False, f"{status} {text[:200]}"
    return is_complete(json.loads(text)), text[:200]


def is_complete(answer):
    return answer["complete"] is True


def restart_all(cluster, failures):
    """Restarts the instances one at a time, control first, and waits for each one to be ready again."""
    for name in cluster.controls + cluster.entries:
        leading = " (leading)" if name == cluster.leader() else ""
        process = cluster.processes[name]
        begun = time.time()
        process.signal(signal.SIGTERM)
        code = process.wait(EXIT_TIMEOUT)
        took = time.time() - begun
        print(f"{name}{leading}: exit code {code} after {took:.2f} s")
        if code != 0:
            failures.append(f"{name} exited with {code}")
            process.kill()
        process.start()
        if name in cluster.entries:
            cluster.wait_ready([name])
        else:
            wait_for_leader(cluster, failures)


def wait_for_leader(cluster, failures, seconds=10):
    until = time.time() + seconds
    time.sleep(0.5)
    while cluster.leader() is None:
        if time.time() > until:
            failures.append("no control instance leads")
            return
        time.sleep(0.05)


def rolling_restart(options, failures):
    folder = tempfile.mkdtemp(prefix="bookings-restart-")
    started = common.BookingCluster(folder, entries=3, options=("--run-ms", "20", "--service-ms", "5", "--queue", "16"),
                                    balancer_wait_ms=400)
    cluster = started.cluster
    balancer = Balancer([cluster.addresses[n] for n in cluster.entries], options.seed)
    load = Load(balancer, options.rate, options.seed)
    balancer.start()
    load.thread.start()
    try:
        time.sleep(1)
        restart_all(cluster, failures)
        time.sleep(1)
    finally:
        load.stopping.set()
        load.thread.join()
        balancer.stopping.set()
        balancer.join()
        codes = cluster.stop()
    failures += [f"{n} exited with {c}" for n, c in codes.items() if c != 0]
    runs = started.runs()
    failed = [r for r in load.results if not r[3]]
    doubled = [r[2] for r in load.results if runs[r[2]] > 1]
    lost = [r[2] for r in load.results if r[1] == "booking" and r[3] and runs[r[2]] != 1]
    print(f"seed {options.seed}: {dict(collections.Counter(r[1] for r in load.results))} at {options.rate}/s, "
          f"{len(failed)} failed, {len(doubled)} ran twice, longest gap {1000 * load.longest_gap():.0f} ms")
    failures += [f"{r[1]} {r[2]} at {r[4]}" for r in failed]
    failures += [f"{i} ran twice" for i in doubled] + [f"{i} answered completed but did not run once" for i in lost]
    return folder


def in_flight_at_stop(options, failures):
    """Checks that an entry instance completes a slow booking and a slow lookup in flight when it receives SIGTERM."""
    folder = tempfile.mkdtemp(prefix="bookings-stop-")
    slow = ("--run-ms", str(SLOW_RUN_MS), "--service-ms", str(SLOW_SEARCH_MS))
    started = common.BookingCluster(folder, controls=1, entries=2, options=slow, balancer_wait_ms=100,
                                    deadline_ms=6000)
    cluster = started.cluster
    name = cluster.entries[0]
    address = cluster.addresses[name]
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        booking = pool.submit(common.send, address, "slow-booking", True)
        time.sleep(0.1)
        found = pool.submit(lookup, address)
        time.sleep(0.2)
        cluster.processes[name].signal(signal.SIGTERM)
        time.sleep(0.3)
        check_refusals(address, failures)
        answer, (complete, seen) = booking.result(), found.result()
    code = cluster.processes[name].wait(EXIT_TIMEOUT)
    codes = cluster.stop()
    print(f"in flight at SIGTERM: booking {answer.code}, lookup {'whole' if complete else seen}, exit code {code}")
    if answer.code != "completed" or started.runs()["slow-booking"] != 1:
        failures.append(f"the booking in flight got {answer}")
    if not complete:
        failures.append(f"the lookup in flight got {seen}")
    failures += [f"{n} exited with {c}" for n, c in codes.items() if c != 0]
    return folder


def check_refusals(address, failures):
    """Checks a draining instance: not ready; not-run for a declared first send; unknown for a possible resend."""
    ready = loopback.http(address, "GET", "/health/ready")[0]
    first = common.send(address, "while-draining-1", first=True)
    resend = common.send(address, "while-draining-2")
    print(f"draining: ready {ready}, first send {first.code}, resend {resend.code}")
    if ready != 503:
        failures.append(f"a draining instance answers /health/ready with {ready}")
    if first.code != "not-run":
        failures.append(f"a draining instance answers a first send with {first.code}")
    if resend.code == "not-run":
        failures.append("a draining instance answers a possible resend with not-run")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", action="store_true", help="leave the folders with logs")
    options = parser.parse_args()
    failures, begun = [], time.time()
    folders = [in_flight_at_stop(options, failures), rolling_restart(options, failures)]
    for failure in failures[:20]:
        print("FAILED " + failure)
    if failures or options.keep:
        print("logs: " + " ".join(folders))
    else:
        for folder in folders:
            shutil.rmtree(folder)
    print(f"{len(failures)} failures, {time.time() - begun:.0f} s")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
