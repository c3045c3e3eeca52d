"""A relay that gathers for another one freezes after it has sent to two servers of a shard; the other one sends again."""
import collections
import itertools
import os
import random
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness2 as h  # noqa: E402

SHARDS = [f"foglalas{i:02d}" for i in range(20)]
ELSEWHERE = 2  # Shards whose servers are in the other zone.
LEAFS_OF_SHARD = 3
MAX_ATTEMPTS = 2
WORK_MEAN_S, WORK_SPREAD = 0.12, 0.35
CALLS_PER_SECOND = 40
FREEZES, FROZEN_S, GAP_S = 12, 1.5, 4.0
ALLOWED = 3


def work(_):
    """Seconds of work: log-normal, as the site files have it."""
    return min(WORK_MEAN_S * random.lognormvariate(0, WORK_SPREAD), 5 * WORK_MEAN_S)


def case(folder):
    d = h.Deployment(folder, relay_zones=["kozep-a", "kozep-b"])
    stop, number, statuses = threading.Event(), itertools.count(1), []
    try:
        d.start_all()
        route = {"name": "search", "host": h.HOST, "path_prefix": "/search/", "type": "safe", "timeout_ms": 4000,
                 "target_latency_ms": 800, "priority": 1, "gather": SHARDS, "max_attempts": MAX_ATTEMPTS, "top_k": 20,
                 "min_coverage": 0.89}
        for i, shard in enumerate(SHARDS):
            d.add_leafs(shard, [h.ZONES[i < ELSEWHERE]] * LEAFS_OF_SHARD, work_s=work, slots=4)
        d.put(h.configuration(1, [route], [h.service(shard) for shard in SHARDS]))
        d.wait_ready()
        time.sleep(4)

        def one(relay):
            statuses.append(d.send(relay, "/search/x", f"q{next(number):05d}", time_left_ms=4000)[0])

        def load():
            began = time.monotonic()
            for i in itertools.count():
                time.sleep(max(0.0, began + i / CALLS_PER_SECOND - time.monotonic()))
                if stop.is_set():
                    return
                threading.Thread(target=one, args=(d.relays[1],), daemon=True).start()
        loader = threading.Thread(target=load)
        loader.start()
        time.sleep(5)
        for _ in range(FREEZES):
            if h.TROUBLE:
                d.kill(d.relays[0], signal.SIGSTOP)
            time.sleep(FROZEN_S)
            if h.TROUBLE:
                d.kill(d.relays[0], signal.SIGCONT)
            time.sleep(GAP_S)
        stop.set()
        loader.join()
        time.sleep(4)
        if d.ended_by_themselves():
            raise h.CannotRun("a process ended")
        ran_on = collections.defaultdict(set)
        for leaf in d.leafs:
            for _, request in leaf.runs():
                ran_on[request, leaf.service].add(leaf.id)
        over = sorted({request for (request, _), ids in ran_on.items() if len(ids) > MAX_ATTEMPTS})
        for request in over:
            d.record.write(f"{request} ran on " + ", ".join(
                f"{sorted(ids)} of {name}" for (it, name), ids in ran_on.items() if it == request and len(ids) > MAX_ATTEMPTS))
        twice = len({request for (request, _), ids in ran_on.items() if len(ids) == MAX_ATTEMPTS})
        d.record.say(f"{len(statuses)} requests, answered {dict(h.count_by(statuses))}; {twice} ran on two servers of a shard")
        d.record.say(f"BUDGET: {len(over)} requests ran on more than {MAX_ATTEMPTS} servers of a shard, allowed are {ALLOWED}")
        return len(over) <= ALLOWED
    finally:
        stop.set()
        d.close()


if __name__ == "__main__":
    sys.exit(h.run_case(case, FOLDER))
