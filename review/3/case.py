"""A control machine is killed right after it has acknowledged that servers leave; the rule is DRAIN."""
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness  # noqa: E402

SERVERS = 20
LEAVING = 3  # 0.15 of them.
RESTART_S = 0.3  # "A process that exits or is killed is restarted after a short delay".
SERVE_ON_S = 6.5  # drain_ms and "a little longer (at times many seconds)".


def case(deployment):
    leafs = [deployment.add_leaf("ledger", zone="abc"[i % 3], work_s=0.2) for i in range(SERVERS)]
    deployment.start()
    for leaf in leafs:
        leaf.start()
    deployment.put_configuration(harness.configuration(
        7, [harness.route("ledger", "/ledger/", 8000, 800, service="ledger")], ["ledger"], max_conns=110))
    deployment.wait_ready()
    time.sleep(10)  # Traffic starts 10 s after the machines; each control machine hears of most servers.
    clients = [harness.Client(deployment, front, "/ledger/x", 8000) for front in deployment.fronts for _ in range(4)]
    for client in clients:
        client.start()
    time.sleep(5)
    victim = deployment.cores[-1]
    left = {}

    def leave(leaf):
        left[leaf], _ = leaf.leave(victim)

    threads = [threading.Thread(target=leave, args=(leaf,)) for leaf in leafs[:LEAVING]]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if harness.TROUBLE:
        victim.send_signal(signal.SIGKILL)
        victim.process.wait()
        time.sleep(RESTART_S)
        victim.start()
    restarted = time.monotonic()
    time.sleep(SERVE_ON_S - RESTART_S)
    for leaf in leafs[:LEAVING]:
        leaf.end()
    for client in clients:
        client.is_active = False
    for client in clients:
        client.join(10)
    # The core is stable, and so the relays are in touch, contact_ms after the restart.
    in_touch = restarted + harness.BOUNDS["contact_ms"] / 1000
    sent = {request: at for client in clients for request, at in client.sent.items()}
    answered = sum(1 for client in clients for answer in client.answers.values() if answer[0] == 200)
    late = 0
    for leaf, at in left.items():
        due = at + harness.BOUNDS["drain_ms"] / 1000
        for ran, request in leaf.runs:
            if ran > due and sent[request] > max(at, in_touch):
                late += 1
                deployment.record.add(f"BROKEN: {request} reached {leaf.id} {ran - at:.2f} s after its DELETE", ran)
    print(f"{len(sent)} requests, {answered} answered; {late} reached a server later than drain_ms after its DELETE")
    if answered < 100:
        raise harness.CannotRun("too few requests were answered")
    return late == 0


harness.run_case(case, seed=int(os.environ.get("SEED", "1")))
