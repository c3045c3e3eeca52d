#!/usr/bin/env python3
"""Checks lookups through real processes: lost replicas, an index version change, refusals, quarantine, a drain."""
import json
import os
import re
import signal
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "..", "Tools"))
import loopback  # noqa: E402

KEY_SPACE = 2 ** 32
SHARDS = 4
KEYS = 400
CRASHING_QUERY = "boom"
QUARANTINE_TIMEOUT = 5.0  # Seconds.
RESEND_PAUSE = 0.6  # Seconds between resends of a caller; gossip takes 0.2 s to reach the other instances.
FLEET_KEYS = ("--keys", str(KEYS), "--service-ms", "2", "--queue", "8", "--announce-ms", "300")


def index_version(group, version, count):
    shards = "\n".join(f"  - {{id: {s}, begin: {KEY_SPACE * s // count}, end: {KEY_SPACE * (s + 1) // count}}}"
                       for s in range(count))
    return f"kind: index-version\ngroup: {group}\nversion: {version}\nshards:\n{shards}\n"


def route(name, group, version):
    return f"kind: query-route\nname: {name}\ngroup: {group}\nversion: {version}\ndeadline_ms: 1500\n"


def group_resource(name):
    return f"kind: backend-group\nname: {name}\nslots: 2\nconnection_limit: 25\nconnect_time_ms: 6\n"


class LookupsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory(prefix="lookups-test-")
        cls.addClassCleanup(cls.folder.cleanup)
        cls.cluster = loopback.Cluster(cls.folder.name, settle_ms=300)
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.start()
        for replica in range(3):
            cls.cluster.backend(f"leaf-{replica}", "--count", str(SHARDS), "--replicas", "1", "--shards", str(SHARDS),
                                "--version", "7", "--version", "8", "--leave-ms", "4500", *FLEET_KEYS,
                                domain=cls.cluster.domains[replica])
        for i in range(4):
            cls.cluster.backend(f"fragile-{i}", "--version", "1", "--shards", "1", "--crash-on", CRASHING_QUERY,
                                *FLEET_KEYS, group="szamla", domain=cls.cluster.domains[i % 3])
        cls.apply(group_resource("foglalas"), index_version("foglalas", 7, SHARDS),
                  index_version("foglalas", 8, SHARDS), route("lookup", "foglalas", 7),
                  group_resource("szamla"), index_version("szamla", 1, 1), route("invoices", "szamla", 1))
        for entry in cls.cluster.entries:
            for name in ("lookup", "invoices"):
                cls.wait_complete(entry, name)

    @classmethod
    def apply(cls, *resources):
        path = f"{cls.cluster.folder}/resources.yaml"
        with open(path, "w", encoding="utf-8") as file:
            file.write("---\n".join(resources))
        cls.cluster.cli("apply", path, "--wait", check=True)

    @classmethod
    def query(cls, entry, name, text="household", **headers):
        status, _, body = loopback.http(cls.cluster.addresses[entry], "POST", f"/v1/query/{name}", {"q": text}, headers)
        return status, json.loads(body) if status else {"error": {"reason": "no-answer", "message": body}}

    @classmethod
    def wait_complete(cls, entry, name, seconds=10):
        until = time.time() + seconds
        while True:
            status, answer = cls.query(entry, name)
            if status == 200 and answer["complete"]:
                return
            if time.time() > until:
                raise AssertionError(f"{entry} {name}: status {status}, {json.dumps(answer)[:500]}")
            time.sleep(0.05)

    def expect_complete(self, entry, response=None):
        status, answer = response or self.query(entry, "lookup")
        self.assertEqual(status, 200, answer)
        self.assertTrue(answer["complete"], answer["missing"])
        self.assertEqual(answer["coverage"], 1)
        self.assertEqual(answer["missing"], [])
        keys = [item["key"] for item in answer["results"]]
        self.assertEqual(len(keys), KEYS)
        self.assertEqual(len(set(keys)), KEYS)
        ending = f", v{answer['snapshot']['index_version']}"
        others = [item for item in answer["results"] if not item["value"].endswith(ending)]
        self.assertEqual(others, [])
        return answer

    def expect_refusal(self, expected_status, reason, method, path, body):
        for entry in self.cluster.entries:
            status, _, text = loopback.http(self.cluster.addresses[entry], method, path, body)
            self.assertEqual(status, expected_status, text)
            self.assertEqual(json.loads(text)["error"]["reason"], reason)

    def during(self, action):
        """Queries all entry instances while the action runs; returns (entry, response) pairs."""
        answers, stop = [], threading.Event()

        def send_queries(entry):
            while not stop.is_set():
                answers.append((entry, self.query(entry, "lookup")))
                time.sleep(0.02)

        threads = [threading.Thread(target=send_queries, args=(entry,)) for entry in self.cluster.entries]
        for thread in threads:
            thread.start()
        try:
            action()
        finally:
            stop.set()
            for thread in threads:
                thread.join()
        return answers

    def test_1_answers_are_complete(self):
        for entry in self.cluster.entries:
            self.expect_complete(entry)

    def test_2_refusals_carry_reason_codes(self):
        self.expect_refusal(404, "not-found", "POST", "/v1/query/nowhere", {"q": "a"})
        self.expect_refusal(413, "invalid-input", "POST", "/v1/query/lookup", b'{"q": "' + b"a" * (2 << 20) + b'"}')
        self.expect_refusal(400, "invalid-input", "POST", "/v1/query/lookup", b"{no json")

    def test_2_the_load_command_reports_whether_all_was_answered(self):
        options = ("--rate", "50", "--duration-ms", "1000", "--seed", "3", "--output", "json")
        done = self.cluster.cli("load", "lookup", *options)
        report = json.loads(done.stdout)
        self.assertEqual(done.returncode, 0, done.stdout)
        self.assertGreater(report["sent"], 0)
        self.assertEqual(report["done"], report["scheduled"])
        self.assertEqual(report["complete_share"], 1)
        self.assertEqual(self.cluster.cli("load", "nowhere", *options).returncode, 5)

    def test_3_a_version_changes_under_load(self):
        def change():
            time.sleep(0.3)
            self.apply(route("lookup", "foglalas", 8))
            time.sleep(0.3)

        answers = self.during(change)
        versions = {self.expect_complete(entry, answer)["snapshot"]["index_version"] for entry, answer in answers}
        self.assertEqual(versions, {7, 8})
        for entry in self.cluster.entries:
            self.assertEqual(self.expect_complete(entry)["snapshot"]["index_version"], 8)

    def test_4_a_lost_replica_of_each_shard(self):
        self.cluster.backends["leaf-0"].kill()
        for _ in range(5):
            for entry in self.cluster.entries:
                self.expect_complete(entry)

    def test_5_a_leaving_server_gets_no_new_work(self):
        leaving = self.cluster.backends["leaf-1"]

        def leave():
            time.sleep(0.2)
            leaving.signal(signal.SIGTERM)
            self.assertEqual(leaving.wait(20), 0)

        answers = self.during(leave)
        with open(leaving.log, encoding="utf-8") as file:
            total = re.search(r"^total .*late-after-leaving=(\d+)", file.read(), re.M)
        self.assertIsNotNone(total)
        self.assertEqual(int(total.group(1)), 0)
        for entry, answer in answers:
            self.expect_complete(entry, answer)

    def test_6_a_crashing_request_is_quarantined(self):
        fleet = [p for name, p in self.cluster.backends.items() if name.startswith("fragile")]
        refused = set()
        sent_at = time.time()
        first_loss = None
        while len(refused) < len(self.cluster.entries) and time.time() < sent_at + 20:
            for entry in self.cluster.entries:
                time.sleep(RESEND_PAUSE)
                alive = sum(p.alive() for p in fleet)
                status, answer = self.query(entry, "invoices", CRASHING_QUERY)
                self.assertNotEqual(status, 200, answer)
                if sum(p.alive() for p in fleet) < alive:
                    self.assertNotEqual(answer["error"]["ran"], "not-run", answer)
                if answer["error"]["reason"] == "quarantined":
                    refused.add(entry)
            if first_loss is None and sum(not p.alive() for p in fleet) >= 2:
                first_loss = time.time()
        self.assertEqual(refused, set(self.cluster.entries))
        self.assertLessEqual(sum(not p.alive() for p in fleet), 2)
        self.assertLess(time.time() - (first_loss or sent_at), QUARANTINE_TIMEOUT)
        for entry in self.cluster.entries:
            self.wait_complete(entry, "invoices")


if __name__ == "__main__":
    unittest.main(verbosity=2)
