"""A front machine gets SIGTERM while requests wait in the queue of a busy leaf; each should get a complete answer."""
import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness3 import (BOUNDS, BROKEN, HELD, NOT_RUN, HOST, configuration, main, read_response, route,  # noqa: E402
                      service)

GRACE_S = BOUNDS["grace_s"]
SLACK_S = BOUNDS["loss_slack_ms"] / 1000
WORK_S = 2.5
REQUESTS = 8
DEADLINE_MS = 18000  # All could be answered by then without the stop.


def case(make, record, isTroubled):
    deployment = make(fronts=3, cores=5)
    deployment.start_all()
    leaf = deployment.add_leaf("kafi81c", zone="kozep-a", slots=2)

    def work(request):
        time.sleep(WORK_S if request["method"] == "POST" else 0.02)
        return 200, {}, b"done"

    leaf.answer = work
    leaf.start()
    routes = [route("r-1", "/timi402/", "kafi81c", kind="unsafe", timeout_ms=DEADLINE_MS, aim_ms=6000)]
    if not deployment.put_configuration(configuration(7, routes, [service("kafi81c", 41)])):
        return record.result(NOT_RUN, "the configuration was not acknowledged")
    if not deployment.wait_served("/timi402/x"):
        return record.result(NOT_RUN, "requests are not served")
    time.sleep(5)
    results = {}

    def send(n):
        name = f"q-{n}"
        text = (f"POST /timi402/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
                "Content-Length: 2\r\n\r\nab")
        with socket.create_connection(deployment.front(0), timeout=1) as sock:
            sock.sendall(text.encode())
            sent = time.monotonic()
            answer = read_response(sock, deadline=sent + DEADLINE_MS / 1000 + 1)
        results[name] = sent, time.monotonic(), answer and answer[0]

    threads = [threading.Thread(target=send, args=(n,)) for n in range(REQUESTS)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    stopped = time.monotonic()
    front = deployment.processes[deployment.fronts[0]]
    if isTroubled:
        front.send_signal(signal.SIGTERM)
        record.line(f"platform: SIGTERM to front {deployment.fronts[0]}", stopped)
        try:
            front.wait(timeout=GRACE_S)
            record.line(f"platform: the process ended {time.monotonic() - stopped:.2f} s after SIGTERM")
        except Exception:
            front.kill()
            record.line("platform: SIGKILL at the end of the grace")
    for thread in threads:
        thread.join()
    rows = {row["id"]: row for row in leaf.log}
    lost, excused = [], 0
    for name, (sent, ended, status) in sorted(results.items()):
        row = rows.get(name)
        began = row and row["began"]
        where = ("not passed on" if not row else
                 "in the leaf's queue" if began is None or began > ended else
                 f"at work from {began - stopped:.2f} to {(row['ended'] or ended) - stopped:.2f} s")
        record.line(f"{name}: sent {sent - stopped:.2f} s after SIGTERM, "
                    f"{'answered ' + str(status) if status else 'ended without an answer'} at {ended - stopped:.2f} s; "
                    f"leaf: {where}", ended)
        if status:
            continue
        # The excuse of the rule: the leaf was still at work in the last sixth of the grace.
        isAtWork = began is not None and began <= ended and (row["ended"] or ended) >= stopped + GRACE_S * 5 / 6
        if isAtWork:
            excused += 1
        elif row or ended - sent > SLACK_S:
            lost.append(name)
    record.line(f"{len(lost)} lost, {excused} cut while the leaf was at work in the last sixth of the grace")
    if lost:
        return record.result(BROKEN, f"{len(lost)} of {REQUESTS} requests ended without an answer, with no leaf at work")
    return record.result(HELD, "each request got a complete answer or is excused")


if __name__ == "__main__":
    main(case, FOLDER)
