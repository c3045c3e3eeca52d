#!/usr/bin/env python3
"""The adapter from end to end: configuration and heartbeats in, requests in and out, drains, kills, a lost disk, a stop."""
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from platform_cluster import BINARY, HOST, PlatformCluster, call, configuration  # noqa: E402

EXPLAIN = os.path.join(os.path.dirname(os.path.dirname(BINARY)), "corianderlock")

SHARDS = ["s0", "s1", "s2", "s3"]
IN_FORCE_SECONDS = 3.0  # The platform's bound on a change of the configuration.
DRAIN_SECONDS = 3.0
ACK_SECONDS = 5.0
GRACE_SECONDS = 6.0
CATCH_UP_SECONDS = 4.0
BLOCKED_LINES = 6000  # Far more than a pipe and the queue of lines hold.
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
        time.sleep(0.05)
    return False


class Test:
    def __init__(self):
        self.cluster = PlatformCluster()
        self.number = 0

    def ask(self, path, relay=None, method="GET", body=None, time_left=1500, timeout=3):
        self.number += 1
        request = f"r{self.number:06x}"
        relay = relay or list(self.cluster.relays)[self.number % len(self.cluster.relays)]
        headers = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": str(time_left)}
        return (request,) + call(self.cluster.relay_address(relay), method, path, body, headers, timeout)

    def put(self, document, control=0):
        return call(self.cluster.control_address(control), "PUT", "/-/config", document, timeout=3)

    def put_until_taken(self, document, seconds=ACK_SECONDS):
        turn = [0]

        def attempt():
            turn[0] += 1
            return self.put(document, turn[0] % len(self.cluster.controls))[0] == 200
        return wait_for(seconds, attempt)

    def read(self, control):
        status, _, body = call(self.cluster.control_address(control), "GET", "/-/config", timeout=3)
        return status, json.loads(body)["version"] if status == 200 else None

    def leafs_of(self, service):
        return [leaf for leaf in self.cluster.leafs if leaf.service == service]

    def check_start(self):
        first = next(iter(self.cluster.relays))
        expect(wait_for(5, lambda: call((first, self.cluster.port + 3), "GET", "/-/ready")[0] == 503),
               "not ready without a configuration")
        expect(self.ask("/one/a", first)[1] == 503, "a relay without a configuration says 503, not 404")
        expect(self.put_until_taken(configuration(7, SHARDS, "one", "book")), "the first configuration is taken")
        ready = wait_for(IN_FORCE_SECONDS, lambda: all(
            call((ip, self.cluster.port + 3), "GET", "/-/ready")[0] == 200 for ip in self.cluster.relays))
        expect(ready, "all relays are ready with it")

    def check_operator(self):
        before = self.read(1)
        bad = json.loads(configuration(9, SHARDS, "one", "book"))
        bad["routes"][1]["service"] = "unknown"
        status, _, body = self.put(json.dumps(bad))
        expect(status == 400 and b"unknown" in body, f"an invalid configuration is refused by its field: {status} {body}")
        expect(self.put(configuration(9, SHARDS, "one", "book")[:200])[0] == 400, "one that is cut short is refused")
        other = configuration(7, SHARDS, "book", "one")
        expect(self.put(other, 2)[0] == 200, "other content under the version held is acknowledged")
        expect(self.read(3) == before == (200, 7), f"and changes nothing: {before}, {self.read(3)}")
        expect(b'"service": "one"' in call(self.cluster.control_address(4), "GET", "/-/config")[2],
               "what is read back is what was sent first")
        document = configuration(12, SHARDS, "one", "book")
        document = document.replace("/one/", "/moved/")
        expect(self.put(document, 3)[0] == 200, "a higher version is taken")
        moved = wait_for(IN_FORCE_SECONDS, lambda: all(
            self.ask("/moved/a", ip)[1] == 200 for ip in self.cluster.relays))
        expect(moved, "and is in force at all relays in time")
        expect(all(self.ask("/one/a", ip)[1] == 404 for ip in self.cluster.relays), "the old route is gone")

    def check_requests(self):
        for relay in self.cluster.relays:
            request, status, headers, body = self.ask("/all/x?y=1", relay)
            records = sorted((record for leaf in {leaf.service: leaf for leaf in self.cluster.leafs}.values()
                              if leaf.service in SHARDS for record in leaf.records), reverse=True)
            stamps = [s.strip() for s in (headers.get("X-Part-Stamps") or "").split(",")]
            expect(status == 200 and body == b"".join(records[:5]), f"{relay}: the greatest records of all shards")
            expect(len(set(stamps)) == len(SHARDS) and all(s.endswith(request) for s in stamps), f"stamps {stamps}")
            expect(headers.get("X-Missing-Parts") == "0", "nothing is missing")
        request, status, headers, body = self.ask("/moved/a%20b?c=%2F")
        row = next(row for leaf in self.leafs_of("one") for row in leaf.arrived if row[1] == request)
        expect(status == 200 and headers["X-Server-Stamp"].endswith(request), "one server's answer with its signature")
        expect(row[3] == "/moved/a%20b?c=%2F", f"the target is forwarded unchanged: {row[3]}")
        expect(0 < int(row[5]) < 1500, f"the time left is handed on: {row[5]}")
        request, status, _, _ = self.ask("/book/1", method="POST", body=b"pigeons")
        rows = [row for leaf in self.leafs_of("book") for row in leaf.arrived if row[1] == request]
        expect(status == 200 and [row[4] for row in rows] == [b"pigeons"], "a booking runs once with its body")

    def check_faults(self):
        for leaf in self.leafs_of("book"):
            leaf.fault = "cut"
        request, status, headers, _ = self.ask("/book/2", method="POST", body=b"x")
        runs = sum(leaf.count(request) for leaf in self.leafs_of("book"))
        expect(runs == 1 and status in (502, 504), f"a booking that was lost is not sent again: {runs}, {status}")
        for leaf in self.leafs_of("book"):
            leaf.fault = "shed"
        request, status, headers, _ = self.ask("/book/3", method="POST", body=b"x")
        expect(status == 503 and float(headers["Retry-After"]) > 0, "one that nobody ran is refused with a time to come back")
        for leaf in self.leafs_of("book"):
            leaf.fault = None
        for leaf in self.leafs_of("s1"):
            leaf.delay = 1.0
        began = time.monotonic()
        _, status, headers, _ = self.ask("/all/x")
        took = time.monotonic() - began
        expect(status == 200 and headers.get("X-Missing-Parts") == "1", "an answer without a slow shard says so")
        expect(took < 0.45, f"and comes inside the aim: {took * 1000:.0f} ms")
        for leaf in self.leafs_of("s1"):
            leaf.delay = 0
        leaf = self.leafs_of("s2")[0]
        leaf.fault = "fail"
        answers = [self.ask("/all/x") for _ in range(20)]
        whole = sum(1 for answer in answers if answer[1] == 200 and answer[2].get("X-Missing-Parts") == "0")
        expect(whole == 20, f"a server that fails is made up for by the other: {whole} of 20 whole")
        leaf.fault = None

    def explain(self, request):
        """What the command says of a request, once the lines of all relays are written."""
        logs = [os.path.join(self.cluster.folder, ip + ".log") for ip in self.cluster.relays]
        result = subprocess.run([EXPLAIN, "explain", request] + logs, capture_output=True, text=True, check=False)
        return result.stdout

    def check_explain(self):
        """The cause of three kinds of failed request, from the logs alone."""
        for leaf in self.leafs_of("book"):
            leaf.fault = "cut"
        for leaf in self.leafs_of("s1"):
            leaf.delay = 1.0
        refused = self.ask("/nowhere")
        partial = self.ask("/all/x")
        failed = self.ask("/book/4", method="POST", body=b"x")
        for leaf in self.cluster.leafs:
            leaf.fault, leaf.delay = None, 0
        expect((refused[1], partial[1]) == (404, 200) and failed[1] in (502, 504), "three kinds of failure")
        for (request, *_), cause in ((refused, "nothing was sent: no route matches"), (partial, "1 groups missing"),
                                     (failed, "1 x send-failed")):
            found = wait_for(2, lambda: cause in self.explain(request))
            expect(found, f"explain finds the cause: {cause}")
            if not found:
                print(self.explain(request))

    def check_leaving_caller(self):
        for leaf in self.leafs_of("one"):
            leaf.delay = 0.4
        relay = next(iter(self.cluster.relays))
        caller = socket.create_connection(self.cluster.relay_address(relay))
        caller.sendall(f"GET /moved/a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: left\r\nX-Deadline-Ms: 1500\r\n\r\n".encode())
        wait_for(1, lambda: any(leaf.count("left") for leaf in self.leafs_of("one")))
        caller.close()
        expect(wait_for(1, lambda: "request=left outcome=caller-left" in self.cluster.log(relay)), "a caller who leaves is noticed")
        for leaf in self.leafs_of("one"):
            leaf.delay = 0

    def check_draining(self):
        leaf = self.leafs_of("one")[0]
        leaf.state = "draining"
        leaf.send_heartbeat(self.cluster.control_address(2))
        time.sleep(DRAIN_SECONDS / 3)
        before = leaf.count()
        served = [self.ask("/moved/a")[1] for _ in range(30)]
        expect(leaf.count() == before and served == [200] * 30, "a draining server gets nothing, the others serve")
        late = dict(service="one", address=leaf.address, zone="a", version="v1", slots=2, state="ready",
                    warmup_left_ms=0, seq=leaf.seq - 1, born=leaf.born)
        call(self.cluster.control_address(1), "PUT", f"/-/instances/{leaf.id}", json.dumps(late))
        time.sleep(0.3)
        before = leaf.count()
        for _ in range(10):
            self.ask("/moved/a")
        expect(leaf.count() == before, "a late renewal does not bring it back")
        leaf.born, leaf.seq, leaf.state = leaf.born + 60_000, 0, "ready"
        expect(wait_for(3, lambda: self.ask("/moved/a") and leaf.count() > before), "a new incarnation serves")

    def check_control_losses(self):
        document = configuration(20, SHARDS, "one", "book")
        for ip in self.cluster.controls[:2]:
            self.cluster.signal(ip, signal.SIGKILL)
        expect(self.put_until_taken(document, ACK_SECONDS + 2), "two of five lost: a change is taken")
        expect(wait_for(IN_FORCE_SECONDS, lambda: self.ask("/one/a")[1] == 200), "and in force")
        self.cluster.wipe(self.cluster.controls[0])
        for ip in self.cluster.controls[:2]:
            self.cluster.start(ip, False)
        expect(wait_for(6, lambda: self.read(0) == (200, 20)), "a wiped instance joins and reads the newest version")
        expect(wait_for(6, lambda: self.read(1) == (200, 20)), "so does the one with its disk")
        time.sleep(3)  # Time for the wiped one to get its vote back.
        for ip in self.cluster.controls[3:]:
            self.cluster.signal(ip, signal.SIGKILL)
        expect(self.put_until_taken(configuration(21, SHARDS, "one", "book"), ACK_SECONDS + 3),
               "the two others lost: a change is taken, so the wiped one votes")
        for ip in self.cluster.controls[3:]:
            self.cluster.start(ip, False)

    def check_gatherer_stops_answering(self):
        relays = list(self.cluster.relays)
        os.kill(self.cluster.processes[relays[1]].pid, signal.SIGSTOP)
        answers = [self.ask("/all/x", relays[2]) for _ in range(20)]
        os.kill(self.cluster.processes[relays[1]].pid, signal.SIGCONT)
        served = sum(1 for answer in answers if answer[1] == 200)
        expect(served >= 19, f"a gatherer that stands still is passed by: {served} of 20 served")

    def check_stop(self):
        relay = list(self.cluster.relays)[0]
        for leaf in self.leafs_of("one"):
            leaf.delay = 0.8
        answers = []
        threads = [threading.Thread(target=lambda: answers.append(self.ask("/one/a", relay)[1])) for _ in range(2)]
        for thread in threads:
            thread.start()
        time.sleep(0.2)
        began = time.monotonic()
        self.cluster.signal(relay, signal.SIGTERM, wait=False)
        time.sleep(0.1)
        expect(call((relay, self.cluster.port + 3), "GET", "/-/ready")[0] != 200, "a stopping relay is not ready")
        code = self.cluster.processes[relay].wait(timeout=15)
        for thread in threads:
            thread.join()
        expect(answers == [200, 200], f"what it had begun is answered: {answers}")
        expect(code == 0 and time.monotonic() - began < GRACE_SECONDS, f"it ends by itself in time with code {code}")

    def check_blocked_log(self):
        """Nobody reads a relay's log: it goes on answering, drops lines, says how many, and ends in time."""
        relay = list(self.cluster.relays)[1]
        self.cluster.signal(relay, signal.SIGTERM)
        reader, writer = os.pipe()
        self.cluster.start(relay, False, output=writer)
        os.close(writer)
        ready = wait_for(CATCH_UP_SECONDS, lambda: self.ask("/one/a", relay)[1] == 200)
        expect(ready, "a relay whose log is not read serves")
        connection = http.client.HTTPConnection(*self.cluster.relay_address(relay), timeout=3)
        slowest = 0.0
        for _ in range(BLOCKED_LINES):
            began = time.monotonic()
            connection.request("GET", "/nowhere", headers={"Host": HOST, "X-Request-Id": "unread"})
            connection.getresponse().read()
            slowest = max(slowest, time.monotonic() - began)
        expect(slowest < 1, f"no request waits for the log, the slowest took {slowest:.2f} s")
        expect(self.ask("/one/a", relay)[1] == 200, "it serves after the log is full")
        os.set_blocking(reader, False)
        began = time.monotonic()
        self.cluster.signal(relay, signal.SIGTERM, wait=False)
        try:
            self.cluster.processes[relay].wait(timeout=GRACE_SECONDS)
            expect(True, f"it ends in {time.monotonic() - began:.1f} s though its log is not read")
        except subprocess.TimeoutExpired:
            expect(False, "a relay whose log is not read ends in time")
            self.cluster.processes[relay].kill()
            self.cluster.processes[relay].wait()
        os.close(reader)

    def run(self):
        self.cluster.add_leafs(SHARDS + ["one", "book"], ["a", "b"])
        self.cluster.start_all()
        self.check_start()
        # All leafs have renewed themselves by then, and all relays have learnt of them.
        known = wait_for(3, lambda: all(
            self.ask("/all/x", ip)[2].get("X-Missing-Parts") == "0" and self.ask("/book/0", ip, "POST", b"x")[1] == 200
            for ip in self.cluster.relays))
        expect(known, "all servers are known to all relays")
        self.check_operator()
        self.check_requests()
        self.check_faults()
        self.check_explain()
        self.check_leaving_caller()
        self.check_draining()
        self.check_control_losses()
        self.check_gatherer_stops_answering()
        self.check_blocked_log()
        self.check_stop()


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
