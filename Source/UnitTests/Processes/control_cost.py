#!/usr/bin/env python3
"""Measures the cost of control: CPU time, bytes on the loopback interface, memory. Not part of CI.

The bytes sent by each process come from `ss` and are left out if it is not installed.
"""
import argparse
import json
import os
import re
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../../.."))
sys.path.insert(0, os.path.join(ROOT, "Tools"))
from loopback import Cluster, http  # noqa: E402
from control_settings import add_control_settings  # noqa: E402

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def pid(cluster, name):
    return cluster.processes[name].child.pid


def processor_seconds(process):
    with open(f"/proc/{process}/stat", encoding="utf-8") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def thread_seconds(process):
    """Returns CPU seconds by thread id."""
    found = {}
    for thread in os.listdir(f"/proc/{process}/task"):
        with open(f"/proc/{process}/task/{thread}/stat", encoding="utf-8") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        found[thread] = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    return found


def context_switches(process):
    """Returns the voluntary context switches of all threads, which is the number of wake-ups."""
    total = 0
    for thread in os.listdir(f"/proc/{process}/task"):
        with open(f"/proc/{process}/task/{thread}/status", encoding="utf-8") as status:
            total += int(re.search(r"^voluntary_ctxt_switches:\s+(\d+)", status.read(), re.M).group(1))
    return total


def io_counts(process):
    """Returns (read calls, write calls, bytes written) of the process, for files and sockets together."""
    with open(f"/proc/{process}/io", encoding="utf-8") as counts:
        values = dict(line.split(": ") for line in counts.read().splitlines())
    return int(values["syscr"]), int(values["syscw"]), int(values["wchar"])


def resident_kb(process):
    with open(f"/proc/{process}/status", encoding="utf-8") as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1))


def sent_bytes(process):
    """Returns the acknowledged bytes on the open TCP connections of a process, or None without `ss`."""
    if not shutil.which("ss"):
        return None
    text = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True, timeout=10, check=False).stdout
    total = 0
    for connection in re.split(r"\n(?=\S)", text):
        if f"pid={process}," in connection:
            total += sum(int(n) for n in re.findall(r"bytes_acked:(\d+)", connection))
    return total


def loopback_bytes():
    with open("/proc/net/dev", encoding="utf-8") as devices:
        line = next(line for line in devices if line.strip().startswith("lo:"))
    return int(line.split(":")[1].split()[8])


def sample(cluster):
    rows = {}
    for name in cluster.controls + cluster.entries:
        process = pid(cluster, name)
        rows[name] = (processor_seconds(process), context_switches(process), io_counts(process), sent_bytes(process),
                      thread_seconds(process))
    return time.monotonic(), rows


def print_idle(cluster, seconds):
    """Prints the cost of each process over an idle interval, and the average of each role."""
    began, first = sample(cluster)
    time.sleep(seconds)
    ended, last = sample(cluster)
    span = ended - began
    leader = cluster.leader()
    for role, names in (("control", cluster.controls), ("entry", cluster.entries)):
        shares = []
        for name in names:
            a, b = first[name], last[name]
            share = 100 * (b[0] - a[0]) / span
            shares.append(share)
            if role == "entry" and name != names[0]:
                continue
            sent = "not measured" if a[3] is None else f"{(b[3] - a[3]) / span:.0f} bytes/s"
            threads = sorted((100 * (t - a[4].get(k, 0)) / span for k, t in b[4].items()), reverse=True)[:6]
            print(f"  {name}{' (leads)' if name == leader else ''}: {share:.2f} % of a core, wakes "
                  f"{(b[1] - a[1]) / span:.0f}/s, reads {(b[2][0] - a[2][0]) / span:.0f}/s, writes "
                  f"{(b[2][1] - a[2][1]) / span:.0f}/s, written {(b[2][2] - a[2][2]) / span:.0f} bytes/s, TCP sent "
                  f"{sent}, busiest threads {[round(t, 2) for t in threads]} %, RSS "
                  f"{resident_kb(pid(cluster, name))} KB")
        print(f"  {role} on average: {sum(shares) / len(shares):.2f} % of a core")


