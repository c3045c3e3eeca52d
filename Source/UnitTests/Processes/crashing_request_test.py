#!/usr/bin/env python3
"""Checks that a request that crashes each server that runs it stops reaching servers, while others are served.

Three relays, four servers a service. The request comes again under other ids, to the relays in turn. A relay and a
control instance are restarted meanwhile: what is known must outlast them.
"""
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from platform_cluster import HOST, PlatformCluster, call, configuration  # noqa: E402

SHARDS = ["s0", "s1"]
DOWN_SECONDS = 2.0
RESEND_SECONDS = 0.4
LOAD_SECONDS = 14.0
CONTACT_SECONDS = 4.0  # For knowledge to reach the instances.
ALLOWED_RESENDS = 3  # That reach servers later than that after the third crash.
ALLOWED_CRASHES = 8  # Three, and as many as are sent while the knowledge travels.
CRASHING, OTHER = "crash", "other"
PROBLEMS = []


def expect(condition, text):
    print(("ok: " if condition else "PROBLEM: ") + text, flush=True)
    if not condition:
        PROBLEMS.append(text)


class Load:
    """Sends one request every `interval` to the relays in turn and keeps (time, status, id, time taken).

    `path` is a text, or a function from the number of the request.
    """

    def __init__(self, cluster, prefix, method, path, interval, source=None):
        self.cluster, self.prefix, self.method, self.interval = cluster, prefix, method, interval
        self.path, self.source = path if callable(path) else lambda _: path, source
        self.answers, self.threads, self.stopping = [], [], threading.Event()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        n = 0
        while not self.stopping.wait(self.interval):
            n += 1
            thread = threading.Thread(target=self.send, args=(n,), daemon=True)
            self.threads.append(thread)
            thread.start()

    def send(self, n):
        relays = list(self.cluster.relays)
        relay = relays[n % len(relays)]
        request = f"{self.prefix}{n:05x}"
        headers = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": "1500"}
        began = time.monotonic()
        body = b"x" if self.method == "POST" else None
        status, _, _ = call(
            self.cluster.relay_address(relay), self.method, self.path(n), body, headers, 3, self.source)
        self.answers.append((began, status, request, time.monotonic() - began))

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()


def check_path(cluster, name, prefix, method, services):
    """Sends the crashing request beside others to the same servers."""
    leafs = [leaf for leaf in cluster.leafs if leaf.service in services]
    crashing = Load(cluster, name + "-c", method, prefix + CRASHING, RESEND_SECONDS)
    others = Load(cluster, name + "-o", method, prefix + OTHER, 0.03)
    began = time.monotonic()
    time.sleep(LOAD_SECONDS / 2)
    relay, control = list(cluster.relays)[0], cluster.controls[0]
    cluster.signal(control, signal.SIGKILL)
    cluster.start(control, False)
    cluster.signal(relay, signal.SIGKILL)
    cluster.start(relay, False)
    time.sleep(LOAD_SECONDS / 2)
    crashing.stop()
    others.stop()
    crashes = sorted(at for leaf in leafs for at in leaf.crashed_at if at > began)
    late_after = (crashes[2] if len(crashes) > 2 else began) + CONTACT_SECONDS
    arrivals = sorted(row[:2] for leaf in leafs for row in leaf.arrived if row[3].endswith(CRASHING) and row[0] > began)
    late = {request for at, request in arrivals if at > late_after}
    expect(len(late) <= ALLOWED_RESENDS, f"{name}: {len(late)} resends reach servers after three have ended")
    expect(len(crashes) <= ALLOWED_CRASHES, f"{name}: {len(crashes)} servers ended, {len(arrivals)} sends in all")
    settled = crashes[-1] + DOWN_SECONDS + 1 if crashes else began
    answers = [a for a in others.answers if a[0] > settled and a[1]]
    served = sum(1 for a in answers if a[1] == 200)
    expect(answers and served >= 0.98 * len(answers), f"{name}: {served} of {len(answers)} others are served afterwards")
    refused = [a for a in crashing.answers if a[0] > late_after and a[1]]
    fast = sum(1 for a in refused if a[1] == 503 and a[3] < 0.5)
    expect(refused and fast >= 0.9 * len(refused), f"{name}: {fast} of {len(refused)} are refused at once with 503")
    ran = {request for _, request in arrivals}
    false = [a[2] for a in crashing.answers if a[1] in (429, 503) and a[2] in ran]
    expect(method == "GET" or not false, f"{name}: {len(false)} are refused as not run and have run")


def main():
    cluster = PlatformCluster()
    try:
        cluster.add_leafs(SHARDS + ["one", "book"], ["a", "b", "a", "b"])
        for leaf in cluster.leafs:
            leaf.crashes_on, leaf.down_seconds = CRASHING, DOWN_SECONDS
        cluster.start_all()
        end = time.monotonic() + 10
        while time.monotonic() < end and call(cluster.control_address(1), "PUT", "/-/config",
                                              configuration(10, SHARDS, "one", "book"))[0] != 200:
            time.sleep(0.1)
        time.sleep(3)
        check_path(cluster, "single", "/one/", "GET", ["one"])
        check_path(cluster, "unsafe", "/book/", "POST", ["book"])
        check_path(cluster, "gathered", "/all/", "GET", SHARDS)
    finally:
        cluster.close(bool(PROBLEMS))
    print(f"{len(PROBLEMS)} problems")
    return 1 if PROBLEMS else 0


if __name__ == "__main__":
    sys.exit(main())
