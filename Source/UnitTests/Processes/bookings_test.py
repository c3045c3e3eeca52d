#!/usr/bin/env python3
"""Checks that bookings run at most once while entry instances, control leaders and backend servers get SIGKILL.

Use: bookings_test.py [--bookings N] [--rate PER_SECOND] [--seed S] [--keep]. Exits 1 if a check failed.
"""
import argparse
import collections
import json
import random
import shutil
import sys
import tempfile
import threading
import time

import bookings_common as common

SENDERS = 12
RESENDS = 3
FINAL_OUTCOMES = ("completed", "refused-by-backend")
RESEND_DELAY = (0.05, 0.6)  # Seconds.
KILL_INTERVAL = (0.4, 1.2)  # Seconds.
DOWNTIME = (0.1, 0.8)  # Seconds.
ABANDON_SHARE = 0.5  # The share of not-run bookings that the caller does not retry.
REPLAY_SHARE = 0.5  # The share of bookings that are resent after a final outcome, to compare the responses.


class Booking:
    def __init__(self, request_id, seed):
        self.id = request_id
        self.rng = random.Random(f"{seed}-{request_id}")
        self.answers = []

    def first_final(self):
        return next((a for a in self.answers if a.code in FINAL_OUTCOMES), None)


def run_booking(booking, addresses):
    """Sends the booking, then resends it through other instances until its outcome is final or no resends are left."""
    order = addresses[:]
    booking.rng.shuffle(order)
    replay = booking.rng.random() < REPLAY_SHARE
    for attempt in range(1 + RESENDS):
        answer = common.send(order[attempt % len(order)], booking.id, first=attempt == 0)
        booking.answers.append(answer)
        if answer.code == "not-run" and booking.rng.random() < ABANDON_SHARE:
            return
        if booking.first_final() and not (replay and len(booking.answers) <= RESENDS):
            return
        time.sleep(booking.rng.uniform(*RESEND_DELAY))


class FaultInjector(threading.Thread):
    """Kills and restarts one process at a time, at seeded random times."""

    def __init__(self, cluster, seed):
        super().__init__()
        self.cluster, self.rng = cluster, random.Random(seed)
        self.kills = collections.Counter()
        self.stopping = threading.Event()
        self.finished_cleanly = False

    def run(self):
        kinds = [self.kill_entry, self.kill_leader, self.kill_backend]
        while not self.stopping.wait(self.rng.uniform(*KILL_INTERVAL)):
            self.rng.choice(kinds)()
        self.finished_cleanly = True

    def restart(self, process, kind):
        process.kill()
        self.kills[kind] += 1
        time.sleep(self.rng.uniform(*DOWNTIME))
        process.start()

    def kill_entry(self):
        self.restart(self.cluster.processes[self.rng.choice(self.cluster.entries)], "entry")

    def kill_leader(self):
        leader = self.cluster.leader()
        name = leader or self.rng.choice(self.cluster.controls)
        self.restart(self.cluster.processes[name], "control leader" if leader else "control")

    def kill_backend(self):
        self.restart(self.cluster.backends[self.rng.choice(sorted(self.cluster.backends))], "backend server")


def drive(bookings, addresses, rate):
    """Starts the bookings at the given rate on SENDERS threads."""
    pending = iter(enumerate(bookings))
    lock = threading.Lock()
    begun = time.time()

    def worker():
        while True:
            with lock:
                i, booking = next(pending, (None, None))
            if booking is None:
                return
            time.sleep(max(0.0, begun + i / rate - time.time()))
            run_booking(booking, addresses)

    threads = [threading.Thread(target=worker) for _ in range(SENDERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def check_booking(booking, runs):
    """Returns a list of descriptions of what is wrong with a booking."""
    wrong = []
    if runs > 1:
        wrong.append(f"ran {runs} times")
    if booking.answers[-1].code == "not-run" and runs:
        wrong.append("its last answer is not-run, but it ran")
    if any(a.code == "completed" for a in booking.answers) and not runs:
        wrong.append("answered completed, but it did not run")
    if any(a.code == "id-reused" for a in booking.answers):
        wrong.append("refused as another request")
    first = booking.first_final()
    if first:
        after = booking.answers[booking.answers.index(first):]
        if any(a.code in FINAL_OUTCOMES and a != first for a in after):
            wrong.append("a replay differs from the first answer")
        if any(a.code == "not-run" for a in after):
            wrong.append("not-run after it was completed")
        if first.code == "completed" and json.loads(first.body).get("request_id") != booking.id:
            wrong.append("got the answer of another request")
    return wrong


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bookings", type=int, default=300)
    parser.add_argument("--rate", type=float, default=14.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", action="store_true", help="leave the folder with logs")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="bookings-")
    begun = time.time()
    bookings = [Booking(f"booking-{options.seed}-{i}", options.seed) for i in range(options.bookings)]
    started = None
    try:
        started = common.BookingCluster(folder, options=("--run-ms", "60"))
        cluster = started.cluster
        injector = FaultInjector(cluster, options.seed)
        injector.start()
        try:
            drive(bookings, [cluster.addresses[n] for n in cluster.entries], options.rate)
        finally:
            injector.stopping.set()
            injector.join()
    finally:
        if started:
            for process in list(started.cluster.processes.values()) + list(started.cluster.backends.values()):
                process.kill()
    # All processes are dead, so the run log is final.
    runs = started.runs()
    failures = [f"{b.id}: {w} ({', '.join(a.code for a in b.answers)})"
                for b in bookings for w in check_booking(b, runs[b.id])]
    sends = sum(len(b.answers) for b in bookings)
    replays = sum(max(0, sum(a.code in FINAL_OUTCOMES for a in b.answers) - 1) for b in bookings)
    print(f"seed {options.seed}: {len(bookings)} bookings, {sends} sends, {time.time() - begun:.0f} s")
    print(f"kills: {dict(injector.kills)}")
    print(f"all answers: {dict(collections.Counter(a.code for b in bookings for a in b.answers))}")
    print(f"last answers: {dict(collections.Counter(b.answers[-1].code for b in bookings))}, {replays} replays compared")
    print(f"ran once: {sum(runs[b.id] == 1 for b in bookings)}, more than once: "
          f"{sum(runs[b.id] > 1 for b in bookings)}, never: {sum(runs[b.id] == 0 for b in bookings)}")
    if not any(b.first_final() for b in bookings):
        failures.append("no booking has a final outcome")
    missed = {"entry", "control leader", "backend server"} - set(injector.kills)
    if missed or not injector.finished_cleanly:
        failures.append(f"fault injection did not finish; no kills of: {sorted(missed)}")
    for failure in failures[:20]:
        print("FAILED " + failure)
    if failures or options.keep:
        print(f"logs: {folder}")
    else:
        shutil.rmtree(folder)
    print(f"{len(failures)} failures")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
