"""Sends changes of the configuration over HTTP and records the response to each one.

A change is resent until its response is definite, so the records can be compared with the configuration exactly.
"""
import json
import random
import socket
import threading
import time

from loopback import http

ANSWER_TIMEOUT = 90  # Seconds; a change without a definite response for that long fails the test.
DEFINITE_STATUSES = (200, 400, 404, 409)
KIND = "backend-group"


def body_of(change):
    resource = {"kind": KIND, "name": change["name"], "slots": 2, "connection_limit": change["number"]}
    return {"change_id": change["id"], "made_from": change["made_from"], "resource": resource}


def send(address, change, timeout=6):
    """Makes one attempt; returns (status, decoded body)."""
    path = f"/v1/resources/{KIND}/{change['name']}"
    if change["delete"]:
        path += f"?change_id={change['id']}&made_from={change['made_from']}"
        status, _, text = http(address, "DELETE", path, timeout=timeout)
    else:
        status, _, text = http(address, "PUT", path, body_of(change), timeout=timeout)
    try:
        return status, json.loads(text)
    except ValueError:
        return 0, {}


def send_and_drop(address, change, seconds):
    """Sends the change and closes the connection after a delay without reading the response."""
    host, port = address.rsplit(":", 1)
    body = b"" if change["delete"] else json.dumps(body_of(change)).encode()
    query = f"?change_id={change['id']}&made_from={change['made_from']}" if change["delete"] else ""
    head = (f"{'DELETE' if change['delete'] else 'PUT'} /v1/resources/{KIND}/{change['name']}{query} HTTP/1.1\r\n"
            f"Host: {address}\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n")
    try:
        with socket.create_connection((host, int(port)), timeout=2) as connection:
            connection.sendall(head.encode() + body)
            time.sleep(seconds)
    except OSError:
        pass


class Ledger:
    """The first definite response to each change, under one lock."""

    def __init__(self):
        self.lock = threading.Lock()
        self.changes, self.answers, self.accepted_at, self.problems = {}, {}, {}, []
        self.next_number = 1
        self.resends = self.drops = self.tries = 0

    def new_change(self, name, made_from, delete=False):
        with self.lock:
            number = self.next_number
            self.next_number += 1
            change = {"id": f"change-{number}", "name": name, "made_from": made_from, "delete": delete,
                      "number": number}
            self.changes[change["id"]] = change
            return change

    def problem(self, text):
        with self.lock:
            self.problems.append(text)

    def record_answer(self, change, answer):
        """Records a definite response; a later one must equal the first."""
        with self.lock:
            first = self.answers.setdefault(change["id"], answer)
            if first != answer:
                self.problems.append(f"{change['id']} was answered {first}, then {answer}")
            if answer[0] == 200:
                self.accepted_at.setdefault(change["id"], time.monotonic())

    def submit(self, addresses, change, seed):
        """Sends a change through random instances until its response is definite; drops some responses."""
        rng = random.Random(seed)
        until = time.monotonic() + ANSWER_TIMEOUT
        if rng.random() < 0.35:
            send_and_drop(rng.choice(addresses), change, rng.uniform(0, 0.02))
            with self.lock:
                self.drops += 1
        while time.monotonic() < until:
            with self.lock:
                self.tries += 1
            answer = send(rng.choice(addresses), change)
            if answer[0] in DEFINITE_STATUSES:
                self.record_answer(change, answer)
                break
            time.sleep(0.05)
        else:
            self.problem(f"{change['id']} had no answer for {ANSWER_TIMEOUT} s")
            return None
        if rng.random() < 0.3:
            self.resend(rng.choice(addresses), change)
        return answer

    def resend(self, address, change):
        with self.lock:
            self.resends += 1
        answer = send(address, change)
        if answer[0] in DEFINITE_STATUSES:
            self.record_answer(change, answer)

    def accepted(self):
        """Returns the accepted changes by the revision that each one created."""
        by_revision = {}
        for change_id, (status, body) in self.answers.items():
            if status != 200:
                continue
            if body["revision"] in by_revision:
                self.problem(f"revision {body['revision']} was given to two changes")
            by_revision[body["revision"]] = self.changes[change_id]
        return by_revision

    def check_revisions(self, revision):
        """Each revision must be one accepted change, made from the version before it. Returns the resulting state."""
        accepted = self.accepted()
        if sorted(accepted) != list(range(1, revision + 1)):
            missing = sorted(set(range(1, revision + 1)) ^ set(accepted))
            self.problem(f"accepted answers and revisions 1 to {revision} differ at {missing[:10]}")
            return {}
        state = {}
        for made in range(1, revision + 1):
            change = accepted[made]
            version = state.get(change["name"], (0, None))[0]
            if change["made_from"] != version:
                self.problem(f"{change['id']} was accepted from {change['made_from']}, the version was {version}")
            if change["delete"]:
                state.pop(change["name"], None)
            else:
                state[change["name"]] = (made, change)
        return state

    def check_conflicts(self):
        """The response to a conflicting change names the change that won, and that one must be accepted."""
        for change_id, (status, body) in self.answers.items():
            winner = body.get("winner_change")
            if status == 409 and winner and self.answers.get(winner, (0,))[0] != 200:
                self.problem(f"{change_id} lost to {winner}, which was not accepted")
            if status == 400:
                self.problem(f"{change_id} was refused as invalid: {body}")

    def check_final(self, addresses, state):
        """Each instance must list the state that results from the accepted changes."""
        expected = {name: (version, change["id"], change["number"]) for name, (version, change) in state.items()}
        for address in addresses:
            listed = json.loads(http(address, "GET", f"/v1/resources/{KIND}")[2]).get("resources", [])
            found = {r["resource"]["name"]: (r["version"], r["changed_by"], r["resource"]["connection_limit"])
                     for r in listed}
            if found != expected:
                self.problem(f"{address} lists {found}, expected {expected}")

    def check_history(self, address, revision):
        """A watch from any revision must report the latest accepted change of each resource since then."""
        accepted = self.accepted()
        for start in range(revision):
            changes = json.loads(http(address, "GET", f"/v1/watch?from={start}")[2])
            reported = {c["name"]: (c["revision"], c["change_id"]) for c in changes["changes"]}
            expected = {accepted[r]["name"]: (r, accepted[r]["id"]) for r in range(start + 1, revision + 1)}
            if changes["whole"]:
                expected = {name: last for name, last in expected.items() if name in reported or not
                            accepted[last[0]]["delete"]}
            if reported != expected:
                self.problem(f"a watch from {start} reported {reported}, expected {expected}")
                return
