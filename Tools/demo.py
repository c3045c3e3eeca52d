#!/usr/bin/env python3
"""Runs the processes for Tools/demo.sh. Exits 0 only if each step gives the expected result."""
import json
import os
import sys
import time

import loopback

RESOURCES = os.path.join(loopback.ROOT, "Tools", "demo", "foglalas.yaml")


def step(text):
    print(f"\n== {text}", flush=True)


def expect(condition, text):
    if not condition:
        raise RuntimeError("not as expected: " + text)


def wait_for_servers(cluster, count, seconds=15):
    until = time.time() + seconds
    for name in cluster.entries:
        while True:
            text = loopback.http(cluster.addresses[name], "GET", "/v1/backend-servers")[2]
            if text.count('"life":"alive"') >= count:
                break
            expect(time.time() < until, f"{name} knows {count} backend servers")
            time.sleep(0.1)


def query(cluster, allowed):
    done = cluster.cli("query", "free-slots", "household-00001")
    print(done.stdout + done.stderr, end="")
    expect(done.returncode in allowed, f"query ended with {done.returncode}")


def book(cluster):
    responses = []
    for name in cluster.entries:
        status, headers, text = loopback.http(cluster.addresses[name], "POST", "/v1/run/book", {"flock": "white"},
                                              {"X-Request-Id": "ceremony-17"})
        print(f"{name}: {status} {headers.get('X-Outcome')} {text}")
        responses.append((status, text))
    expect(responses[0][0] == 200 and len(set(responses)) == 1, "three equal responses")
    with open(f"{cluster.folder}/runs", encoding="utf-8") as lines:
        runs = lines.read().splitlines()
    print(f"the backend servers ran it {len(runs)} time(s)")
    expect(len(runs) == 1, "one run")


def run_demo(cluster):
    step("Start three control and three entry instances")
    cluster.start()
    print("ready: " + ", ".join(cluster.entries))
    step("Start backend servers: two replicas of each of four shards; they announce themselves")
    for replica in range(2):
        cluster.backend(f"leaf-{replica}", "--count", "4", "--replicas", "1", "--shards", "4", "--version", "7",
                        "--service-ms", "2", "--run-log", f"{cluster.folder}/runs", "--leave-ms", "500")
    wait_for_servers(cluster, 8)
    step("An operator applies resources and waits until they are in force")
    print(cluster.cli("apply", RESOURCES, "--wait", check=True).stdout, end="")
    step("A caller's query")
    query(cluster, {0})
    step("One replica of each shard is lost; the same query")
    cluster.backends["leaf-1"].kill()
    query(cluster, {0, 5})
    step("A booking, sent through each entry instance")
    book(cluster)
    step("The time line of that booking")
    print(cluster.cli("timeline", "--subject", "ceremony-17").stdout, end="")


def main():
    cluster = loopback.Cluster(sys.argv[1])
    failed = None
    try:
        run_demo(cluster)
    except RuntimeError as error:
        failed = error
    step("Stop all gracefully")
    codes = cluster.stop()
    print(json.dumps(codes))
    del codes["leaf-1"]
    if failed or any(codes.values()):
        print(f"demo failed: {failed or 'an exit code is not 0'}; logs are in {cluster.folder}")
        return 1
    print(f"demo done; logs are in {cluster.folder}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
