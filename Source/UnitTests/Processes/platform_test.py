#!/usr/bin/env python3
"""End-to-end test of the platform adapter: configuration, heartbeats, requests, faults, drains, lost disks, a stop."""
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
from platform_cluster import BINARY, ENDLESS, HOST, PlatformCluster, call, configuration  # noqa: E402

EXPLAIN = os.path.join(os.path.dirname(os.path.dirname(BINARY)), "corianderlock")

SHARDS = ["s0", "s1", "s2", "s3"]
IN_FORCE_SECONDS = 3.0  # The platform's limit for a configuration change to take effect everywhere.
DRAIN_SECONDS = 3.0
ACK_SECONDS = 5.0
GRACE_SECONDS = 6.0
CATCH_UP_SECONDS = 4.0
RECOVERY_SECONDS = 12.0
ENDLESS_REQUESTS = 12
RELAY_MEGABYTES = 160  # The memory of the smallest machine that runs a relay.
BLOCKED_LINES = 6000  # Far more than the pipe buffer and the log queue hold.
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

    def send(self, path, relay=None, method="GET", body=None, time_left=1500, timeout=3):
        self.number += 1
        request = f"r{self.number:06x}"
        relay = relay or list(self.cluster.relays)[self.number % len(self.cluster.relays)]
        headers = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": str(time_left)}
        return (request,) + call(self.cluster.relay_address(relay), method, path, body, headers, timeout)

    def put(self, document, control=0):
        return call(self.cluster.control_address(control), "PUT", "/-/config", document, timeout=3)

    def put_until_accepted(self, document, seconds=ACK_SECONDS):
        attempts = [0]

        def attempt():
            attempts[0] += 1
            return self.put(document, attempts[0] % len(self.cluster.controls))[0] == 200
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
        expect(self.send("/one/a", first)[1] == 503, "a relay without a configuration answers 503, not 404")
        expect(self.put_until_accepted(configuration(7, SHARDS, "one", "book")), "the first configuration is accepted")
        ready = wait_for(IN_FORCE_SECONDS, lambda: all(
            call((ip, self.cluster.port + 3), "GET", "/-/ready")[0] == 200 for ip in self.cluster.relays))
        expect(ready, "all relays are ready with it")

    def check_operator(self):
        before = self.read(1)
        bad = json.loads(configuration(9, SHARDS, "one", "book"))
        bad["routes"][1]["service"] = "unknown"
        status, _, body = self.put(json.dumps(bad))
        expect(status == 400 and b"unknown" in body,
               f"the refusal of an invalid configuration names the field: {status} {body}")
        expect(self.put(configuration(9, SHARDS, "one", "book")[:200])[0] == 400,
               "a truncated configuration is refused")
        other = configuration(7, SHARDS, "book", "one")
        expect(self.put(other, 2)[0] == 200, "different content under the current version is acknowledged")
        expect(self.read(3) == before == (200, 7), f"and the configuration does not change: {before}, {self.read(3)}")
        expect(b'"service": "one"' in call(self.cluster.control_address(4), "GET", "/-/config")[2],
               "the content sent first is read back")
        document = configuration(12, SHARDS, "one", "book")
        document = document.replace("/one/", "/moved/")
        expect(self.put(document, 3)[0] == 200, "a higher version is accepted")
        moved = wait_for(IN_FORCE_SECONDS, lambda: all(
            self.send("/moved/a", ip)[1] == 200 for ip in self.cluster.relays))
        expect(moved, "and is in force at all relays in time")
        expect(all(self.send("/one/a", ip)[1] == 404 for ip in self.cluster.relays), "the old route is gone")

    def check_requests(self):
        for relay in self.cluster.relays:
            request, status, headers, body = self.send("/all/x?y=1", relay)
            records = sorted((record for leaf in {leaf.service: leaf for leaf in self.cluster.leafs}.values()
                              if leaf.service in SHARDS for record in leaf.records), reverse=True)
            stamps = [s.strip() for s in (headers.get("X-Part-Stamps") or "").split(",")]
            expect(status == 200 and body == b"".join(records[:5]), f"{relay}: the greatest records of all shards")
            expect(len(set(stamps)) == len(SHARDS) and all(s.endswith(request) for s in stamps), f"stamps {stamps}")
            expect(headers.get("X-Missing-Parts") == "0", "nothing is missing")
        request, status, headers, body = self.send("/moved/a%20b?c=%2F")
        row = next(row for leaf in self.leafs_of("one") for row in leaf.arrived if row[1] == request)
        expect(status == 200 and headers["X-Server-Stamp"].endswith(request),
               "the response of one server carries its stamp")
        expect(row[3] == "/moved/a%20b?c=%2F", f"the target is forwarded unchanged: {row[3]}")
        expect(0 < int(row[5]) < 1500, f"the remaining time is forwarded: {row[5]}")
        request, status, _, _ = self.send("/book/1", method="POST", body=b"pigeons")
        rows = [row for leaf in self.leafs_of("book") for row in leaf.arrived if row[1] == request]
        expect(status == 200 and [row[4] for row in rows] == [b"pigeons"], "a booking runs once with its body")

    def check_faults(self):
        for leaf in self.leafs_of("book"):
            leaf.fault = "cut"
        request, status, headers, _ = self.send("/book/2", method="POST", body=b"x")
        runs = sum(leaf.count(request) for leaf in self.leafs_of("book"))
        expect(runs == 1 and status in (502, 504),
               f"a booking whose response was lost is not retried: {runs}, {status}")
        for leaf in self.leafs_of("book"):
            leaf.fault = "shed"
        request, status, headers, _ = self.send("/book/3", method="POST", body=b"x")
        expect(status == 503 and float(headers["Retry-After"]) > 0,
               "a booking that was not run is refused with Retry-After")
        for leaf in self.leafs_of("book"):
            leaf.fault = None
        for leaf in self.leafs_of("s1"):
            leaf.delay = 1.0
        began = time.monotonic()
        _, status, headers, _ = self.send("/all/x")
        took = time.monotonic() - began
        expect(status == 200 and headers.get("X-Missing-Parts") == "1",
               "a response without a slow shard reports the missing part")
        expect(took < 0.45, f"and arrives within the target latency: {took * 1000:.0f} ms")
        for leaf in self.leafs_of("s1"):
            leaf.delay = 0
        leaf = self.leafs_of("s2")[0]
        leaf.fault = "fail"
        answers = [self.send("/all/x") for _ in range(20)]
        whole = sum(1 for answer in answers if answer[1] == 200 and answer[2].get("X-Missing-Parts") == "0")
        expect(whole == 20, f"a failing server is replaced by the other replica: {whole} of 20 complete")
        leaf.fault = None

    def resident_megabytes(self, ip):
        with open(f"/proc/{self.cluster.processes[ip].pid}/status", encoding="utf-8") as lines:
            return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024

    def check_endless_responses(self):
        """Checks that responses without end are bounded in memory, time and connections."""
        for fault in ENDLESS:
            for leaf in self.leafs_of("one") + self.leafs_of("book"):
                leaf.fault = fault
            for path, method in (("/moved/a", "GET"), ("/book/5", "POST")):
                answers = []

                def send(path=path, method=method, answers=answers):
                    began = time.monotonic()
                    status = self.send(path, method=method, body=b"x" if method == "POST" else None, time_left=800)[1]
                    answers.append((status, time.monotonic() - began))
                threads = [threading.Thread(target=send) for _ in range(ENDLESS_REQUESTS)]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                expect(all(status >= 500 and took < 1.3 for status, took in answers),
                       f"{fault}, {method}: answered with a failure in time: {sorted(set(answers))[-3:]}")
            leafs = self.leafs_of("one") + self.leafs_of("book")
            closed = wait_for(1, lambda leafs=leafs: not any(leaf.endless_streams for leaf in leafs))
            expect(closed, f"{fault}: all its connections are closed, {[leaf.endless_streams for leaf in leafs]} are open")
        for leaf in self.cluster.leafs:
            leaf.fault = None
        peaks = [self.resident_megabytes(ip) for ip in self.cluster.relays]
        expect(max(peaks) < RELAY_MEGABYTES, f"peak memory of the relays: {[round(peak) for peak in peaks]} MB")
        served = wait_for(5, lambda: all(self.send("/moved/a", ip)[1] == 200 for ip in self.cluster.relays))
        expect(served, "afterwards requests are served")

    def explain(self, request):
        """Returns the output of `corianderlock explain` for a request, from the logs of all relays."""
        logs = [os.path.join(self.cluster.folder, ip + ".log") for ip in self.cluster.relays]
        result = subprocess.run([EXPLAIN, "explain", request] + logs, capture_output=True, text=True, check=False)
        return result.stdout

    def check_explain(self):
        """Checks that `explain` finds the cause of three kinds of failed request from the logs alone."""
        for leaf in self.leafs_of("book"):
            leaf.fault = "cut"
        for leaf in self.leafs_of("s1"):
            leaf.delay = 1.0
        refused = self.send("/nowhere")
        partial = self.send("/all/x")
        failed = self.send("/book/4", method="POST", body=b"x")
        for leaf in self.cluster.leafs:
            leaf.fault, leaf.delay = None, 0
        expect((refused[1], partial[1]) == (404, 200) and failed[1] in (502, 504), "three kinds of failure")
        for (request, *_), cause in ((refused, "nothing was sent: no route matches"), (partial, "1 groups missing"),
                                     (failed, "1 x send-failed")):
            found = wait_for(2, lambda: cause in self.explain(request))
            expect(found, f"explain finds the cause: {cause}")
            if not found:
                print(self.explain(request))

    def check_caller_disconnect(self):
        for leaf in self.leafs_of("one"):
            leaf.delay = 0.4
        relay = next(iter(self.cluster.relays))
        caller = socket.create_connection(self.cluster.relay_address(relay))
        caller.sendall(f"GET /moved/a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: left\r\nX-Deadline-Ms: 1500\r\n\r\n".encode())
        wait_for(1, lambda: any(leaf.count("left") for leaf in self.leafs_of("one")))
        caller.close()
        expect(wait_for(1, lambda: "request=left outcome=caller-left" in self.cluster.log(relay)),
               "a disconnect of the caller is detected")
        for leaf in self.leafs_of("one"):
            leaf.delay = 0

    def check_draining(self):
        leaf = self.leafs_of("one")[0]
        leaf.state = "draining"
        leaf.send_heartbeat(self.cluster.control_address(2))
        time.sleep(DRAIN_SECONDS / 3)
        before = leaf.count()
        served = [self.send("/moved/a")[1] for _ in range(30)]
        expect(leaf.count() == before and served == [200] * 30,
               "a draining server receives no requests, and the others serve")
        late = dict(service="one", address=leaf.address, zone="a", version="v1", slots=2, state="ready",
                    warmup_left_ms=0, seq=leaf.seq - 1, born=leaf.born)
        call(self.cluster.control_address(1), "PUT", f"/-/instances/{leaf.id}", json.dumps(late))
        time.sleep(0.3)
        before = leaf.count()
        for _ in range(10):
            self.send("/moved/a")
        expect(leaf.count() == before, "a delayed heartbeat does not make it eligible again")
        leaf.born, leaf.seq, leaf.state = leaf.born + 60_000, 0, "ready"
        expect(wait_for(3, lambda: self.send("/moved/a") and leaf.count() > before), "a new incarnation serves")

    def check_odd_heartbeats(self):
        """Entries that no server can have sent are refused, and the servers that they name stay in use."""
        leaf = self.leafs_of("one")[0]
        good = dict(service="one", address=leaf.address, zone="a", version="v1", slots=2, state="ready",
                    warmup_left_ms=0, seq=1, born=leaf.born)
        host = leaf.address.split(":")[0]
        odd = [{"address": f"{host}:{port}"} for port in ("0", "65536", "99999999999999999999")]
        odd += [{"born": 2 ** 64 - 1}, {"seq": 2 ** 64 - 1}, {"warmup_left_ms": -1}, {"zone": "z" * 200000},
                {"service": "on\0e"}]
        bodies = [json.dumps(dict(good, **change)) for change in odd]
        bodies.append(json.dumps(good).replace('"warmup_left_ms": 0', '"warmup_left_ms": 1e400'))
        bodies.append('{"service":' + "[" * 100000 + "]" * 100000 + "}")
        accepted = []
        for i, body in enumerate(bodies):
            for control in range(len(self.cluster.controls)):
                for name in (f"odd-{i}", leaf.id):
                    status = call(self.cluster.control_address(control), "PUT", f"/-/instances/{name}", body)[0]
                    if status != 400:
                        accepted.append((status, body[:120]))
        for control in range(len(self.cluster.controls)):
            status = call(self.cluster.control_address(control), "DELETE", f"/-/instances/{leaf.id}",
                          json.dumps({"born": 2 ** 64 - 1}))[0]
            if status != 400:
                accepted.append((status, "DELETE"))
        expect(not accepted, f"odd heartbeats are refused: {accepted[:3]}")
        time.sleep(1)
        before = leaf.count()
        served = sum(1 for _ in range(40) if self.send("/moved/a")[1] == 200)
        expect(served == 40 and leaf.count() > before, f"their server stays in use, {served} of 40 are served")
        expect(all(process.poll() is None for process in self.cluster.processes.values()), "no process has ended")

    def check_server_notices(self):
        """What a server says in its answers counts, although its heartbeats say ready. All requests go to one relay."""
        relay = list(self.cluster.relays)[0]
        paths = {"/moved/x": self.leafs_of("one")[0], "/all/x": self.leafs_of("s3")[0]}
        for path, leaf in paths.items():
            leaf.says_leaving = True
            for _ in range(20):
                self.send(path, relay)
            told, statuses = leaf.count(), []
            for _ in range(60):
                statuses.append(self.send(path, relay)[1])
            expect(leaf.count() == told, f"{path}: {leaf.count() - told} of 60 requests reached a server that leaves")
            expect(statuses.count(200) == 60, f"{path}: the others serve {statuses.count(200)} of 60")
            leaf.says_leaving = False
            leaf.id += "-next"  # Its next start.
            leaf.born = int(time.time() * 1000)
        time.sleep(2.5)
        for path, service in (("/moved/x", "one"), ("/all/x", "s3")):
            leafs = self.leafs_of(service)
            for leaf in leafs:
                leaf.fault = "closed"
            began, refused = time.monotonic(), []
            while time.monotonic() - began < 3:
                _, status, headers, _ = self.send(path, relay)
                refused.append((time.monotonic() - began, status, headers.get("Retry-After")))
                time.sleep(0.02)
            arrived = [[row[0] - began for row in leaf.arrived if began + 0.55 < row[0] < began + 2.9] for leaf in leafs]
            expect(all(len(times) <= 2 for times in arrived),
                   f"{path}: while closed {[len(times) for times in arrived]} requests reach the servers")
            if path == "/moved/x":
                later = [(at, status, float(wait or 0)) for at, status, wait in refused if 0.5 < at < 2.5]
                expect(all(status == 503 and at + wait > 2.9 for at, status, wait in later),
                       f"{len(later)} callers are refused until the servers reopen: {later[:2]}")
            for leaf in leafs:
                leaf.fault = None
            time.sleep(1)
            served = sum(1 for _ in range(20) if self.send(path, relay)[1] == 200)
            expect(served == 20, f"{path}: afterwards {served} of 20 are served")

    def check_control_losses(self):
        document = configuration(20, SHARDS, "one", "book")
        for ip in self.cluster.controls[:2]:
            self.cluster.signal(ip, signal.SIGKILL)
        expect(self.put_until_accepted(document, ACK_SECONDS + 2),
               "two of five control instances are lost: a change is accepted")
        expect(wait_for(IN_FORCE_SECONDS, lambda: self.send("/one/a")[1] == 200), "and in force")
        self.cluster.wipe(self.cluster.controls[0])
        for ip in self.cluster.controls[:2]:
            self.cluster.start(ip, False)
        expect(wait_for(6, lambda: self.read(0) == (200, 20)), "a wiped instance rejoins and reads the newest version")
        expect(wait_for(6, lambda: self.read(1) == (200, 20)),
               "an instance that kept its disk reads the newest version")
        time.sleep(3)  # Time for the wiped instance to become a voter again.
        for ip in self.cluster.controls[3:]:
            self.cluster.signal(ip, signal.SIGKILL)
        expect(self.put_until_accepted(configuration(21, SHARDS, "one", "book"), ACK_SECONDS + 3),
               "two others are lost: a change is accepted, so the wiped instance votes")
        for ip in self.cluster.controls[3:]:
            self.cluster.start(ip, False)

    def check_final_loss(self):
        """Kills all processes right after an acknowledgement; two control instances lose their disks as well."""
        document = configuration(25, SHARDS, "one", "book").replace("/one/", "/final/")
        expect(self.put_until_accepted(document), "a change is accepted before all processes are killed")
        instances = self.cluster.controls + list(self.cluster.relays)
        for ip in instances:
            self.cluster.signal(ip, signal.SIGKILL, wait=False)
        for ip in instances:
            self.cluster.processes[ip].wait(timeout=15)
        for ip in self.cluster.controls[1:3]:
            self.cluster.wipe(ip)
        time.sleep(1)
        for ip in instances:
            self.cluster.start(ip, False)
        began = time.monotonic()
        known = wait_for(RECOVERY_SECONDS, lambda: all(
            self.read(i) == (200, 25) for i in range(len(self.cluster.controls))))
        expect(known, f"all control instances read the acknowledged version after {time.monotonic() - began:.1f} s")
        served = wait_for(RECOVERY_SECONDS, lambda: all(
            self.send("/final/a", ip)[1] == 200 for ip in self.cluster.relays))
        expect(served, f"all relays serve the acknowledged route after {time.monotonic() - began:.1f} s")
        expect(self.put_until_accepted(configuration(26, SHARDS, "one", "book")), "the next change is accepted")
        expect(wait_for(IN_FORCE_SECONDS, lambda: all(self.send("/one/a", ip)[1] == 200 for ip in self.cluster.relays)),
               "and in force on all relays in time")

    def check_unresponsive_gatherer(self):
        relays = list(self.cluster.relays)
        os.kill(self.cluster.processes[relays[1]].pid, signal.SIGSTOP)
        answers = [self.send("/all/x", relays[2]) for _ in range(20)]
        os.kill(self.cluster.processes[relays[1]].pid, signal.SIGCONT)
        served = sum(1 for answer in answers if answer[1] == 200)
        expect(served >= 19, f"requests avoid an unresponsive gatherer: {served} of 20 served")

    def check_stop(self):
        relay = list(self.cluster.relays)[0]
        for leaf in self.leafs_of("one"):
            leaf.delay = 0.8
        answers = []
        threads = [threading.Thread(target=lambda: answers.append(self.send("/one/a", relay)[1])) for _ in range(2)]
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
        expect(answers == [200, 200], f"requests in flight are answered: {answers}")
        expect(code == 0 and time.monotonic() - began < GRACE_SECONDS, f"it exits in time with code {code}")

    def check_blocked_log(self):
        """Checks a relay whose log pipe is full: it serves, drops log lines and exits in time."""
        relay = list(self.cluster.relays)[1]
        self.cluster.signal(relay, signal.SIGTERM)
        reader, writer = os.pipe()
        self.cluster.start(relay, False, output=writer)
        os.close(writer)
        ready = wait_for(CATCH_UP_SECONDS, lambda: self.send("/one/a", relay)[1] == 200)
        expect(ready, "a relay whose log is not read serves")
        connection = http.client.HTTPConnection(*self.cluster.relay_address(relay), timeout=3)
        slowest = 0.0
        for _ in range(BLOCKED_LINES):
            began = time.monotonic()
            connection.request("GET", "/nowhere", headers={"Host": HOST, "X-Request-Id": "unread"})
            connection.getresponse().read()
            slowest = max(slowest, time.monotonic() - began)
        expect(slowest < 1, f"no request blocks on the log, the slowest took {slowest:.2f} s")
        expect(self.send("/one/a", relay)[1] == 200, "it serves after the log pipe is full")
        os.set_blocking(reader, False)
        began = time.monotonic()
        self.cluster.signal(relay, signal.SIGTERM, wait=False)
        try:
            self.cluster.processes[relay].wait(timeout=GRACE_SECONDS)
            expect(True, f"it exits in {time.monotonic() - began:.1f} s with its log unread")
        except subprocess.TimeoutExpired:
            expect(False, "a relay whose log is not read exits in time")
            self.cluster.processes[relay].kill()
            self.cluster.processes[relay].wait()
        os.close(reader)

    def run(self):
        self.cluster.add_leafs(SHARDS + ["one", "book"], ["a", "b"])
        self.cluster.start_all()
        self.check_start()
        # Wait until all backend servers have sent heartbeats and all relays know them.
        known = wait_for(3, lambda: all(
            self.send("/all/x", ip)[2].get("X-Missing-Parts") == "0"
            and self.send("/book/0", ip, "POST", b"x")[1] == 200
            for ip in self.cluster.relays))
        expect(known, "all servers are known to all relays")
        self.check_operator()
        self.check_requests()
        self.check_faults()
        self.check_endless_responses()
        self.check_explain()
        self.check_caller_disconnect()
        self.check_draining()
        self.check_server_notices()
        self.check_odd_heartbeats()
        self.check_control_losses()
        self.check_final_loss()
        self.check_unresponsive_gatherer()
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
