"""An order to withdraw an evacuation is carried out after a later order has evacuated the zone again.

The leader of the core is killed. A daemon that has just taken the first order freezes for two seconds. The operator sends the
order again, to another daemon, and then the next order; both are acknowledged. Then the frozen daemon wakes.
"""
import os
import re
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness3 import BROKEN, HELD, NOT_RUN, call, client_headers, configuration, main, route, service  # noqa: E402

# Of demands/nara-grown.toml, where the passages on zones are in force.
BOUNDS = {"contact_ms": 5000, "ack_ms": 6000, "catch_up_s": 6, "drain_ms": 4000, "config_apply_ms": 4000,
          "evacuate_ms": 5000, "outer_ms": 15000, "recovery_s": 15}
CONTACT_S, ACK_S, EVACUATE_S = BOUNDS["contact_ms"] / 1000, BOUNDS["ack_ms"] / 1000, BOUNDS["evacuate_ms"] / 1000
ZONE = "kozep-a"
ROUNDS = 4
WATCH_S = 3.0


class Case:
    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.stop, self.sent = threading.Event(), {}

    def send(self, front):
        n = 0
        while not self.stop.wait(0.03):
            n += 1
            name = f"q{front}-{n}"
            self.sent[name] = time.monotonic()
            status = call(self.deployment.front(front), "GET", "/timi402/x", headers=client_headers(name))[0]
            if status != 200:
                self.record.line(f"client: {name} at front {front}: status {status}")

    def order(self, method, daemons):
        """One order of the operator: the next daemon after a second without a response. Returns when it was acknowledged."""
        end = time.monotonic() + ACK_S
        while time.monotonic() < end:
            for ip in daemons:
                began = time.monotonic()
                status = call((ip, self.deployment.port), method, f"/-/evacuate/{ZONE}", timeout=1.0)[0]
                self.record.line(f"operator: {method} evacuate {ZONE} at {ip}: {status or 'no response'}, sent "
                                 f"{began - self.record.began:.3f}")
                if status == 200:
                    return time.monotonic()
                if time.monotonic() > end:
                    break
        return None

    def leader(self):
        last = (0, self.deployment.cores[0])
        for ip in self.deployment.cores:
            terms = re.findall(r"this instance leads in term (\d+)", self.deployment.log(ip))
            last = max([last] + [(int(term), ip) for term in terms])
        return last[1]

    def arrivals(self, begin, end):
        """Requests at leafs of the zone that were sent and arrived in that time."""
        rows = []
        for leaf in self.deployment.leafs:
            if leaf.zone == ZONE:
                with leaf.lock:
                    rows += [row for row in leaf.log if begin <= row["arrived"] < end and self.sent.get(row["id"], 0) >= begin]
        return rows

    def round(self, isTroubled):
        """Returns how many requests reached the zone while it was evacuated, or None if the round shows nothing."""
        deployment, record = self.deployment, self.record
        leader = self.leader()
        others = [ip for ip in deployment.cores if ip != leader]
        frozen, others = others[0], others[1:]
        last = time.monotonic()
        if isTroubled:
            deployment.processes[leader].kill()
            record.line(f"platform: {leader}, the leader, killed")
            thawed = threading.Event()

            def freeze():
                time.sleep(0.25)
                deployment.processes[frozen].send_signal(signal.SIGSTOP)
                record.line(f"platform: {frozen} frozen")
                thawed.wait(4.0)
                deployment.processes[frozen].send_signal(signal.SIGCONT)
                record.line(f"platform: {frozen} wakes")

            thread = threading.Thread(target=freeze)
            thread.start()
        withdrawn = self.order("DELETE", [frozen] + others)
        evacuated = withdrawn and self.order("POST", others)
        if isTroubled:
            thawed.set()
            thread.join()
            deployment.processes[leader].wait()
            deployment.start(leader)
            last = time.monotonic()
            record.line(f"platform: {leader} started again", last)
        if not evacuated:
            return None
        begin = max(evacuated + EVACUATE_S, last + CONTACT_S)
        time.sleep(max(0.0, begin + WATCH_S - time.monotonic()))
        rows = self.arrivals(begin, begin + WATCH_S)
        all_ = sum(begin <= at < begin + WATCH_S for at in list(self.sent.values()))
        record.line(f"from {begin - evacuated:.2f} to {begin + WATCH_S - evacuated:.2f} s after the zone was evacuated again: "
                    f"{len(rows)} of {all_} requests reached its leafs")
        return len(rows)


def case(make, record, isTroubled):
    deployment = make(fronts=3, cores=5, extra={"bounds": BOUNDS})
    deployment.start_all()
    for _ in range(6):
        deployment.add_leaf("kafi81c", work_s=0.01).start()
    if not deployment.put_configuration(configuration(7, [route("r-1", "/timi402/", "kafi81c")], [service("kafi81c")])):
        return record.result(NOT_RUN, "the configuration was not acknowledged")
    if not deployment.wait_served("/timi402/x"):
        return record.result(NOT_RUN, "requests are not served")
    it = Case(deployment, record)
    threads = [threading.Thread(target=it.send, args=(i,)) for i in range(3)]
    for thread in threads:
        thread.start()
    try:
        time.sleep(5)
        before = len(it.arrivals(time.monotonic() - 2, time.monotonic()))
        evacuated = it.order("POST", deployment.cores)
        if not evacuated:
            return record.result(NOT_RUN, "the first order was not acknowledged")
        time.sleep(EVACUATE_S)
        begin = time.monotonic()
        time.sleep(2)
        after = len(it.arrivals(begin, time.monotonic()))
        record.line(f"requests at the zone's leafs in 2 s: {before} before it was evacuated, {after} after")
        if not before or after:
            return record.result(NOT_RUN if not before else BROKEN, "the first evacuation")
        late = []
        for _ in range(ROUNDS):
            late.append(it.round(isTroubled))
            if late[-1]:
                break
        record.line(f"late requests by round: {late}")
    finally:
        it.stop.set()
        for thread in threads:
            thread.join()
    if any(late):
        return record.result(BROKEN, f"{late[-1]} requests reached leafs of a zone more than {EVACUATE_S:.0f} s after its "
                             "evacuation was acknowledged and not taken back")
    if None in late:
        return record.result(NOT_RUN, "an order was not acknowledged")
    return record.result(HELD, "no request reached the evacuated zone")


if __name__ == "__main__":
    main(case, FOLDER)
