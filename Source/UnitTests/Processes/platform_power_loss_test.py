#!/usr/bin/env python3
"""Guards against a slow return to service after a power loss: all control instances and relays are killed and started
again at once, and callers keep sending requests to all relays.

Prints when each step was reached, in milliseconds after the start of the first process. Fails if the first request is
served later than 1.5 s after a majority of the control instances is up, or if a relay serves none.
"""
import argparse
import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from platform_cluster import HOST, PlatformCluster, call, configuration  # noqa: E402

SERVICES = ["s0", "s1", "one", "book"]
ZONES = ["a", "b", "c"]
MAXIMUM_SECONDS = 1.5  # From a majority up to the first request served, on a machine with other work.
FORM_SECONDS = 15.0
POLL_SECONDS = 0.005
CALL_MS = 1000
PROBLEMS = []


def expect(condition, text):
    print(("ok: " if condition else "PROBLEM: ") + text, flush=True)
    if not condition:
        PROBLEMS.append(text)


class Watch:
    """Notes when each step is first reached, in milliseconds after the start."""

    def __init__(self, cluster, seconds):
        self.cluster, self.steps, self.lock, self.begin = cluster, {}, threading.Lock(), time.monotonic()
        self.end, self.refused, self.failed = self.begin + seconds, 0, 0
        self.until_served = []  # For each request that was answered, how long it took.

    def note(self, step, when=None):
        with self.lock:
            self.steps.setdefault(step, round(((when or time.monotonic()) - self.begin) * 1000))

    def is_over(self):
        return time.monotonic() > self.end

    def watch_control(self, ip):
        while not self.is_over():
            try:
                socket.create_connection((ip, self.cluster.port + 2), timeout=0.2).close()
                return self.note(("up", ip))
            except OSError:
                time.sleep(POLL_SECONDS)

    def watch_readiness(self, ip):
        """A relay is ready once it has a route table."""
        while not self.is_over():
            if call((ip, self.cluster.port + 3), "GET", "/-/ready", timeout=0.3)[0] == 200:
                return self.note(("table", ip))
            time.sleep(POLL_SECONDS)

    def send_requests(self, ip, number):
        count = 0
        while not self.is_over():
            count += 1
            begin = time.monotonic()
            path = "/all/q" if count % 2 else "/one/q"
            status = call(self.cluster.relay_address(ip), "GET", path, timeout=2, headers={
                "Host": HOST, "X-Request-Id": f"p{number}-{count}", "X-Deadline-Ms": str(CALL_MS)})[0]
            if status == 200:
                self.note(("served", ip))
                return
            with self.lock:
                self.refused += status == 503
                self.failed += status not in (0, 503)
            if not status or time.monotonic() - begin < 0.02:
                time.sleep(0.02)

    def steps_of(self, name):
        with self.lock:
            return sorted(ms for (step, _), ms in self.steps.items() if step == name)


class Test:
    def __init__(self, relays):
        self.cluster = PlatformCluster(domains=[ZONES[i % 3] for i in range(relays)])
        self.cluster.control_domains = {ip: ZONES[i % 3] for i, ip in enumerate(self.cluster.controls)}

    def form(self):
        self.cluster.add_leafs(SERVICES, ZONES)
        self.cluster.start_all()
        document = configuration(1, SERVICES[:2], "one", "book")
        end = time.monotonic() + FORM_SECONDS
        while time.monotonic() < end:
            if call(self.cluster.control_address(), "PUT", "/-/config", document, timeout=2)[0] == 200:
                break
            time.sleep(0.1)
        left = set(self.cluster.relays)
        while left and time.monotonic() < end:
            left = {ip for ip in left if call((ip, self.cluster.port + 3), "GET", "/-/ready", timeout=1)[0] != 200}
            time.sleep(0.05)
        expect(not left, f"the cluster forms, {len(left)} relays are not ready")
        time.sleep(1.5)  # Time for the other control instances to become voters.

    def lose_power(self):
        for ip in self.cluster.processes:
            self.cluster.signal(ip, signal.SIGKILL, wait=False)
        for process in self.cluster.processes.values():
            process.wait(timeout=15)
        time.sleep(1)

    def restart(self, seconds, leader_words):
        sizes = {ip: os.path.getsize(os.path.join(self.cluster.folder, ip + ".log")) for ip in self.cluster.controls}
        watch = Watch(self.cluster, seconds)
        threads = [threading.Thread(target=watch.watch_control, args=(ip,)) for ip in self.cluster.controls]
        for number, ip in enumerate(self.cluster.relays):
            threads.append(threading.Thread(target=watch.watch_readiness, args=(ip,)))
            threads.append(threading.Thread(target=watch.send_requests, args=(ip, number)))
        threads.append(threading.Thread(target=self.watch_leader, args=(watch, sizes, leader_words)))
        for thread in threads:
            thread.start()
        for ip in self.cluster.controls + list(self.cluster.relays):
            self.cluster.start(ip, True)
        watch.note(("started", "all"))
        for thread in threads:
            thread.join()
        return watch

    def watch_leader(self, watch, sizes, words):
        while not watch.is_over():
            for ip, size in sizes.items():
                with open(os.path.join(self.cluster.folder, ip + ".log"), "rb") as log:
                    log.seek(size)
                    if words in log.read():
                        return watch.note(("leader", ip))
            time.sleep(POLL_SECONDS)

    def report(self, watch):
        up, tables, served = (watch.steps_of(name) for name in ("up", "table", "served"))
        leader = watch.steps_of("leader")
        relays = len(self.cluster.relays)
        expect(len(up) >= 3, f"{len(up)} control instances are up")
        if len(up) < 3:
            return
        majority = up[2]
        print(f"relays {relays}; ms after the start of the first process: all started {watch.steps_of('started')}, "
              f"first control instance up {up[0]}, majority up {majority}, leader elected and table committed {leader}, "
              f"first table at a relay {tables[:1]}, last {tables[-1:]}, "
              f"first request served {served[:1]}, median {served[len(served) // 2:][:1]}, last {served[-1:]}; "
              f"refused {watch.refused}, failed otherwise {watch.failed}", flush=True)
        expect(len(served) == relays, f"{len(served)} of {relays} relays serve a request")
        first = served[0] if served else None
        expect(first is not None and first - majority <= MAXIMUM_SECONDS * 1000,
               f"the first request is served {first - majority if served else None} ms after a majority is up")

    def run(self, seconds, rounds):
        self.form()
        for _ in range(rounds):
            self.lose_power()
            self.report(self.restart(seconds, b"event=routes-applied"))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--relays", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--rounds", type=int, default=1)
    arguments = parser.parse_args()
    test = Test(arguments.relays)
    try:
        test.run(arguments.seconds, arguments.rounds)
    finally:
        test.cluster.close(bool(PROBLEMS))
    print(f"{len(PROBLEMS)} problems")
    return 1 if PROBLEMS else 0


if __name__ == "__main__":
    sys.exit(main())
