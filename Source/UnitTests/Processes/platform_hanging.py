#!/usr/bin/env python3
"""Measures what requests that hang each server which runs them do to the calls of others. Started by hand.

Three relays and four servers with two slots each. A request that hangs keeps a slot until its connection is closed. Prints
the share of the other calls that is served, and the slots that are taken by requests that hang, on average and at most.
"""
import argparse
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from platform_cluster import HOST, PlatformCluster, call, configuration  # noqa: E402

SLOTS = 2  # Of each server.
SERVERS = 4
WORK_SECONDS = 0.02
HANG_SECONDS = 20.0
CALLS_PER_SECOND = 60
DEADLINE_MS = 1500


class Hangs:
    """Counts the slots that requests which hang take."""

    def __init__(self):
        self.lock, self.now, self.most, self.total = threading.Lock(), 0, 0, 0.0

    def add(self, n):
        with self.lock:
            self.now += n
            self.most = max(self.most, self.now)


def serve(leaf, slots, hangs, handler):
    """Works on one request. False if its connection was closed meanwhile."""
    is_hanging, is_open = handler.path.endswith("hang"), True
    with slots:
        end = time.monotonic() + (HANG_SECONDS if is_hanging else WORK_SECONDS)
        hangs.add(is_hanging)
        while is_open and time.monotonic() < end:
            time.sleep(0.01)
            try:
                is_open = bool(handler.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
            except BlockingIOError:
                pass
            except OSError:
                is_open = False
        hangs.add(-is_hanging)
    return is_open


def measure(cluster, hanging_per_second, seconds):
    hangs, answers, threads = Hangs(), {"x": [], "hang": []}, []
    for leaf in cluster.leafs:
        slots = threading.Semaphore(SLOTS)
        leaf.delay = WORK_SECONDS
        leaf.work = lambda handler, _, leaf=leaf, slots=slots: serve(leaf, slots, hangs, handler)

    def send(n, item):
        relay = list(cluster.relays)[n % len(cluster.relays)]
        headers = {"Host": HOST, "X-Request-Id": f"{item}{time.monotonic_ns():x}{n:x}", "X-Deadline-Ms": str(DEADLINE_MS)}
        answers[item].append(call(cluster.relay_address(relay), "GET", "/one/" + item, None, headers, timeout=3)[0])

    began, sent = time.monotonic(), {"x": 0, "hang": 0}
    while (at := time.monotonic() - began) < seconds:
        for item, rate in (("x", CALLS_PER_SECOND), ("hang", hanging_per_second)):
            while sent[item] < at * rate:
                threads.append(threading.Thread(target=send, args=(sent[item], item), daemon=True))
                threads[-1].start()
                sent[item] += 1
        hangs.total += hangs.now * 0.01
        time.sleep(0.01)
    for thread in threads:
        thread.join()
    served = answers["x"].count(200)
    print(f"{hanging_per_second} hanging requests a second: {served} of {len(answers['x'])} others served "
          f"({served / len(answers['x']):.2f}); of {SLOTS * SERVERS} slots {hangs.total / seconds:.1f} taken on average, "
          f"{hangs.most} at most", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--rates", type=float, nargs="+", default=[0, 0.5, 1, 2, 4])
    args = parser.parse_args()
    cluster = PlatformCluster()
    try:
        cluster.add_leafs(["one"], ["a", "b"] * (SERVERS // 2))
        cluster.add_leafs(["s0", "book"], ["a"])
        cluster.start_all()
        end = time.monotonic() + 5
        while call(cluster.control_address(0), "PUT", "/-/config", configuration(10, ["s0"], "one", "book"), timeout=2)[0] != 200:
            if time.monotonic() > end:
                raise RuntimeError("the configuration is not accepted")
            time.sleep(0.1)
        time.sleep(3)
        for rate in args.rates:
            measure(cluster, rate, args.seconds)
            time.sleep(3)
    finally:
        cluster.close(False)


if __name__ == "__main__":
    main()
