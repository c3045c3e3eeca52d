#!/usr/bin/env python3
"""Measures the latency and throughput cost of a claim against bookings sent directly to a backend server.

Use: bookings_latency.py [--bookings N]. Prints p50 and p99 in milliseconds and bookings per second for several levels
of concurrency: concurrent claims share a group commit. Checks nothing; the figures go into CAPACITY.md.
"""
import argparse
import concurrent.futures
import http.client
import shutil
import sys
import tempfile
import threading
import time

import bookings_common as common
from bookings_common import loopback

CONCURRENCY_LEVELS = (1, 2, 4, 8)  # Within the slots and connections of the backend servers, to avoid queueing there.


class Sender:
    """Keeps one connection alive per thread, to exclude the connect time of the client from the figures."""

    def __init__(self, address, path):
        self.address, self.path = address, path
        self.local = threading.local()

    def send(self, request_id):
        if not hasattr(self.local, "connection"):
            host, port = self.address.split(":")
            self.local.connection = http.client.HTTPConnection(host, int(port), timeout=10)
        begun = time.perf_counter()
        headers = {"X-Request-Id": request_id, "X-First-Send": "1", "Content-Type": "application/json"}
        try:
            self.local.connection.request("POST", self.path, common.body_of(request_id), headers)
            answer = self.local.connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException):
            del self.local.connection
            return 0.0, 0
        return 1000 * (time.perf_counter() - begun), answer.status


def measure(label, sender, count, concurrency):
    begun = time.perf_counter()
    with concurrent.futures.ThreadPoolExecutor(concurrency) as pool:
        results = list(pool.map(sender.send, [f"{label}-{concurrency}-{i}" for i in range(count)]))
    took = time.perf_counter() - begun
    times = sorted(ms for ms, status in results if status == 200)
    failed = len(results) - len(times)
    if not times:
        print(f"{label}, {concurrency} at once: all of {count} failed")
        return
    p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
    print(f"{label}, {concurrency} at once: p50 {p50:.2f} ms, p99 {p99:.2f} ms, {len(times) / took:.0f} a second, "
          f"{failed} of {count} failed")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bookings", type=int, default=400)
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="bookings-latency-")
    started = common.BookingCluster(folder, entries=1, backends=4, options=("--run-ms", "0", "--queue", "64"))
    cluster = started.cluster
    try:
        servers = loopback.http(cluster.addresses[cluster.entries[0]], "GET", "/v1/backend-servers")[2]
        plain = servers.split('"address":"')[1].split('"')[0]
        for concurrency in CONCURRENCY_LEVELS:
            measure("plain", Sender(plain, "/v1/run"), options.bookings, concurrency)
            measure("claimed", Sender(cluster.addresses[cluster.entries[0]], "/v1/run/book"), options.bookings,
                    concurrency)
    finally:
        cluster.stop()
        shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
