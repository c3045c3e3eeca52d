"""A server starts again under its id and leaves at once; the heartbeat of the new start arrives after the departure."""
import itertools
import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness2 as h  # noqa: E402

DOWN_S = 1.0  # Between the two starts.
LEAVES_AFTER_S = 0.5  # After its second start.
LATE_S = 4.0  # By which the only heartbeat of the second start is late.
SERVES_ON_S = 9.0  # After the acknowledgement.
CALLS_PER_SECOND = 60


def deliver(d, name, body):
    status = h.call(d.control_address(0), "PUT", "/-/instances/" + name, json.dumps(body))[0]
    d.record.write(f"leaf {name}: the heartbeat of the second start arrives and is answered {status}")


def case(folder):
    d = h.Deployment(folder)
    stop, number = threading.Event(), itertools.count(1)
    try:
        d.start_all()
        route = {"name": "ledger", "host": h.HOST, "path_prefix": "/ledger/", "type": "safe", "timeout_ms": 2000,
                 "target_latency_ms": 800, "priority": 2, "service": "dugo", "max_attempts": 2}
        leafs = d.add_leafs("dugo", (h.ZONES * 3)[:8])
        d.put(h.configuration(1, [route], [h.service("dugo", 110)]))
        d.wait_ready()

        def load(relay):
            while not stop.wait(len(d.relays) / CALLS_PER_SECOND):
                d.send(relay, "/ledger/x", f"q{next(number):05d}")
        threads = [threading.Thread(target=load, args=(relay,)) for relay in d.relays]
        for thread in threads:
            thread.start()
        time.sleep(6)  # All machines are in touch, and stay so.
        first = leafs[0]
        d.record.say(f"{first.id} ends")
        first.end()
        time.sleep(DOWN_S)
        second = h.Leaf(d, 0, "dugo", first.zone)
        d.leafs.append(second)
        second.seq = 1
        body = {"service": "dugo", "address": "%s:%d" % second.address, "zone": second.zone, "version": "v1",
                "slots": second.slots, "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": second.born}
        d.record.say(f"{second.id} starts again under its id and sends a heartbeat")
        beat = threading.Timer(LATE_S if h.TROUBLE else 0, deliver, (d, second.id, body))
        beat.start()
        time.sleep(LEAVES_AFTER_S)
        status = h.call(d.control_address(1), "DELETE", "/-/instances/" + second.id)[0]
        acked = time.monotonic()
        if status != 200:
            raise h.CannotRun(f"the departure was answered {status}")
        d.record.say(f"its departure was acknowledged at {acked - d.record.began:.3f}")
        time.sleep(SERVES_ON_S)
        stop.set()
        for thread in threads:
            thread.join()
        if d.ended_by_themselves():
            raise h.CannotRun("a process ended")
        due = acked + d.bounds["drain_ms"] / 1000
        late = [at for at, _ in second.runs() if at > due]
        if late:
            d.record.say(f"late requests arrived {late[0] - acked:.3f} to {late[-1] - acked:.3f} s after that")
        d.record.say(f"DRAIN: {len(late)} requests reached it later than drain_ms after the acknowledgement")
        return not late
    finally:
        stop.set()
        d.close()


if __name__ == "__main__":
    sys.exit(h.run_case(case, FOLDER))
