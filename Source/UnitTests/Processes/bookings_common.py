"""Shared by the process tests of bookings: a cluster with a run-once route, sending a booking, reading the run log."""
import collections
import json
import os
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
sys.path.insert(0, os.path.join(ROOT, "Tools"))
import loopback  # noqa: E402

GROUP = "foglalas"
ROUTES = """kind: backend-group
name: foglalas
slots: 2
connection_limit: 25
connect_time_ms: 6
---
kind: index-version
group: foglalas
version: 7
shard_count: 4
---
kind: query-route
name: free-slots
group: foglalas
version: 7
deadline_ms: 3000
---
kind: query-route
name: book
group: foglalas
type: run-once
deadline_ms: %d
"""

# An outcome code (see send), the HTTP status, the content type and the body of the response.
Answer = collections.namedtuple("Answer", "code status content_type body")


class BookingCluster:
    """Instances, backend servers that share one run log, and the routes `book` and `free-slots`."""

    def __init__(self, folder, controls=3, entries=4, backends=4, options=(), balancer_wait_ms=300,
                 deadline_ms=3000):
        self.cluster = loopback.Cluster(folder, controls=controls, entries=entries, balancer_wait_ms=balancer_wait_ms)
        self.run_log = os.path.join(self.cluster.folder, "runs.log")
        self.cluster.start()
        for i in range(backends):
            self.cluster.backend(f"loft-{i}", "--version", "7:0,1,2,3/4", "--slots", "2", "--connections", "25",
                                 "--run-log", self.run_log, *options)
        routes = os.path.join(self.cluster.folder, "routes.yaml")
        with open(routes, "w", encoding="utf-8") as out:
            out.write(ROUTES % deadline_ms)
        self.cluster.cli("apply", routes, check=True)
        self.wait_for_booking()

    def wait_for_booking(self, seconds=20):
        """Waits until each entry instance has completed a booking."""
        until = time.time() + seconds
        for i, entry in enumerate(self.cluster.entries):
            n = 0
            while send(self.cluster.addresses[entry], f"warm-{i}-{n}").code != "completed":
                n += 1
                if time.time() > until:
                    raise RuntimeError(f"{entry} completes no booking after {seconds} s, see {self.cluster.folder}")
                time.sleep(0.1)

    def runs(self):
        """Returns how often each request ran. Backend servers write the run log before they execute a request."""
        counts = collections.Counter()
        if os.path.exists(self.run_log):
            with open(self.run_log, encoding="utf-8") as lines:
                for line in lines:
                    counts[line.split(" ")[0]] += 1
        return counts


def body_of(request_id):
    return json.dumps({"handler": request_id, "flock": 12})


def send(address, request_id, first=False, timeout=10):
    """Sends a booking once. The code is X-Outcome, lost without a response, not-run, or refused-STATUS."""
    headers = {"X-Request-Id": request_id}
    if first:
        headers["X-First-Send"] = "1"
    status, answered, text = loopback.http(address, "POST", "/v1/run/book", body_of(request_id).encode(), headers,
                                           timeout)
    lower = {name.lower(): value for name, value in answered.items()}
    code = lower.get("x-outcome", "")
    if not code:
        code = "lost" if status == 0 else f"refused-{status}"
        # The body of a refusal states whether the request was executed.
        if status and '"ran":"not-run"' in text.replace(" ", ""):
            code = "not-run"
    return Answer(code, status, lower.get("content-type", ""), text)
