#!/usr/bin/env python3
"""Checks that changes are acknowledged again soon after the disks of control instances were full, one after another.

A disk that takes no bytes is imitated by a limit of zero bytes for the files that a process writes. A process that ends is
started again twice a second, under the same limit.
"""
import os
import resource
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from platform_cluster import BINARY, PlatformCluster, call, configuration  # noqa: E402

FULL_SECONDS = 4.0
PAUSE_SECONDS = 1.0
RESTART_SECONDS = 0.5
CHANGE_SECONDS = 0.2
ACK_SECONDS = 5.0  # The platform's limit for an acknowledgement.
CATCH_UP_SECONDS = 4.0
UNLIMITED = resource.RLIM_INFINITY
PROBLEMS = []


def expect(condition, text):
    print(("ok: " if condition else "PROBLEM: ") + text, flush=True)
    if not condition:
        PROBLEMS.append(text)


class Supervisor:
    """Runs the control instances as a platform does."""

    def __init__(self, cluster):
        self.cluster, self.full, self.starts = cluster, set(), {}
        self.lock, self.stopping = threading.Lock(), threading.Event()
        for ip in cluster.controls:
            self.start(ip, True)
        threading.Thread(target=self.run, daemon=True).start()

    def start(self, ip, found):
        path = self.cluster.write_settings(ip, found)
        size = 0 if ip in self.full else UNLIMITED

        def limit():
            signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
            resource.setrlimit(resource.RLIMIT_FSIZE, (size, UNLIMITED))
        self.starts[ip] = self.starts.get(ip, 0) + 1
        self.cluster.processes[ip] = subprocess.Popen(
            [BINARY, "--config", path], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, preexec_fn=limit,
            restore_signals=False)

    def run(self):
        while not self.stopping.wait(RESTART_SECONDS):
            with self.lock:
                for ip in self.cluster.controls:
                    if self.cluster.processes[ip].poll() is not None:
                        self.start(ip, False)

    def set_full(self, ip, is_full):
        with self.lock:
            (self.full.add if is_full else self.full.discard)(ip)
            process = self.cluster.processes[ip]
            if process.poll() is None:
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0 if is_full else UNLIMITED, UNLIMITED))


class Operator:
    """Sends changes all the time, each to the instances in turn until one acknowledges it."""

    def __init__(self, cluster):
        self.cluster, self.version, self.waits = cluster, 10, []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def change(self):
        self.version += 1
        document, began, attempt = configuration(self.version, ["s0"], "one", "book"), time.monotonic(), 0
        while not self.stopping.is_set():
            attempt += 1
            control = self.cluster.control_address(attempt % len(self.cluster.controls))
            status = call(control, "PUT", "/-/config", document, timeout=1)[0]
            if status == 200:
                break
            if 400 <= status < 500:
                expect(False, f"the valid change {self.version} is refused with {status}")
            time.sleep(0.05)
        self.waits.append((began, time.monotonic() - began))

    def run(self):
        while not self.stopping.wait(CHANGE_SECONDS):
            self.change()


def main():
    cluster = PlatformCluster(domains=())
    supervisor = operator = None
    try:
        supervisor = Supervisor(cluster)
        operator = Operator(cluster)
        operator.change()
        operator.thread.start()
        for ip in cluster.controls:
            supervisor.set_full(ip, True)
            time.sleep(FULL_SECONDS)
            supervisor.set_full(ip, False)
            time.sleep(PAUSE_SECONDS)
        ended = time.monotonic()
        time.sleep(ACK_SECONDS + CATCH_UP_SECONDS)
        late = [wait for began, wait in operator.waits if began > ended]
        expect(len(late) >= 5 and max(late) < ACK_SECONDS,
               f"{len(late)} changes after the last disk has room, longest wait {max(late or [0]):.2f} s")
        expect(max(wait for _, wait in operator.waits) < ACK_SECONDS,
               f"{len(operator.waits)} changes in all, longest wait {max(wait for _, wait in operator.waits):.2f} s")
        operator.stopping.set()
        operator.thread.join()
        time.sleep(1)
        reads = [call(cluster.control_address(i), "GET", "/-/config", timeout=2)[0]
                 for i in range(len(cluster.controls))]
        expect(reads == [200] * len(reads), f"all instances read the configuration: {reads}")
        before = dict(supervisor.starts)
        time.sleep(2)
        expect(before == supervisor.starts, f"no instance ends any more; starts {sorted(before.values())}")
    finally:
        if supervisor:
            supervisor.stopping.set()
        if operator:
            operator.stopping.set()
        time.sleep(RESTART_SECONDS)
        cluster.close(bool(PROBLEMS))
    print(f"{len(PROBLEMS)} problems")
    return 1 if PROBLEMS else 0


if __name__ == "__main__":
    sys.exit(main())
