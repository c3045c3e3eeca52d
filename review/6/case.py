"""Two machines of the core lose their disks, and later two others: they are the seeds of each other."""
import json
import os
import re
import shutil
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness2 as h  # noqa: E402

DOWN_S = 3.0  # Of a machine that loses its disk.
LEADER_DOWN_S = 2.5  # So that another one is elected meanwhile.
LEADER_TRIES = 5
READ_BACK_S = 16.0  # recovery_s is 12 s.
ROUNDS = 5  # At most, in which the same two machines lose their disks.


def leader_of(d):
    """Returns the control machine whose metrics say that it leads."""
    for ip in d.controls:
        status, _, body = h.call((ip, 9464), "GET", "/metrics")
        if status == 200 and re.search(rb"^corianderlock_leader\{[^}]*\} 1$", body, re.M):
            return ip
    return None


def is_empty(ip):
    """Whether the control machine has held nothing since its start, by its metrics."""
    return b'corianderlock_log_behind_milliseconds{log_shard="0"} +Inf' in h.call((ip, 9464), "GET", "/metrics")[2]


def lose_disks(d, machines):
    for ip in machines:
        d.kill(ip)
    for ip in machines:
        d.wait_ended(ip)
        shutil.rmtree(os.path.join(d.folder, "data-" + ip))
        d.record.say(f"{ip} has lost its disk")
    time.sleep(DOWN_S)
    d.start(*machines)
    return time.monotonic()


def read(d, i):
    status, _, body = h.call(d.control_address(i), "GET", "/-/config", timeout=2)
    return json.loads(body)["version"] if status == 200 else None


def case(folder):
    d = h.Deployment(folder)
    try:
        d.seeds = d.controls[2:]
        d.start_all()
        route = {"name": "ledger", "host": h.HOST, "path_prefix": "/ledger/", "type": "safe", "timeout_ms": 2000,
                 "target_latency_ms": 800, "priority": 2, "service": "dugo", "max_attempts": 2}
        d.add_leafs("dugo", h.ZONES)
        d.put(h.configuration(1, [route], [h.service("dugo", 110)]))
        d.wait_ready()
        time.sleep(5)
        # Earlier in the day, processes that serve control were killed, one at a time, so that another one leads now.
        seeds, others = d.controls[2:], d.controls[:2]
        for _ in range(LEADER_TRIES):
            leader = leader_of(d)
            if leader in others:
                break
            if leader:
                d.kill(leader)
                d.wait_ended(leader)
                time.sleep(LEADER_DOWN_S)
                d.start(leader)
            time.sleep(d.bounds["catch_up_s"] + 0.2)
        if leader_of(d) not in others:
            raise h.CannotRun("a seed leads")
        d.record.say(f"{leader_of(d)} leads, the seeds are {', '.join(seeds)}")
        d.put(h.configuration(4, [route], [h.service("dugo", 110)]))
        version = 4
        for _ in range(ROUNDS):
            back = lose_disks(d, seeds[1:]) if h.TROUBLE else time.monotonic()
            # Each counts as lost until catch_up_s after it is back.
            time.sleep(back + d.bounds["catch_up_s"] + 1 - time.monotonic())
            version += 5
            acked = d.put(h.configuration(version, [route], [h.service("dugo", 110)]))
            d.record.say(f"version {version} was acknowledged at {acked - d.record.began:.3f}, "
                         f"{acked - back:.1f} s after they were back")
            if not h.TROUBLE or any(is_empty(ip) for ip in seeds[1:]):
                break
        if h.TROUBLE:
            lose_disks(d, others)
        began, versions = time.monotonic(), []
        while time.monotonic() < began + READ_BACK_S:
            versions.append(read(d, len(versions)))
            d.record.write(f"operator: reads version {versions[-1]}")
            if versions[-1] == version:
                break
            time.sleep(0.3)
        if d.ended_by_themselves():
            raise h.CannotRun("a process ended")
        d.record.say(f"read back in {time.monotonic() - began:.0f} s: {dict(h.count_by(str(it) for it in versions))}")
        # One that does not know which version is the newest may refuse; an older one may not be read.
        return version in versions and set(versions) <= {None, version}
    finally:
        d.close()


if __name__ == "__main__":
    sys.exit(h.run_case(case, FOLDER))
