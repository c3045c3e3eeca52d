#!/usr/bin/env python3
"""Soak test: injects random faults into real processes behind the adapter and checks the guarantees meanwhile.

The faults overlap as the seed determines: kills, pauses, restarts, stops and wiped disks of control instances and
relays, faults, drains and limits of backend servers, callers that leave, changes of the configuration, and, as the seed
determines, either a request that crashes servers or groups that hang and fail together. Half of the seeds have tenants, and half
evacuate and restore a failure domain. At most two control instances are down at a time, as the settings tolerate.
Prints the seed; --keep leaves the logs.
"""
import argparse
import json
import math
import os
import random
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from platform_cluster import HOST, PlatformCluster, call, configuration  # noqa: E402
from tenant_quota_test import most_in_window  # noqa: E402

SHARDS = ["s0", "s1", "s2", "s3"]
MAX_CONTROLS_DOWN = 2
DRAIN_SECONDS = 3.0
SILENCE_MS = 12000  # Longer than departures are checked, so that a lost one shows.
CHECK_SECONDS = 10.0
ACK_SECONDS = 5.0
CATCH_UP_SECONDS = 4.0
RECOVER_SECONDS = 12.0
ANSWER_SECONDS = 2.5  # The route's time limit and half a second.
HANG_SECONDS = 3.0
HANGING_SHARE = 0.5  # Of the seeds.
LEAVE_GRACE_SECONDS = 0.6  # After which no server gets a request of a caller that has left; its relay may be busy.
CRASHING = "crash"
# A relay that reaches no other instance ends three servers at most, as often as it is started.
CRASHES_OF_A_START = 3
TENANTS_SHARE = 0.5  # Of the seeds.
EVACUATION_SHARE = 0.5
FREE, OTHER, LIMITED = "free", "other", "limited"
KEY_MARK = "secret"  # In all keys, and nowhere else.
ROTATED_KEYS = 3  # A version of the configuration has one of them for each tenant.
QUOTA_RATE, QUOTA_BURST = 3.0, 5.0
QUOTA_ALLOWED = (QUOTA_RATE * 5 + QUOTA_BURST) * 1.1 + 20  # In any 5 s.
IN_FORCE_SECONDS = 5.0
# The longest pause of an instance and the time that a command may take: an instance that resumes may still carry out a
# command that was sent to it, after a later one.
LATE_COMMAND_SECONDS = 8.0


