#!/usr/bin/env python3
"""Starts instances and stand-in backend servers on loopback, for Tools/demo.sh and the tests with real processes.

As a module: Cluster(folder, controls, entries).start(), .backend(...), .stop(). Processes are stopped by their ids.
"""
import json
import os
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def binary(name):
    build = os.path.join(ROOT, os.environ.get("BUILD_DIR", "build"))
    return os.path.join(build, "corianderlock" if name == "corianderlock" else "Source/StandIn/standin-backend")


def free_ports(count):
    """Returns ports that are free now, below the ephemeral range from which the kernel assigns client ports."""
    found = []
    candidate = 20000 + (os.getpid() * 37) % 8000
    while len(found) < count:
        candidate += 1
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", candidate))
                found.append(candidate)
            except OSError:
                pass
    return found


class Process:
    """A child process and its log file."""

    def __init__(self, name, command, log):
        self.name, self.command, self.log = name, command, log
        self.child = None

    def start(self):
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(self.command, stdout=out, stderr=out, stdin=subprocess.DEVNULL)
        return self

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.alive():
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.wait(10)

    def wait(self, seconds):
        """Returns the exit code, or None if the process still runs after the timeout."""
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            return None


def http(address, method, path, body=None, headers=None, timeout=10):
    """Returns (status, headers, text); the status is 0 without a response."""
    data = None if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method, headers=headers or {})
    request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()
    except (OSError, urllib.error.URLError) as error:
        return 0, {}, str(error)


class Cluster:
    def __init__(self, folder, controls=3, entries=3, domains=("kozep-a", "kozep-b", "kozep-c"), settle_ms=500,
                 balancer_wait_ms=300, extra=""):
        self.folder = os.path.abspath(folder)
        os.makedirs(self.folder, exist_ok=True)
        self.domains = domains
        self.settle_ms, self.balancer_wait_ms, self.extra = settle_ms, balancer_wait_ms, extra
        self.ports = free_ports(2 * (controls + entries))
        self.peers, self.addresses, self.processes, self.backends = {}, {}, {}, {}
        names = [f"control-{i + 1}" for i in range(controls)] + [f"entry-{i + 1}" for i in range(entries)]
        for i, name in enumerate(names):
            self.peers[name] = f"127.0.0.1:{self.ports[2 * i]}"
            self.addresses[name] = f"127.0.0.1:{self.ports[2 * i + 1]}"
        self.controls = names[:controls]
        self.entries = names[controls:]
        for i, name in enumerate(names):
            self.write_settings(name, domains[i % len(domains)])

    def write_settings(self, name, domain):
        role = "control" if name in self.controls else "entry"
        members = "".join(f"    - {{instance: {n}, address: '{self.peers[n]}'}}\n" for n in self.controls)
        text = (f"instance: {name}\nfailure_domain: {domain}\nroles: [{role}]\n"
                f"peer: {{listen: '{self.peers[name]}'}}\n"
                f"http: {{listen: '{self.addresses[name]}', threads: 8}}\n"
                f"control:\n  members:\n{members}"
                f"entry: {{connection_settle_ms: {self.settle_ms}}}\n"
                f"stop: {{balancer_wait_ms: {self.balancer_wait_ms}}}\n{self.extra}")
        if role == "control":
            text += f"data_folder: '{self.folder}/{name}'\n"
        with open(f"{self.folder}/{name}.yaml", "w", encoding="utf-8") as out:
            out.write(text)

    def run(self, name):
        command = [binary("corianderlock"), "run", "--config", f"{self.folder}/{name}.yaml"]
        self.processes[name] = Process(name, command, f"{self.folder}/{name}.log").start()
        return self.processes[name]

    def start(self):
        for name in self.controls + self.entries:
            self.run(name)
        self.wait_ready(self.entries)

    def wait_ready(self, names, seconds=30):
        until = time.time() + seconds
        for name in names:
            while http(self.addresses[name], "GET", "/health/ready", timeout=2)[0] != 200:
                if time.time() > until:
                    raise RuntimeError(f"{name} is not ready after {seconds} s, see {self.folder}/{name}.log")
                time.sleep(0.05)

    def backend(self, name, *options, group="foglalas", domain=None):
        """Starts one stand-in process that announces its servers to all entry instances in turn."""
        command = [binary("standin"), "--id", name, "--group", group]
        for entry in self.entries:
            command += ["--entry", self.addresses[entry]]
        for d in ([domain] if domain else self.domains):
            command += ["--domain", d]
        command += list(options)
        self.backends[name] = Process(name, command, f"{self.folder}/{name}.log").start()
        return self.backends[name]

    def cli(self, *arguments, check=False):
        servers = ",".join(self.addresses[n] for n in self.entries)
        command = [binary("corianderlock"), *arguments, "--server", servers]
        done = subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)
        if check and done.returncode:
            raise RuntimeError(f"{' '.join(command)} failed ({done.returncode}): {done.stdout}{done.stderr}")
        return done

    def leader(self):
        """Returns the control instance whose metrics report it as leader of the configuration log shard."""
        for name in self.controls:
            text = http(self.addresses[name], "GET", "/metrics", timeout=2)[2]
            for line in text.splitlines():
                if "leader" in line and '"0"' in line and line.rstrip().endswith(" 1"):
                    return name
        return None

    def stop(self, seconds=40):
        """Stops all processes gracefully; returns the exit codes by name."""
        running = list(self.processes.values()) + list(self.backends.values())
        for process in running:
            process.signal(signal.SIGTERM)
        codes = {}
        until = time.time() + seconds
        for process in running:
            codes[process.name] = process.wait(max(0.1, until - time.time()))
            if codes[process.name] is None:
                process.kill()
        return codes
