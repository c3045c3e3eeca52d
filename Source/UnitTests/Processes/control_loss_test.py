#!/usr/bin/env python3
"""Checks entry instances that were suspended or lost control, and a restart of control after many changes.

An entry instance must not serve an outdated configuration after a suspension or past the end of its lease.
"""
import argparse
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../../.."))
sys.path.insert(0, os.path.join(ROOT, "Tools"))
from loopback import Cluster, http  # noqa: E402
from control_settings import add_control_settings  # noqa: E402

GROUP, ROUTE = "foglalas", "free-slots"
KEY_SPACE = 1 << 32
FREEZE_SECONDS = 6
LEASE_SECONDS = 4.0
QUERY = {"q": "2026-05-02", "deadline_ms": 1000}
PROBLEMS = []


def expect(condition, text):
    if not condition:
        PROBLEMS.append(text)
        print("PROBLEM:", text, flush=True)


def put(address, kind, name, resource, made_from=0, change_id=None):
    body = {"change_id": change_id or f"{kind}-{name}-{made_from}".replace("@", ":"), "made_from": made_from,
            "resource": dict(resource, kind=kind)}
    status, _, text = http(address, "PUT", f"/v1/resources/{kind}/{name}", body)
    if status != 200:
        raise RuntimeError(f"PUT {kind} {name} was answered {status}: {text}")
    return json.loads(text)["revision"]


def route(version):
    return {"name": ROUTE, "group": GROUP, "version": version, "deadline_ms": 1000}


def index(version):
    return {"group": GROUP, "version": version, "shards": [{"id": 0, "begin": 0, "end": KEY_SPACE}]}


def version_of(text):
    return json.loads(text)["snapshot"]["index_version"]


def query(address, timeout=3):
    status, _, text = http(address, "POST", f"/v1/query/{ROUTE}", QUERY, timeout=timeout)
    return status, text


def wait_for(what, seconds, check):
    """Returns the seconds until check() holds, or None after a timeout."""
    began = time.monotonic()
    while time.monotonic() < began + seconds:
        if check():
            return time.monotonic() - began
        time.sleep(0.02)
    expect(False, f"{what}: not after {seconds} s")
    return None


def check_frozen_entry(cluster):
    """After SIGCONT an entry instance uses the new configuration or refuses, and recovers without help."""
    address = cluster.addresses["entry-1"]
    process = cluster.processes["entry-1"]
    before = query(address)
    expect(before[0] == 200 and version_of(before[1]) == 7, f"before the freeze: {before}")
    listed = json.loads(http(cluster.addresses["entry-2"], "GET", f"/v1/resources/query-route/{ROUTE}")[2])
    process.signal(signal.SIGSTOP)
    put(cluster.addresses["entry-2"], "query-route", ROUTE, route(8), listed["resources"][0]["version"])
    time.sleep(FREEZE_SECONDS)
    with ThreadPoolExecutor(8) as pool:
        # Sent before SIGCONT, to be the first requests that the resumed instance reads.
        queued = [pool.submit(query, address, 5) for _ in range(4)]
        time.sleep(0.2)
        process.signal(signal.SIGCONT)
        answers = [e.result() for e in queued] + [query(address) for _ in range(20)]
    refused = [a for a in answers if a[0] == 503]
    for status, text in answers:
        fresh = status == 200 and version_of(text) == 8
        not_run = status == 503 and json.loads(text)["error"]["ran"] == "not-run"
        expect(fresh or not_run, f"after the freeze: {status} {text[:300]}")
    took = wait_for("the frozen instance serves", 10, lambda: query(address)[0] == 200)
    print(f"frozen entry instance: {len(refused)} of {len(answers)} refused, first {answers[0][1][:150]}; "
          f"serves again after {took} s", flush=True)


def check_control_loss(cluster):
    """Without control, entry instances refuse new requests before the lease ends, and accept them after recovery."""
    addresses = [cluster.addresses[n] for n in cluster.entries]
    began = time.monotonic()
    for name in cluster.controls:
        cluster.processes[name].kill()
    for address in addresses:
        wait_for("refuses without control", 10, lambda a=address: query(a)[0] == 503)
        took = time.monotonic() - began
        expect(took < LEASE_SECONDS + 0.2, f"{address} still accepted requests {took:.2f} s after control was lost")
        print(f"control lost: refuses after {took:.2f} s, {query(address)[1][:150]}", flush=True)
    began = time.monotonic()
    for name in cluster.controls:
        cluster.run(name)
    for address in addresses:
        wait_for("serves when control is back", 15, lambda a=address: query(a)[0] == 200)
        print(f"control back: serves after {time.monotonic() - began:.2f} s", flush=True)


def apply_changes(cluster, count):
    """Changes eight resources concurrently; returns changes per second."""
    addresses = [cluster.addresses[n] for n in cluster.entries]
    began = time.monotonic()

    def chain(number):
        version = 0
        for i in range(count // 8):
            group = {"name": f"group-{number}", "slots": 1 + i % 9, "connection_limit": 1 + i}
            version = put(addresses[number % 3], "backend-group", group["name"], group, version,
                          f"many-{number}-{i}")
    with ThreadPoolExecutor(8) as pool:
        list(pool.map(chain, range(8)))
    return count / (time.monotonic() - began)


def list_groups(cluster):
    text = http(cluster.addresses["entry-1"], "GET", "/v1/resources/backend-group")[2]
    return json.loads(text)


def check_control_restart(cluster, count):
    """Control recovers the same configuration when it restarts after many changes."""
    rate = apply_changes(cluster, count)
    before = list_groups(cluster)
    sizes = {n: sum(os.path.getsize(os.path.join(d, f)) for d, _, files in os.walk(f"{cluster.folder}/{n}")
                    for f in files) for n in cluster.controls}
    for name in cluster.controls:
        cluster.processes[name].kill()
    began = time.monotonic()
    for name in cluster.controls:
        cluster.run(name)
    took = wait_for("control answers", 30,
                    lambda: http(cluster.addresses["entry-1"], "GET", "/v1/status", timeout=6)[0] == 200)
    expect(list_groups(cluster) == before, "the configuration differs after the restart")
    serves = wait_for("queries are served", 15, lambda: query(cluster.addresses["entry-1"])[0] == 200)
    print(f"restart after {count} changes ({rate:.0f} a second, data folders {sizes} bytes): control answers after "
          f"{took} s, queries are served {time.monotonic() - began:.2f} s after the start ({serves})", flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--changes", type=int, default=3000)
    parser.add_argument("--snapshot-every", type=int, default=500)
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="control-loss-")
    cluster = Cluster(folder)
    add_control_settings(cluster, [f"snapshot_every: {options.snapshot_every}"])
    try:
        cluster.start()
        first = cluster.addresses["entry-1"]
        put(first, "backend-group", GROUP, {"name": GROUP, "slots": 2, "connection_limit": 25, "connect_time_ms": 6})
        for version in (7, 8):
            put(first, "index-version", f"{GROUP}@{version}", index(version))
        put(first, "query-route", ROUTE, route(7))
        cluster.backend("server-1", "--version", "7", "--version", "8", "--shards", "1", domain="kozep-a")
        wait_for("queries are served", 15, lambda: query(first)[0] == 200)
        check_frozen_entry(cluster)
        check_control_loss(cluster)
        check_control_restart(cluster, options.changes)
    finally:
        codes = cluster.stop()
    for name, code in codes.items():
        expect(code == 0, f"{name} ended with {code}")
    if PROBLEMS:
        print("logs:", folder)
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
