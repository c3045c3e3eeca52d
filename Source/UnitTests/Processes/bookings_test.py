#!/usr/bin/env python3
"""Bookings run at most once while entry instances, the control leader and backend servers are killed with SIGKILL.

Use: bookings_test.py [--bookings N] [--rate PER_SECOND] [--seed S] [--keep]. Exits 1 if a promise was broken.
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
SETTLED = ("completed", "refused-by-backend")
PAUSE_BEFORE_RESEND = (0.05, 0.6)  # Seconds.
BETWEEN_KILLS = (0.4, 1.2)
DOWN = (0.1, 0.8)
STOP_AFTER_NOT_RUN = 0.5  # The share of refused bookings whose caller does not come back.
REPLAYS = 0.5  # The share of settled bookings that are sent again to compare the answers.


class Booking:
    def __init__(self, request_id, seed):
        self.id = request_id
        self.rng = random.Random(f"{seed}-{request_id}")
        self.answers = []

    def first_settled(self):
        return next((a for a in self.answers if a.code in SETTLED), None)


def run_booking(booking, addresses):
    """Sends the booking, and again through another instance until it is settled or the resends are used up."""
    order = addresses[:]
    booking.rng.shuffle(order)
    replay = booking.rng.random() < REPLAYS
    for attempt in range(1 + RESENDS):
        answer = common.send(order[attempt % len(order)], booking.id, first=attempt == 0)
        booking.answers.append(answer)
        if answer.code == "not-run" and booking.rng.random() < STOP_AFTER_NOT_RUN:
            return
        if booking.first_settled() and not (replay and len(booking.answers) <= RESENDS):
            return
        time.sleep(booking.rng.uniform(*PAUSE_BEFORE_RESEND))


class Killer(threading.Thread):
    """Kills and restarts one process after the other, at seeded times."""

    def __init__(self, cluster, seed):
        super().__init__()
        self.cluster, self.rng = cluster, random.Random(seed)
        self.kills = collections.Counter()
        self.stopping = threading.Event()
        self.ended_well = False

    def run(self):
        kinds = [self.kill_entry, self.kill_leader, self.kill_backend]
        while not self.stopping.wait(self.rng.uniform(*BETWEEN_KILLS)):
            self.rng.choice(kinds)()
        self.ended_well = True

    def restart(self, process, kind):
        process.kill()
        self.kills[kind] += 1
        time.sleep(self.rng.uniform(*DOWN))
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
    """Starts the bookings at the rate given, on a bounded number of threads."""
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
    """What is wrong with one booking, as texts."""
    wrong = []
    if runs > 1:
        wrong.append(f"ran {runs} times")
    if booking.answers[-1].code == "not-run" and runs:
        wrong.append("its last answer is not-run, but it ran")
    if any(a.code == "completed" for a in booking.answers) and not runs:
        wrong.append("answered completed, but it did not run")
    if any(a.code == "id-reused" for a in booking.answers):
        wrong.append("refused as another request")
    first = booking.first_settled()
    if first:
        after = booking.answers[booking.answers.index(first):]
        if any(a.code in SETTLED and a != first for a in after):
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
        killer = Killer(cluster, options.seed)
        killer.start()
        try:
            drive(bookings, [cluster.addresses[n] for n in cluster.entries], options.rate)
        finally:
            killer.stopping.set()
            killer.join()
    finally:
        if started:
            for process in list(started.cluster.processes.values()) + list(started.cluster.backends.values()):
                process.kill()
    # Read when nothing can run any more.
    runs = started.runs()
    failures = [f"{b.id}: {w} ({', '.join(a.code for a in b.answers)})"
                for b in bookings for w in check_booking(b, runs[b.id])]
    sends = sum(len(b.answers) for b in bookings)
    replays = sum(max(0, sum(a.code in SETTLED for a in b.answers) - 1) for b in bookings)
    print(f"seed {options.seed}: {len(bookings)} bookings, {sends} sends, {time.time() - begun:.0f} s")
    print(f"kills: {dict(killer.kills)}")
    print(f"all answers: {dict(collections.Counter(a.code for b in bookings for a in b.answers))}")
    print(f"last answers: {dict(collections.Counter(b.answers[-1].code for b in bookings))}, {replays} replays compared")
    print(f"ran once: {sum(runs[b.id] == 1 for b in bookings)}, more than once: "
          f"{sum(runs[b.id] > 1 for b in bookings)}, never: {sum(runs[b.id] == 0 for b in bookings)}")
    if not any(b.first_settled() for b in bookings):
        failures.append("no booking was settled")
    missed = {"entry", "control leader", "backend server"} - set(killer.kills)
    if missed or not killer.ended_well:
        failures.append(f"the kills did not go through to the end; none of: {sorted(missed)}")
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
