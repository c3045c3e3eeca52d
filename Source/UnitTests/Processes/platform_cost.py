#!/usr/bin/env python3
"""Measures the CPU time of real relay processes for lookups over 20 shards, and of all processes when idle.

Sends lookups at a fixed rate to the relays in turn and reads the CPU time of each process from /proc (10 ms ticks).
"""
import argparse
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from platform_cluster import HOST, PlatformCluster, call, configuration  # noqa: E402

TICK_MS = 1000 / os.sysconf("SC_CLK_TCK")
SHARDS = [f"s{i}" for i in range(20)]


def cpu_ms(process):
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * TICK_MS


def measure(cluster, seconds, work):
    before = {ip: cpu_ms(process) for ip, process in cluster.processes.items()}
    began = time.monotonic()
    done = work(seconds)
    took = time.monotonic() - began
    spent = {ip: cpu_ms(process) - before[ip] for ip, process in cluster.processes.items()}
    relays = sum(spent[ip] for ip in cluster.relays)
    controls = sum(spent[ip] for ip in cluster.controls)
    print(f"{done} lookups in {took:.1f} s: relays {relays:.0f} ms, control instances {controls:.0f} ms", flush=True)
    return done, took, relays, controls


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--rate", type=float, default=60, help="lookups a second over all relays")
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    cluster = PlatformCluster()
    served, lock = [0], threading.Lock()

    def send_lookup(number):
        relay = list(cluster.relays)[number % len(cluster.relays)]
        headers = {"Host": HOST, "X-Request-Id": f"c{number:06x}", "X-Deadline-Ms": "1500"}
        status, answer, _ = call(cluster.relay_address(relay), "GET", "/all/x", None, headers)
        if status == 200 and answer.get("X-Missing-Parts") == "0":
            with lock:
                served[0] += 1

    def lookups(seconds):
        threads, first = [], served[0]
        for number in range(int(seconds * options.rate)):
            threads.append(threading.Thread(target=send_lookup, args=(number,)))
            threads[-1].start()
            time.sleep(1 / options.rate)
        for thread in threads:
            thread.join()
        return served[0] - first

    def idle(seconds):
        time.sleep(seconds)
        return 0

    try:
        cluster.add_leafs(SHARDS + ["one", "book"], ["a", "b"])
        cluster.start_all()
        time.sleep(2)
        call(cluster.control_address(), "PUT", "/-/config", configuration(1, SHARDS, "one", "book"))
        time.sleep(3)
        _, _, idle_relays, _ = measure(cluster, options.seconds, idle)
        lookups(2)
        done, took, relays, _ = measure(cluster, options.seconds, lookups)
        if not done:
            print("no lookup was served whole")
            return 1
        per_lookup = (relays - idle_relays * took / options.seconds) / done
        print(f"{per_lookup:.2f} ms of the relays a lookup, {per_lookup / len(SHARDS) * 1000:.0f} us a sub-request; "
              f"{done} of {int(options.seconds * options.rate)} served whole")
    finally:
        cluster.close(False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
