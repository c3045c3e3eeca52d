#!/usr/bin/env python3
"""Guards against relays that stay on an old route table because their control instance answers but is outside the group.

The control instance of one failure domain loses its disk and restarts with seeds that no longer exist, so that it is not
admitted. Changes that the others accept must be in force on all relays in time. Once its settings name other seeds, it is
admitted without a restart.
"""
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from platform_cluster import HOST, PlatformCluster, call, configuration  # noqa: E402

ACK_SECONDS = 5.0
IN_FORCE_SECONDS = 3.0  # The platform's limit for a configuration change to take effect everywhere.
CATCH_UP_SECONDS = 4.0
CHANGES = 4
GONE_SEED = "127.0.2.99"
PROBLEMS = []


def expect(condition, text):
    print(("ok: " if condition else "PROBLEM: ") + text, flush=True)
    if not condition:
        PROBLEMS.append(text)


def wait_for(seconds, check):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return True
        time.sleep(0.02)
    return False


class Test:
    def __init__(self):
        self.cluster = PlatformCluster(domains=("a", "b", "d"))
        self.late = self.cluster.controls[-1]
        self.cluster.control_domains = {self.late: "d"}

    def put(self, version):
        """Moves the route to a path named after the version. Returns when it was acknowledged, or None."""
        document = configuration(version, ["s0"], "one", "book").replace("/one/", f"/v{version}/")
        end = time.monotonic() + ACK_SECONDS
        attempt = 0
        while time.monotonic() < end:
            control = attempt % (len(self.cluster.controls) - 1)
            if call(self.cluster.control_address(control), "PUT", "/-/config", document, timeout=2)[0] == 200:
                return time.monotonic()
            attempt += 1
            time.sleep(0.05)
        return None

    def read(self, control):
        status, _, body = call((control, self.cluster.port + 2), "GET", "/-/config", timeout=2)
        return status, json.loads(body)["version"] if status == 200 else None

    def has(self, relay, version):
        headers = {"Host": HOST, "X-Request-Id": f"v{version}", "X-Deadline-Ms": "500"}
        return call(self.cluster.relay_address(relay), "GET", f"/v{version}/a", headers=headers, timeout=1)[0] == 200

    def check_in_force(self, version, when):
        acknowledged = self.put(version)
        expect(acknowledged is not None, f"version {version} is acknowledged {when}")
        if acknowledged is None:
            return
        for relay, domain in self.cluster.relays.items():
            left = acknowledged + IN_FORCE_SECONDS - time.monotonic()
            in_force = wait_for(max(left, 0.01), lambda ip=relay: self.has(ip, version))
            took = time.monotonic() - acknowledged
            expect(in_force, f"version {version} is in force on the relay of domain {domain} after {took:.2f} s, {when}")

    def run(self):
        self.cluster.add_leafs(["s0", "one", "book"], ["a", "b"])
        self.cluster.start_all()
        self.check_in_force(1, "at the start")
        time.sleep(2)  # Time for all control instances to be voters and for the relays to choose theirs.
        self.check_in_force(2, "with all control instances")
        self.cluster.signal(self.late, signal.SIGKILL)
        self.cluster.wipe(self.late)
        self.cluster.start(self.late, False, seeds=[GONE_SEED])
        time.sleep(1)
        for version in range(3, 3 + CHANGES):
            self.check_in_force(version, "beside a control instance that is not admitted")
        last = version
        self.cluster.write_settings(self.late, False)
        expect(wait_for(CATCH_UP_SECONDS, lambda: self.read(self.late) == (200, last)),
               "the instance is admitted after its settings name other seeds")


def main():
    test = Test()
    try:
        test.run()
    finally:
        test.cluster.close(bool(PROBLEMS))
    print(f"{len(PROBLEMS)} problems")
    return 1 if PROBLEMS else 0


if __name__ == "__main__":
    sys.exit(main())