def measure_settings(seconds):
    """Prints how the idle cost depends on the number of log shards, on heartbeats and on lease renewals."""
    for settings in ([], ["claim_shards: 1"], ["heartbeat_ms: 200"], ["claim_shards: 1", "heartbeat_ms: 200"],
                     ["renewal_ms: 2000"]):
        folder = tempfile.mkdtemp(prefix="control-cost-")
        cluster = Cluster(folder)
        add_control_settings(cluster, settings)
        try:
            cluster.start()
            time.sleep(3)
            print(f"{settings or 'defaults'}, {seconds} s idle:", flush=True)
            print_idle(cluster, seconds)
        finally:
            cluster.stop()
            shutil.rmtree(folder)


def measure_entry_counts(counts, seconds):
    for count in counts:
        folder = tempfile.mkdtemp(prefix="control-cost-")
        cluster = Cluster(folder, 3, count)
        try:
            cluster.start()
            time.sleep(3)
            print(f"{count} entry instances, {seconds} s idle:", flush=True)
            print_idle(cluster, seconds)
        finally:
            cluster.stop()
            shutil.rmtree(folder)


def put_group(address, name, number, version):
    body = {"change_id": f"cost-{name}-{number}", "made_from": version,
            "resource": {"kind": "backend-group", "name": name, "slots": 2, "connection_limit": 1 + number % 1000}}
    status, _, text = http(address, "PUT", f"/v1/resources/backend-group/{name}", body)
    if status != 200:
        raise RuntimeError(f"{name} was answered {status}: {text}")
    return json.loads(text)["revision"]


def add_groups(cluster, begin, end, workers=16):
    addresses = [cluster.addresses[n] for n in cluster.entries]
    with ThreadPoolExecutor(workers) as pool:
        list(pool.map(lambda i: put_group(addresses[i % 3], f"group-{i}", i, 0), range(begin, end)))


def measure_changes(steps):
    folder = tempfile.mkdtemp(prefix="control-cost-")
    cluster = Cluster(folder, 3, 3)
    try:
        cluster.start()
        leader = cluster.leader()
        print(f"no resources: leader RSS {resident_kb(pid(cluster, leader))} KB", flush=True)
        at = 0
        for step in steps:
            instances = cluster.controls + cluster.entries
            before = {n: processor_seconds(pid(cluster, n)) for n in instances}
            lo, written, began = loopback_bytes(), io_counts(pid(cluster, leader))[2], time.monotonic()
            add_groups(cluster, at, step)
            took, made = time.monotonic() - began, step - at
            spent = {n: processor_seconds(pid(cluster, n)) - before[n] for n in instances}
            print(f"{step} resources: {made / took:.0f} changes/s from 16 clients; a change: "
                  f"{(loopback_bytes() - lo) / made:.0f} bytes on the whole loopback (other programs too), "
                  f"{(io_counts(pid(cluster, leader))[2] - written) / made:.0f} bytes written by the leader, "
                  f"{1000 * spent[leader] / made:.2f} ms of the leader, {1000 * sum(spent.values()) / made:.2f} ms of "
                  f"all; RSS leader {resident_kb(pid(cluster, leader))} KB, entry-1 "
                  f"{resident_kb(pid(cluster, 'entry-1'))} KB", flush=True)
            at = step
    finally:
        cluster.stop()
        shutil.rmtree(folder)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--entries", type=int, nargs="*", default=[3, 10, 30])
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--resources", type=int, nargs="*", default=[100, 1000, 5000])
    parser.add_argument("--attribute", action="store_true", help="only vary the settings that affect the idle cost")
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, load {os.getloadavg()}")
    if options.attribute:
        measure_settings(options.seconds)
        return
    measure_changes(options.resources)
    measure_entry_counts(options.entries, options.seconds)


if __name__ == "__main__":
    main()
