"""Servers leave and return under their ids while a core machine is frozen; it reads their old departures when it wakes."""
import itertools
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness2 as h  # noqa: E402

FROZEN_S = 6.5
LEAVE_AFTER_S = 0.2  # After the core machine has frozen.
RETURN_AFTER_S = 0.5  # Between the end of a server and its next start.
STEADY_S = 7.0  # From the wake-up to the next configuration; contact_ms is 4 s.
CALLS_PER_SECOND = 30
CALLS_S = 12.0  # On all routes, from config_apply_ms after the acknowledgement on.


def leave_and_return(d, leaf, frozen, returned):
    """Sends DELETE to one control machine after the other, serves for drain_ms, ends, and starts again under its id."""
    leaf.beats = False
    control = frozen
    while h.call(d.control_address(control), "DELETE", "/-/instances/" + leaf.id)[0] != 200:
        d.record.write(f"leaf {leaf.id}: no acknowledgement from control machine {control}")
        control += 1
    d.record.say(f"the departure of {leaf.id} was acknowledged by control machine {control % len(d.controls)}")
    time.sleep(d.bounds["drain_ms"] / 1000 + 0.2)
    leaf.end()
    time.sleep(RETURN_AFTER_S)
    again = h.Leaf(d, int(leaf.id[2:], 16), leaf.service, leaf.zone)
    again.control = control
    d.leafs.append(again)
    d.record.say(f"{again.id} starts again under its id")
    threading.Thread(target=d.send_beats, args=(again,), daemon=True).start()
    returned.append(again)


def route(name, service):
    return {"name": name, "host": h.HOST, "path_prefix": f"/{name}/", "type": "safe", "timeout_ms": 2000,
            "target_latency_ms": 800, "priority": 2, "service": service, "max_attempts": 2}


def case(folder):
    d = h.Deployment(folder)
    stop, number = threading.Event(), itertools.count(1)
    answers = {"ledger": [], "reminder": []}
    try:
        d.start_all()
        services = [h.service("dugo", 110), h.service("ertesito", 110)]
        d.add_leafs("dugo", (h.ZONES * 5)[:14])
        leaving = d.add_leafs("ertesito", h.ZONES[:2])
        d.put(h.configuration(1, [route("ledger", "dugo")], services))
        d.wait_ready()
        time.sleep(6)
        frozen = 4  # No seed, and a core machine like the others.
        if h.TROUBLE:
            d.kill(d.controls[frozen], signal.SIGSTOP)
        froze = time.monotonic()
        time.sleep(LEAVE_AFTER_S)
        returned = []
        threads = [threading.Thread(target=leave_and_return, args=(d, leaf, frozen, returned)) for leaf in leaving]
        for thread in threads:
            thread.start()
        time.sleep(froze + FROZEN_S - time.monotonic())
        if len(returned) < len(leaving):
            raise h.CannotRun("a server has not started again in time")
        if h.TROUBLE:
            d.kill(d.controls[frozen], signal.SIGCONT)
        d.record.say("the core machine wakes")
        time.sleep(STEADY_S)
        acked = d.put(h.configuration(2, [route("ledger", "dugo"), route("reminder", "ertesito")], services))
        time.sleep(acked + d.bounds["config_apply_ms"] / 1000 - time.monotonic())

        def load(relay, name):
            while not stop.wait(len(d.relays) * len(answers) / CALLS_PER_SECOND):
                answers[name].append(d.send(relay, f"/{name}/x", f"{name}{next(number):04d}")[0])
        threads = [threading.Thread(target=load, args=(relay, name)) for relay in d.relays for name in answers]
        for thread in threads:
            thread.start()
        time.sleep(CALLS_S)
        stop.set()
        for thread in threads:
            thread.join()
        if d.ended_by_themselves():
            raise h.CannotRun("a process ended")
        shares = {}
        for name, statuses in answers.items():
            shares[name] = statuses.count(200) / len(statuses)
            d.record.say(f"route {name}: {dict(h.count_by(statuses))}")
        beats = sum(leaf.acknowledged for leaf in returned)
        d.record.say(f"{beats} heartbeats of the servers of the added route were acknowledged since they started again")
        if len(answers["reminder"]) < 20:
            raise h.CannotRun("too few requests")
        d.record.say(f"CONFIG: served {shares['reminder']:.2f} of the requests on the route that was added later, "
                     f"{shares['ledger']:.2f} on the first one")
        return shares["reminder"] >= shares["ledger"] / 4
    finally:
        stop.set()
        d.close()


if __name__ == "__main__":
    sys.exit(h.run_case(case, FOLDER))