class Soak:
    def __init__(self, seed, seconds):
        self.random = random.Random(seed)
        self.has_hanging_groups = self.random.random() < HANGING_SHARE
        self.seconds = seconds
        self.cluster = PlatformCluster(silence_ms=SILENCE_MS, failure_domains=("a", "b", "c"))
        self.lock = threading.Lock()
        self.problems, self.number, self.served, self.sent = [], 0, 0, 0
        self.version, self.acknowledged, self.down_until = 10, 10, {}
        self.stop, self.relay_starts, self.hanging_until = threading.Event(), 0, 0.0
        # Drawn apart, so that the faults of a seed don't depend on them.
        draw = random.Random(f"tenants and evacuation {seed}")
        self.has_tenants = draw.random() < TENANTS_SHARE
        self.evacuated_domain = draw.choice(["a", "b"]) if draw.random() < EVACUATION_SHARE else None
        self.sent_by = {}  # By request: the tenant, and if its key is valid; None if only some configurations have it.
        self.quota_refusals = 0
        self.disturbances = []  # Begin and end of each kill, pause and stop of a process.
        self.commands = []  # When each was first sent and acknowledged, and if it evacuates.
        self.has_faults = True
        print(f"tenants: {self.has_tenants}, evacuated domain: {self.evacuated_domain}", flush=True)

    def problem(self, text):
        with self.lock:
            self.problems.append(text)
        print("PROBLEM:", text, flush=True)

    def records(self):
        leafs = {leaf.service: leaf for leaf in self.cluster.leafs if leaf.service in SHARDS}
        return {name: leaf.records for name, leaf in leafs.items()}

    def document(self):
        document = json.loads(configuration(self.version, SHARDS, "one", "book"))
        if self.has_tenants:
            rotated = self.version % ROTATED_KEYS
            document["tenants"] = [{"name": name, "api_keys": [self.key(name), self.key(name, rotated)]}
                                   for name in (FREE, OTHER, LIMITED)]
            document["tenants"][2].update(rate_per_s=QUOTA_RATE, burst=QUOTA_BURST)
            document["routes"][1]["allow_anonymous"] = True
        return json.dumps(document)

    @staticmethod
    def key(name, number="lasting"):
        return f"{KEY_MARK}-{name}-{number}"

    def credentials(self, kind, item):
        """Returns header fields, the tenant, and if they are valid; None if that depends on the configuration."""
        if not self.has_tenants:
            return {}, None, True
        # One caller of the crashing request: each further one may end as many servers.
        tenant = FREE if item.startswith(CRASHING) else self.random.choice([FREE, OTHER, OTHER, LIMITED])
        number, is_valid = self.random.choice([("lasting", True)] * 8 + [
            (self.random.randrange(ROTATED_KEYS), None), ("never", False)])
        value = f"{self.random.choice(['Bearer', 'bearer', 'BEARER'])} {self.key(tenant, number)}"
        fields = {self.random.choice(["Authorization", "authorization", "AUTHORIZATION", "aUTHORIZATION"]): value}
        how = self.random.choice(["once"] * 16 + ["missing", "repeated"])
        if how == "missing" and not item.startswith(CRASHING):
            fields, tenant, is_valid = {}, None, kind == "one"
        if how == "repeated":
            fields, is_valid = {"Authorization": value, "authorization": value}, False
        if self.random.random() < 0.2:
            fields[self.random.choice(["X-Tenant-Id", "x-tenant-id", "X-TENANT-ID"])] = OTHER + "-forged"
        return fields, tenant, is_valid

    def request(self, kind, item="x"):
        fields, tenant, is_valid = self.credentials(kind, item)
        with self.lock:
            self.number += 1
            request = f"q{self.number:06x}"
            self.sent_by[request] = tenant, is_valid
        relay = self.random.choice(list(self.cluster.relays))
        path, method, body = {"all": ("/all/", "GET", None), "one": ("/one/", "GET", None),
                              "book": ("/book/", "POST", b"b")}[kind]
        path += item
        headers = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": "1500", **fields}
        was_up, began = relay not in self.down_instances(), time.monotonic()
        status, headers, body = call(self.cluster.relay_address(relay), method, path, body, headers, 3)
        took = time.monotonic() - began
        if not status and took > ANSWER_SECONDS and was_up and relay not in self.down_instances():
            self.problem(f"{request}: no answer from {relay} after {took:.1f} s ({kind})")
        is_servable = is_valid is True and tenant != LIMITED
        with self.lock:
            self.sent += is_servable
            self.served += is_servable and status == 200
            self.quota_refusals += tenant == LIMITED and status == 429
        if status == 401 and is_valid:
            self.problem(f"{request}: 401 for valid credentials of {tenant}: {body}")
        if is_servable and b"quota-exceeded" in body:
            self.problem(f"{request}: refused by a quota that {tenant} doesn't have")
        self.check(kind, request, status, headers, body)

    def check(self, kind, request, status, headers, body):
        """Checks the guarantees for callers that hold under any fault."""
        runs = sum(leaf.runs[request] for leaf in self.cluster.leafs if leaf.service == "book")
        if kind == "book" and runs > 1:
            self.problem(f"{request}: a booking ran {runs} times")
        if kind == "book" and status in (429, 503) and runs:
            self.problem(f"{request}: refused as not run, and it ran")
        if status == 404:
            self.problem(f"{request}: 404 on a route that each configuration has")
        if kind != "all" or status != 200:
            return
        stamps = [s.strip() for s in headers.get("X-Part-Stamps", "").split(",")]
        missing = int(headers.get("X-Missing-Parts", "0"))
        # A server that has ended since has another id with the same beginning.
        services = [leaf.service for stamp in stamps for leaf in self.cluster.leafs
                    if stamp.split(".")[0] == leaf.id.split(".")[0] and stamp.endswith("." + request)]
        if len(services) != len(stamps) or len(set(services)) != len(services) or len(services) + missing != len(SHARDS):
            self.problem(f"{request}: parts {stamps}, {missing} missing")
            return
        best = sorted((r for s in services for r in self.records()[s]), reverse=True)[:5]
        if body != b"".join(best):
            self.problem(f"{request}: not the greatest records of {services}")

    def send_requests(self):
        while not self.stop.wait(0.02):
            self.request(self.random.choice(["all", "all", "one", "book"]))

    def down_instances(self):
        now = time.monotonic()
        return [ip for ip, until in list(self.down_until.items()) if until > now]

    def change(self):
        self.version += self.random.choice([1, 2, 5])
        document = self.document()
        for control in self.random.sample(range(len(self.cluster.controls)), 2):
            if call(self.cluster.control_address(control), "PUT", "/-/config", document, timeout=2)[0] == 200:
                self.acknowledged = max(self.acknowledged, self.version)
                return

    def read(self):
        before = self.acknowledged
        control = self.random.randrange(len(self.cluster.controls))
        status, _, body = call(self.cluster.control_address(control), "GET", "/-/config", timeout=2)
        if status == 200 and json.loads(body)["version"] < before:
            self.problem(f"control {control} reads {json.loads(body)['version']}, acknowledged was {before}")

    def take_down_control(self):
        self.lose_control(self.random.choice(self.cluster.controls),
                          self.random.choice(["kill", "wipe", "pause", "stop"]), self.random.uniform(0.1, 2.0))

    def lose_control(self, ip, how, length):
        with self.lock:
            if ip in self.down_instances() or len(self.down_instances()) >= MAX_CONTROLS_DOWN:
                return
            self.down_until[ip] = time.monotonic() + length + 1 + CATCH_UP_SECONDS
        print(f"control {ip}: {how} for {length:.1f} s", flush=True)
        self.take_down(ip, how, length)

    def take_down_relay(self):
        ip = self.random.choice(list(self.cluster.relays))
        if ip not in self.down_instances():
            length = self.random.uniform(0.1, 1.5)
            self.relay_starts += 1
            self.down_until[ip] = time.monotonic() + length + 4
            self.take_down(ip, self.random.choice(["kill", "pause", "stop"]), length)

    def take_down(self, ip, how, length):
        disturbance = [time.monotonic(), math.inf]
        self.disturbances.append(disturbance)

        def run():
            process = self.cluster.processes[ip]
            if how == "pause":
                process.send_signal(signal.SIGSTOP)
                time.sleep(length)
                process.send_signal(signal.SIGCONT)
                disturbance[1] = time.monotonic()
                return
            code = self.cluster.signal(ip, signal.SIGTERM if how == "stop" else signal.SIGKILL)
            if how == "stop" and code != 0:
                self.problem(f"{ip} ended with {code} on SIGTERM")
            if how == "wipe":
                self.cluster.wipe(ip)
            time.sleep(length)
            self.cluster.start(ip, False)
            disturbance[1] = time.monotonic()
        threading.Thread(target=run, daemon=True).start()

    def set_leaf_fault(self):
        leaf = self.random.choice(self.cluster.leafs)
        leaf.limit = self.random.choice([None, None, None, "3", "20", "-1", "many"])
        leaf.fault, leaf.delay = self.random.choice([(None, 0), (None, 0), ("fail", 0), ("shed", 0), ("cut", 0), (None, 0.6)])

    def hang_groups(self):
        """All servers of some groups fail for a while, and those of the others don't answer."""
        if time.monotonic() < self.hanging_until:
            return
        self.hanging_until = time.monotonic() + HANG_SECONDS
        failing = self.random.sample(SHARDS, self.random.randrange(len(SHARDS)))
        leafs = [leaf for leaf in self.cluster.leafs if leaf.service in SHARDS]
        for leaf in leafs:
            leaf.fault, leaf.delay = ("fail", 0) if leaf.service in failing else (None, 2 * HANG_SECONDS)

        def end():
            for leaf in leafs:
                leaf.fault, leaf.delay = None, 0
        threading.Timer(HANG_SECONDS, end).start()

    def leave_early(self):
        """A caller closes its connection while its call is in progress."""
        relay, after = self.random.choice(list(self.cluster.relays)), self.random.uniform(0, 0.8)

        def run():
            with self.lock:
                self.number += 1
                request = f"g{self.number:06x}"
                self.sent_by[request] = FREE, True
            authorization = f"Authorization: Bearer {self.key(FREE)}\r\n" if self.has_tenants else ""
            try:
                with socket.create_connection(self.cluster.relay_address(relay), timeout=1) as connection:
                    connection.sendall(f"GET /all/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\n"
                                       f"X-Deadline-Ms: 1500\r\n{authorization}\r\n".encode())
                    time.sleep(after)
            except OSError:
                return
            closed = time.monotonic()
            time.sleep(2)
            late = sum(row[0] > closed + LEAVE_GRACE_SECONDS for leaf in self.cluster.leafs
                       for row in list(leaf.arrived) if row[1] == request)
            if late and not self.down_instances():
                self.problem(f"{request}: {late} requests to servers {LEAVE_GRACE_SECONDS} s after its caller had left")
        threading.Thread(target=run, daemon=True).start()

    def send_crashing_request(self):
        """Half of them with a query that no other one has."""
        kind = self.random.choice(["all", "one", "book"])
        item = CRASHING + self.random.choice(["", f"?page={self.random.randrange(1 << 30)}"])
        threading.Thread(target=self.request, args=(kind, item), daemon=True).start()

    def check_crashes(self):
        crashes = sum(len(leaf.crashed_at) for leaf in self.cluster.leafs)
        kinds = 3
        allowed = kinds * CRASHES_OF_A_START * (len(self.cluster.relays) + self.relay_starts)
        print(f"{crashes} servers ended under {kinds} requests, {allowed} allowed", flush=True)
        if crashes > allowed:
            self.problem(f"{crashes} servers ended, {allowed} allowed")

    def drain_leaf(self):
        """A server leaves by DELETE or by heartbeats, which it may end once one is acknowledged, and returns under its id."""
        leaf = self.random.choice(self.cluster.leafs)
        others = [o for o in self.cluster.leafs if o.service == leaf.service and o is not leaf]
        if leaf.state != "ready" or any(o.state != "ready" for o in others):
            return
        how = self.random.choice(["DELETE", "silent", "draining"])
        first = self.random.randrange(len(self.cluster.controls))
        is_lost = self.random.random() < 0.5

        def leave(control):
            if how == "DELETE":
                return leaf.send_leave(control) == 200
            return leaf.send_heartbeat(control, "draining") == 200

        def run():
            leaf.state = "draining" if how == "draining" else "gone"
            attempt = first
            while not leave(self.cluster.control_address(attempt % len(self.cluster.controls))):
                attempt += 1
                if self.stop.wait(0.1):
                    return
            left = time.monotonic()
            if is_lost:
                self.lose_control(self.cluster.controls[attempt % len(self.cluster.controls)], "kill", 0.3)
            self.check_drained(leaf, how, left)
            leaf.born, leaf.seq, leaf.state = leaf.born + 60_000, 0, "ready"
        threading.Thread(target=run, daemon=True).start()

    def check_drained(self, leaf, how, left):
        """Counts requests while all instances are in touch. Those for an earlier start at its address are rejected."""
        self.stop.wait(DRAIN_SECONDS)
        while time.monotonic() < left + CHECK_SECONDS and not self.stop.is_set():
            stable, before = not self.down_instances(), leaf.count_runs()
            self.stop.wait(0.5)
            late = leaf.count_runs() - before
            if stable and not self.down_instances() and late:
                self.problem(f"{leaf.id} ran {late} requests {time.monotonic() - left:.1f} s after the acknowledgement "
                             f"that it leaves ({how})")

    def operate(self):
        """Evacuates the domain and restores it in turn, resending each command until it is acknowledged."""
        earliest = time.monotonic() + self.random.uniform(0, 2)
        while self.has_faults:
            if time.monotonic() < earliest:
                time.sleep(0.1)
                continue
            evacuates, began, is_certain = len(self.commands) % 2 == 0, time.monotonic(), True
            while True:
                control = self.cluster.control_address(self.random.randrange(len(self.cluster.controls)))
                method, path = "POST" if evacuates else "DELETE", f"/-/evacuate/{self.evacuated_domain}"
                if call(control, method, path, timeout=2)[0] == 200:
                    break
                is_certain = False
                if self.stop.wait(0.1):
                    return
            now = time.monotonic()
            self.commands.append((began, now, evacuates))
            earliest = now + max(self.random.uniform(1, 9), 0 if is_certain else LATE_COMMAND_SECONDS)

    def is_calm(self, time_point):
        return all(end < time_point - IN_FORCE_SECONDS or begin > time_point for begin, end in list(self.disturbances))

    def check_evacuation(self, operator):
        operator.join(RECOVER_SECONDS)
        if operator.is_alive():
            self.problem("an evacuation or its cancellation is not acknowledged after the recovery")
            return
        while not self.is_calm(time.monotonic()) or time.monotonic() < self.commands[-1][1] + IN_FORCE_SECONDS:
            time.sleep(0.1)
        began = time.monotonic()
        time.sleep(3)
        # Until the next command may be in force.
        ends = [begin for begin, _, _ in self.commands[1:]] + [math.inf]
        times = sorted(row[0] for leaf in self.cluster.leafs if leaf.zone == self.evacuated_domain
                       for row in list(leaf.arrived))
        for (_, acknowledged, evacuates), end in zip(self.commands, ends):
            late = [at for at in times if acknowledged + IN_FORCE_SECONDS < at < end and self.is_calm(at)]
            if evacuates and late:
                self.problem(f"{len(late)} requests reached the evacuated domain {self.evacuated_domain}, the first "
                             f"{late[0] - acknowledged:.1f} s after the acknowledgement")
        is_evacuated = self.commands[-1][2]
        print(f"{len(self.commands)} commands, evacuated at the end: {is_evacuated}", flush=True)
        if not is_evacuated and not any(at > began for at in times):
            self.problem(f"no request reaches the restored domain {self.evacuated_domain}")

    def check_tenants(self):
        first = {}
        for leaf in self.cluster.leafs:
            for row in list(leaf.arrived):
                tenant, is_valid = self.sent_by.get(row[1], (None, True))
                names = [value for name, value in row[6] if name.lower() == "x-tenant-id"]
                if is_valid is False:
                    self.problem(f"{row[1]}: reached {leaf.id} without valid credentials")
                if names != [tenant] * (tenant is not None):
                    self.problem(f"{row[1]}: {leaf.id} got the tenants {names} instead of {tenant}")
                if KEY_MARK in str(row):
                    self.problem(f"{row[1]}: {leaf.id} got a key")
                if tenant == LIMITED:
                    first[row[1]] = min(row[0], first.get(row[1], row[0]))
        most = most_in_window(sorted(first.values()))
        print(f"{len(first)} calls of the tenant with a quota, {most} in 5 s, {QUOTA_ALLOWED:.0f} allowed, "
              f"{self.quota_refusals} refused", flush=True)
        if most > QUOTA_ALLOWED:
            self.problem(f"{most} calls of the tenant with a quota in 5 s, {QUOTA_ALLOWED:.0f} allowed")
        for ip in self.cluster.processes:
            if KEY_MARK in self.cluster.log(ip):
                self.problem(f"the log of {ip} has a key")

    def run(self):
        self.cluster.add_leafs(SHARDS + ["one", "book"], ["a", "b"])
        for leaf in self.cluster.leafs:
            leaf.crashes_on = CRASHING
        self.cluster.start_all()
        first = self.document()
        end = time.monotonic() + ACK_SECONDS
        while call(self.cluster.control_address(0), "PUT", "/-/config", first, timeout=2)[0] != 200:
            if time.monotonic() > end:
                self.problem("the first configuration was not accepted")
                return
            time.sleep(0.1)
        time.sleep(2)
        # At least as many calls reach servers with tenants as without: relays learn from answers that a fault is over.
        threads = [threading.Thread(target=self.send_requests, daemon=True) for _ in range(4 if self.has_tenants else 3)]
        operator = threading.Thread(target=self.operate, daemon=True)
        for thread in threads + [operator] * bool(self.evacuated_domain):
            thread.start()
        steps = [self.change, self.change, self.read, self.read, self.take_down_control, self.take_down_relay,
                 self.set_leaf_fault, self.set_leaf_fault, self.drain_leaf, self.leave_early, self.leave_early]
        # Not both: a request that can complete nowhere may take the blame for the servers that another one ends.
        steps += [self.hang_groups if self.has_hanging_groups else self.send_crashing_request] * 2
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            self.random.choice(steps)()
            time.sleep(self.random.uniform(0.05, 0.5))
        self.has_faults = False
        self.check_recovery()
        self.check_crashes()
        if self.evacuated_domain:
            self.check_evacuation(operator)
        self.stop.set()
        for thread in threads:
            thread.join()
        if self.has_tenants:
            self.check_tenants()

    def check_recovery(self):
        for leaf in self.cluster.leafs:
            leaf.fault, leaf.delay, leaf.limit = None, 0, None
        end = time.monotonic() + RECOVER_SECONDS + 4
        versions = []
        while time.monotonic() < end:
            versions = [call(self.cluster.control_address(i), "GET", "/-/config", timeout=2)
                        for i in range(len(self.cluster.controls))]
            if all(status == 200 and json.loads(body)["version"] >= self.acknowledged for status, _, body in versions):
                break
            time.sleep(0.2)
        else:
            self.problem(f"not all read {self.acknowledged} at the end: {[v[0] for v in versions]}")
        # Wait until all instances that were taken down are up again and have had time to catch up.
        while self.down_instances():
            time.sleep(0.1)
        # While a domain is evacuated, a server of the other one that has left may be the only one of its group.
        while self.evacuated_domain and any(leaf.state != "ready" for leaf in self.cluster.leafs):
            time.sleep(0.1)
        time.sleep(max(leaf.down_seconds for leaf in self.cluster.leafs))
        sent, served = self.sent, self.served
        time.sleep(2)
        if self.sent == sent:
            self.problem("no requests were sent at the end")
        if self.served - served < 0.9 * (self.sent - sent):
            self.problem(f"{self.served - served} of {self.sent - sent} served at the end")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--keep", action="store_true")
    args = parser.parse_args()
    seed = args.seed if args.seed is not None else random.SystemRandom().randrange(1 << 30)
    print(f"seed {seed}, {args.seconds} s", flush=True)
    soak = Soak(seed, args.seconds)
    try:
        soak.run()
    finally:
        soak.cluster.close(args.keep or bool(soak.problems))
    print(f"seed {seed}: {soak.served} of {soak.sent} served, {len(soak.problems)} problems")
    return 1 if soak.problems else 0


if __name__ == "__main__":
    sys.exit(main())
