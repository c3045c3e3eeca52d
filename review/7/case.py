"""A server's departure is acknowledged, then all control processes are killed at the same moment and started again."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness2 as h  # noqa: E402

DOWN_S = 0.6  # "back within a second"
SERVES_ON_S = 9.0  # How long the leaving server goes on serving after the acknowledgement.
CALLS_PER_SECOND = 60


def case(folder):
    d = h.Deployment(folder)
    stop, number = threading.Event(), iter(range(1, 1 << 30))
    sent = {}  # By request: when it was sent.
    try:
        d.start_all()
        route = {"name": "ledger", "host": h.HOST, "path_prefix": "/ledger/", "type": "safe", "timeout_ms": 2000,
                 "target_latency_ms": 800, "priority": 2, "service": "dugo", "max_attempts": 2}
        leafs = d.add_leafs("dugo", h.ZONES)
        d.put(h.configuration(1, [route], [h.service("dugo", 110)]))
        d.wait_ready()

        def load(relay):
            while not stop.wait(len(d.relays) / CALLS_PER_SECOND):
                request = f"q{next(number):05d}"
                sent[request] = time.monotonic()
                d.send(relay, "/ledger/x", request)
        threads = [threading.Thread(target=load, args=(relay,)) for relay in d.relays]
        for thread in threads:
            thread.start()
        time.sleep(6)  # All machines are in touch.
        leaving = leafs[0]
        status, acked = leaving.leave(d.control_address(leaving.control))
        if h.TROUBLE:
            for ip in d.controls:
                d.kill(ip)
        if status != 200:
            raise h.CannotRun(f"the departure was answered {status}")
        d.record.say(f"the departure of {leaving.id} was acknowledged at {acked - d.record.began:.3f}")
        started = acked
        if h.TROUBLE:
            for ip in d.controls:
                d.wait_ended(ip)
            time.sleep(max(0.0, acked + DOWN_S - time.monotonic()))
            for ip in d.controls:
                d.start(ip)
            started = time.monotonic()
            d.record.say(f"the control processes started again by {started - d.record.began:.3f}")
        time.sleep(max(0.0, acked + SERVES_ON_S - time.monotonic()))
        stop.set()
        for thread in threads:
            thread.join()
        if h.TROUBLE and d.ended_by_themselves():
            raise h.CannotRun("a process ended")
        # Machines are in touch contact_ms after the last start in the core.
        in_touch = started + d.bounds["contact_ms"] / 1000 if h.TROUBLE else acked
        due = acked + d.bounds["drain_ms"] / 1000
        late = [(at, request) for at, request in leaving.arrived
                if at > due and sent.get(request, 0) > in_touch]
        after = [at for at, request in leaving.arrived if at > due]
        if late:
            d.record.say(f"the last late request arrived {late[-1][0] - acked:.3f} s after the acknowledgement")
        d.record.say(f"{len(late)} requests that machines in touch took reached {leaving.id} later than drain_ms "
                     f"after the acknowledgement; {len(after)} from any machine")
        return not late
    finally:
        stop.set()
        d.close()


if __name__ == "__main__":
    sys.exit(h.run_case(case, FOLDER))
