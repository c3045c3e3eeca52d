#!/usr/bin/env python3
"""Measures lookups through real processes with and without hedging. Not part of CI.

3 control and 3 entry instances; 20 shards with 2 replicas of 2 slots in 3 failure domains. One stand-in process
runs the first replica of each shard and another the second, so a kill takes down one replica of each shard.
"""
import argparse
import json
import os
import re
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "..", "Tools"))
import loopback  # noqa: E402

SHARDS = 20
VERSION = 7
SERVICE_MS = 4
WARM_UP_MS = 4000
TEXTS = 200  # Distinct queries: one that is in flight on two lost servers is quarantined.
KEY_SPACE = 2 ** 32


def shard_list(count):
    """Returns the key ranges of the stand-in's shards, see docs/BACKEND-PROTOCOL.md."""
    return "\n".join(f"  - {{id: {s}, begin: {KEY_SPACE * s // count}, end: {KEY_SPACE * (s + 1) // count}}}"
                     for s in range(count))


RESOURCES = f"""kind: backend-group
name: foglalas
slots: 2
connection_limit: 25
connect_time_ms: 6
---
kind: index-version
group: foglalas
version: {VERSION}
shards:
{shard_list(SHARDS)}
---
kind: query-route
name: lookup
group: foglalas
version: {VERSION}
deadline_ms: 1000
"""


class Benchmark:
    def __init__(self, folder, hedging):
        self.cluster = loopback.Cluster(folder, settle_ms=300)
        if not hedging:
            for name in self.cluster.entries:
                path = f"{self.cluster.folder}/{name}.yaml"
                with open(path, encoding="utf-8") as file:
                    text = file.read()
                with open(path, "w", encoding="utf-8") as file:
                    file.write(text.replace("entry: {", "entry: {hedging: false, "))

    def start(self):
        self.cluster.start()
        for replica, domain in enumerate(("kozep-a", "kozep-b")):
            # Each replica has its own failure domains, so the replicas of a shard are in different ones.
            self.cluster.backend(f"leaf-{replica}", "--count", str(SHARDS), "--replicas", "1", "--shards", str(SHARDS),
                                 "--version", str(VERSION), "--service-ms", str(SERVICE_MS), "--queue", "8",
                                 "--domain", domain, "--domain", "kozep-c", domain=domain)
        path = f"{self.cluster.folder}/resources.yaml"
        with open(path, "w", encoding="utf-8") as file:
            file.write(RESOURCES)
        self.cluster.cli("apply", path, "--wait", check=True)
        until = time.time() + 20
        while time.time() < until:
            answer = self.cluster.cli("query", "lookup", "household-000001", "--output", "json")
            if answer.returncode == 0:
                return
            time.sleep(0.2)
        raise RuntimeError("no complete answer after 20 s: " + answer.stdout + answer.stderr)

    def fault(self, **fields):
        """Injects faults into each stand-in server, at the addresses that its log lists."""
        for process in self.cluster.backends.values():
            if not process.alive():
                continue
            with open(process.log, encoding="utf-8") as file:
                addresses = set(re.findall(r"127\.0\.0\.1:\d+", file.read()))
            for address in addresses:
                status = loopback.http(address, "POST", "/admin/fault", fields)[0]
                if status != 200:
                    raise RuntimeError(f"fault at {address}: status {status}")

    def counters(self):
        sums = {}
        for name in self.cluster.entries:
            text = loopback.http(self.cluster.addresses[name], "GET", "/metrics")[2]
            for line in text.splitlines():
                for key in ("first_sends", "retries", "hedges"):
                    if line.startswith(f"corianderlock_{key}_total"):
                        sums[key] = sums.get(key, 0) + float(line.split()[-1])
        return sums

    def cpu_seconds(self):
        ticks = 0
        for process in list(self.cluster.backends.values()):
            if process.alive():
                with open(f"/proc/{process.child.pid}/stat", encoding="utf-8") as file:
                    ticks += sum(int(n) for n in file.read().rsplit(")", 1)[1].split()[11:13])
        return ticks / os.sysconf("SC_CLK_TCK")

    def load(self, label, rate, duration_ms, seed, pause=0.0):
        before, cpu = self.counters(), self.cpu_seconds()
        texts = [part for i in range(TEXTS) for part in ("--q", f"household-{i:06}")]
        done = self.cluster.cli("load", "lookup", "--rate", str(rate), "--duration-ms", str(duration_ms), "--seed",
                                str(seed), *texts, "--output", "json")
        after = self.counters()
        report = json.loads(done.stdout)
        sends = after.get("first_sends", 0) - before.get("first_sends", 0)
        extra_sends = sum(after.get(k, 0) - before.get(k, 0) for k in ("retries", "hedges"))
        latency = report["latency"]
        print(f"{label:24} rate {rate:6.0f}/s sent {report['sent']:6} done {report['done']:6} "
              f"p50 {latency['p50_ms']:7.1f} p99 {latency['p99_ms']:7.1f} p999 {latency['p999_ms']:7.1f} ms "
              f"extra {extra_sends / max(1, sends):.4f} (r {after.get('retries', 0) - before.get('retries', 0):.0f}) "
              f"coverage {report['coverage_mean']:.6f} complete {report['complete_share']:.6f} "
              f"goodput {report['goodput_per_second']:6.1f}/s late send {report['latest_send_ms']:.0f} ms "
              f"stand-in cpu {(self.cpu_seconds() - cpu) * 1000 / duration_ms:.2f} cores {report['by_reason']}",
              flush=True)
        time.sleep(pause)
        return report


def run(options, hedging):
    name = "hedging" if hedging else "naive"
    with tempfile.TemporaryDirectory(prefix="lookups-") as folder:
        benchmark = Benchmark(folder, hedging)
        try:
            benchmark.start()
            benchmark.load(f"{name} warm-up", options.rate, WARM_UP_MS, options.seed)
            benchmark.load(f"{name} calm", options.rate, options.duration_ms, options.seed + 1)
            benchmark.fault(slow_fraction=0.01, slow_factor=50)
            benchmark.load(f"{name} stragglers", options.rate, options.duration_ms, options.seed + 2)
            benchmark.fault(slow_fraction=0.0, slow_factor=1, delay_ms=options.slow_ms)
            benchmark.load(f"{name} all slow, 0.9 of all", options.overload * 0.45, options.duration_ms,
                           options.seed + 7)
            benchmark.load(f"{name} all slow, overload", options.overload, options.duration_ms, options.seed + 3, 2)
            benchmark.fault(slow_fraction=0.01, slow_factor=50, delay_ms=0)
            benchmark.load(f"{name} recovery", options.rate, options.duration_ms, options.seed + 4)
            benchmark.cluster.backends["leaf-0"].kill()
            benchmark.load(f"{name} at the loss", options.rate, options.duration_ms, options.seed + 5)
            benchmark.load(f"{name} replicas lost", options.rate, options.duration_ms, options.seed + 6)
        finally:
            benchmark.cluster.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=40)
    parser.add_argument("--overload", type=float, default=180)
    parser.add_argument("--slow-ms", type=float, default=40)
    parser.add_argument("--duration-ms", type=int, default=10000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", choices=("hedging", "naive"))
    options = parser.parse_args()
    print(f"machine: {os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}; {vars(options)}", flush=True)
    for hedging in (True, False):
        if options.only in (None, "hedging" if hedging else "naive"):
            run(options, hedging)
    print(f"machine: load {os.getloadavg()[0]:.1f} at the end")


if __name__ == "__main__":
    main()
