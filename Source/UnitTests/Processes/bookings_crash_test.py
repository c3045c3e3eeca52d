#!/usr/bin/env python3
"""Checks that a booking that crashes each backend server that runs it stops reaching servers under any id."""
import os
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import bookings_common as common  # noqa: E402

CRASHING_TEXT = "boom"
BACKENDS = 8
RESENDS = 12
ALLOWED_LOSSES = 2
QUARANTINE_SECONDS = 2.0  # For the word to reach the other instances.


def main():
    folder = tempfile.mkdtemp(prefix="bookings-crash-")
    failures, started = [], None
    common.body_of = lambda request: '{"handler": "%s"}' % (CRASHING_TEXT if CRASHING_TEXT in request else request)
    try:
        started = common.BookingCluster(folder, backends=BACKENDS, options=("--crash-on", CRASHING_TEXT))
        cluster = started.cluster
        entries = [cluster.addresses[name] for name in cluster.entries]
        answers = []
        for i in range(RESENDS):
            answers.append(common.send(entries[i % len(entries)], f"{CRASHING_TEXT}-{i}", first=True))
            time.sleep(QUARANTINE_SECONDS / 4)
        alive = sum(backend.alive() for backend in cluster.backends.values())
        print(f"{BACKENDS - alive} of {BACKENDS} servers lost, answers {[a.code for a in answers]}")
        if BACKENDS - alive > ALLOWED_LOSSES:
            failures.append(f"{BACKENDS - alive} servers lost, {ALLOWED_LOSSES} allowed")
        if any(a.code != "not-run" for a in answers[-4:]):
            failures.append("not refused as not run on all instances")
        runs = started.runs()
        if any(a.code == "not-run" and runs[f"{CRASHING_TEXT}-{i}"] for i, a in enumerate(answers)):
            failures.append("refused as not run, but it ran")
        others = [common.send(entry, f"other-{i}").code for i, entry in enumerate(entries)]
        if any(code != "completed" for code in others):
            failures.append(f"other bookings: {others}")
    finally:
        if started:
            for process in list(started.cluster.processes.values()) + list(started.cluster.backends.values()):
                process.kill()
    for failure in failures:
        print("FAILED " + failure)
    if not failures:
        shutil.rmtree(folder)
    print(f"{len(failures)} failures")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
