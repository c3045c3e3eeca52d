"""A leaf's DELETE is acknowledged, and all processes of the core are killed at that moment and started again."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness3 import BOUNDS, BROKEN, HELD, NOT_RUN, call, client_headers, configuration, main, route, service  # noqa: E402

DRAIN_S = BOUNDS["drain_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000
BACK_S = 0.5  # All are back within a second.
WATCH_S = 12.0
LEAFS = 8  # One of them leaves: scale_in takes a share of .13.
SENDERS = 4  # Of each front machine.


def case(make, record, isTroubled):
    deployment = make(fronts=3, cores=5)
    deployment.start_all()
    leafs = [deployment.add_leaf("kafi81c", work_s=0.04) for _ in range(LEAFS)]
    for leaf in leafs:
        leaf.start()
    if not deployment.put_configuration(configuration(7, [route("r-1", "/timi402/", "kafi81c")], [service("kafi81c")])):
        return record.result(NOT_RUN, "the configuration was not acknowledged")
    if not deployment.wait_served("/timi402/x"):
        return record.result(NOT_RUN, "requests are not served")
    stop, sent = threading.Event(), {}

    def send(front, sender):
        n = 0
        while not stop.wait(0.01):
            n += 1
            name = f"q{front}-{sender}-{n}"
            sent[name] = time.monotonic()
            status = call(deployment.front(front), "GET", "/timi402/x", headers=client_headers(name), timeout=3)[0]
            if status != 200:
                record.line(f"client: {name} at front {front}: status {status}")

    threads = [threading.Thread(target=send, args=(i, j)) for i in range(3) for j in range(SENDERS)]
    for thread in threads:
        thread.start()
    time.sleep(6)  # In touch, and every machine knows every leaf.
    leaf = leafs[0]
    status = leaf.leave(deployment.control(0))
    acknowledged = time.monotonic()
    record.line(f"leaf {leaf.id}: DELETE answered {status}", acknowledged)
    started = acknowledged
    if isTroubled:
        for ip in deployment.cores:
            deployment.processes[ip].kill()
        record.line(f"platform: all {len(deployment.cores)} processes of the core killed")
        for ip in deployment.cores:
            deployment.processes[ip].wait()
        time.sleep(BACK_S)
        for ip in deployment.cores:
            deployment.start(ip)
        started = time.monotonic()
        record.line(f"platform: all started again, {started - acknowledged:.3f} s after the acknowledgement", started)
        while any(call(deployment.control(i), "GET", "/-/config", timeout=0.5)[0] != 200 for i in range(5)):
            time.sleep(0.02)
        record.line("operator: each daemon of the core answers with the configuration")
    time.sleep(max(0.0, acknowledged + WATCH_S - time.monotonic()))
    stop.set()
    for thread in threads:
        thread.join()
    if status != 200:
        return record.result(NOT_RUN, "the DELETE was not acknowledged")
    # Requests that were taken, sent on and received by machines in touch, after the drain time.
    begin = max(acknowledged + DRAIN_S, started + CONTACT_S)
    with leaf.lock:
        rows = list(leaf.log)
    late = [row for row in rows if row["arrived"] > begin and sent.get(row["id"], 0) > begin]
    for row in rows:
        if row["arrived"] > acknowledged + DRAIN_S:
            record.line(f"leaf {leaf.id}: {row['id']} arrived {row['arrived'] - acknowledged:.3f} s after the acknowledgement"
                        f"{', sent on in touch' if row in late else ''}", row["arrived"])
    for begin_s in range(-3, 14):
        record.line(f"leaf {leaf.id}: {sum(begin_s <= row['arrived'] - acknowledged < begin_s + 1 for row in rows)} requests arrived"
                    f" {begin_s} to {begin_s + 1} s after the acknowledgement")
    served = sum(len(other.log) for other in leafs)
    record.line(f"{len(sent)} requests sent, {served} arrived at leafs, {len(late)} late at the leaf that had left")
    if late:
        return record.result(BROKEN, f"{len(late)} requests reached a leaf {late[0]['arrived'] - acknowledged:.2f} to "
                             f"{late[-1]['arrived'] - acknowledged:.2f} s after its leave was acknowledged")
    return record.result(HELD, "no request reached the leaf after its drain time, from machines in touch")


if __name__ == "__main__":
    main(case, FOLDER)
