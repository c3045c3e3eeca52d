"""Runs a system on the platform's protocol on loopback: control and relay processes, with backend servers in-process.

All instances use the same ports on distinct addresses in 127.0.0.0/8, as separate machines would.
"""
import collections
import hashlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../../.."))
BINARY = os.path.join(os.environ.get("BUILD_DIR", os.path.join(ROOT, "build")), "platform", "corianderlock-platform")
HOST = "search.example"
RECORD_BYTES = 16

SETTINGS = """
instance: "{ip}:{port}"
failure_domain: "{domain}"
failure_domains: [{known_domains}]
roles: [{role}]
data_folder: "{folder}"
peer: {{ listen: "{ip}:{port}", heartbeat_ms: 300, silence_ms: 900 }}
http: {{ listen: "{ip}:{http}", threads: 1 }}
front_end: {{ {listens} }}
control:
  seeds: [{seeds}]
  found: {found}
  tolerated: 2
  claim_shards: 0
  election_timeout_ms: 400
  heartbeat_ms: 100
  snapshot_every: 20
  kept_entries: 16
roster: {{ silence_ms: {silence} }}
relay: {{ return_margin_ms: 10, repeat_ratio: 0.2, repeat_minimum: 60 }}
stop: {{ balancer_wait_ms: {wait}, finish_bound_ms: 2000 }}
log: {{ file: "-" }}
"""


# Responses without end: the first bytes, those that are repeated, and the seconds between two repetitions.
ENDLESS = {
    "endless-bytes": (b"", b"a" * 16384, 0),
    "endless-head": (b"HTTP/1.1 200 OK\r\n", b"X-Field: " + b"a" * 16384 + b"\r\n", 0),
    "endless-interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n", 0),
    "endless-body": (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 16384, 0),
    "endless-chunk-header": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", b"a" * 16384, 0),
    "endless-trickle": (b"HTTP/1.1 200 OK\r\n\r\n", b"a", 0.005),
    "absurd-length": (b"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", b"a" * 16384, 0),
}


def call(address, method, path, body=None, headers=None, timeout=3, source=None):
    """Returns (status, headers, body bytes); the status is 0 without a complete response."""
    host, port = address
    connection = http.client.HTTPConnection(host, port, timeout=timeout, source_address=(source, 0) if source else None)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, str(error).encode()
    finally:
        connection.close()


class LeafServer(ThreadingHTTPServer):
    """Knows its open connections, so that a crash can close them."""
    daemon_threads = True

    def __init__(self, *args):
        self.connections, self.lock = set(), threading.Lock()
        super().__init__(*args)

    def handle_error(self, request, client_address):
        pass

    def process_request(self, request, client_address):
        with self.lock:
            self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self.lock:
            self.connections.discard(request)
        super().shutdown_request(request)

    def crash(self):
        self.shutdown()
        self.server_close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Leaf:
    """One backend server with its records, a log of the requests received, and faults that a test sets."""

    def __init__(self, cluster, number, service, zone):
        self.cluster, self.service, self.zone = cluster, service, zone
        self.id, self.born, self.seq = f"i-{number:04x}", int(time.time() * 1000) + number, 0
        self.state, self.delay, self.fault = "ready", 0.0, None
        self.stops_when_closed = False  # It ends its work on a request when the connection closes.
        self.worked = {}  # By request: when its work began and ended.
        self.says_leaving = False  # In its answers.
        self.warmup_ms = 0  # That its heartbeats report.
        self.limit = None  # The requests a second that it names in its answers.
        self.crashes_on, self.down_seconds = None, 2.0  # It ends when it gets a path with this end.
        self.crashes_on_id, self.crash_delay = None, 0.0  # Or a request whose id begins so, after that time.
        self.arrived, self.runs, self.lock = [], collections.Counter(), threading.Lock()
        self.endless_streams = 0  # Responses without end that are being sent.
        seed = hashlib.sha256(service.encode()).digest()
        self.records = [hashlib.sha256(seed + struct.pack(">I", i)).digest()[:RECORD_BYTES] for i in range(25)]
        leaf = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def serve(self):
                leaf.respond(self)

            do_GET = do_POST = serve

        self.handler, self.host, self.port = Handler, f"127.0.1.{number}", cluster.port
        self.address = f"{self.host}:{self.port}"
        self.crashed_at = []
        self.listen()

    def listen(self):
        self.server = LeafServer((self.host, self.port), self.handler)
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def crash(self, seconds):
        """Ends this start of the server: connections break, new ones are refused. The next start comes later."""
        with self.lock:
            if self.state == "gone":
                return
            self.state = "gone"
            self.crashed_at.append(time.monotonic())
        self.server.crash()
        threading.Timer(seconds, self.restart).start()

    def restart(self):
        if self.cluster.stopping.is_set():
            return
        self.id, self.born, self.seq = f"{self.id.split('.')[0]}.{len(self.crashed_at)}", int(time.time() * 1000), 0
        self.listen()
        self.state = "ready"

    def respond(self, handler):
        length = int(handler.headers.get("Content-Length") or 0)
        body = handler.rfile.read(length)
        request = handler.headers["X-Request-Id"]
        with self.lock:
            self.arrived.append((time.monotonic(), request, handler.command, handler.path, body,
                                 handler.headers.get("X-Deadline-Ms"), handler.headers.items()))
        if handler.headers.get("X-Expect-Instance") != self.id:
            return self.reply(handler, 421, b"", {"X-Request-Id": request})
        if self.crashes_on and handler.path.partition("?")[0].endswith(self.crashes_on):
            handler.close_connection = True
            return self.crash(self.down_seconds)
        if self.crashes_on_id and request.startswith(self.crashes_on_id):
            handler.close_connection = True
            time.sleep(self.crash_delay)
            return self.crash(self.down_seconds)
        if self.fault == "closed":
            return self.reply(handler, 503, b"", {"X-Not-Executed": "1", "X-Request-Id": request, "Retry-After": "3"})
        if self.fault == "shed":
            return self.reply(handler, 503, b"", {"X-Not-Executed": "1", "X-Request-Id": request})
        if self.fault == "cut":
            with self.lock:
                self.runs[request] += 1
            handler.close_connection = True
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            handler.connection.close()
            return None
        with self.lock:
            self.runs[request] += 1
        if self.delay and not self.work(handler, request):
            handler.close_connection = True
            return None
        if self.fault in ENDLESS:
            return self.send_endless(handler, *ENDLESS[self.fault])
        stamp = {"X-Server-Stamp": f"{self.id}.{request}", "X-Request-Id": request}
        if self.fault == "fail":
            return self.reply(handler, 500, b"broken", stamp)
        return self.reply(handler, 200, b"".join(random.sample(self.records, len(self.records))), stamp)

    def work(self, handler, request):
        """Takes the time that a request takes. False if the connection was closed meanwhile."""
        begin, is_open = time.monotonic(), True
        if not self.stops_when_closed:
            time.sleep(self.delay)
        while self.stops_when_closed and is_open and time.monotonic() < begin + self.delay:
            time.sleep(0.01)
            try:
                is_open = bool(handler.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
            except BlockingIOError:
                pass
            except OSError:
                is_open = False
        with self.lock:
            self.worked[request] = begin, time.monotonic()
        return is_open

    def send_endless(self, handler, start, repeated, pause):
        """Sends bytes that are no answer until the caller closes the connection."""
        with self.lock:
            self.endless_streams += 1
        handler.close_connection = True
        try:
            handler.connection.sendall(start)
            while not self.cluster.stopping.is_set():
                handler.connection.sendall(repeated)
                time.sleep(pause)
        except OSError:
            pass
        with self.lock:
            self.endless_streams -= 1

    def reply(self, handler, status, body, headers):
        try:
            handler.send_response(status)
            for name, value in headers.items():
                handler.send_header(name, value)
            if self.says_leaving:
                handler.send_header("Server-Leaving", "1")
            if self.limit is not None and status == 200:
                handler.send_header("Server-Limit", self.limit)
            handler.send_header("Content-Length", str(len(body)))
            handler.end_headers()
            handler.wfile.write(body)
        except OSError:
            handler.close_connection = True

    def send_heartbeat(self, control, state=None):
        self.seq += 1
        body = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 2,
                "state": state or self.state, "warmup_left_ms": self.warmup_ms, "seq": self.seq, "born": self.born}
        return call(control, "PUT", f"/-/instances/{self.id}", json.dumps(body), timeout=1)[0]

    def send_leave(self, control):
        """Sends no heartbeats from now on, and goes on serving."""
        self.state = "gone"
        return call(control, "DELETE", f"/-/instances/{self.id}", timeout=1)[0]

    def ran(self, request):
        with self.lock:
            return self.runs[request] > 0

    def count_runs(self):
        with self.lock:
            return sum(self.runs.values())

    def count(self, request=None):
        with self.lock:
            return sum(1 for row in self.arrived if request is None or row[1] == request)


class PlatformCluster:
    def __init__(self, controls=5, domains=("a", "b", "c"), silence_ms=2000, failure_domains=()):
        self.silence_ms = silence_ms
        self.failure_domains = failure_domains
        self.folder = tempfile.mkdtemp(prefix="corianderlock-platform-")
        self.port = self.find_port()
        self.controls = [f"127.0.2.{i + 1}" for i in range(controls)]
        self.relays = {f"127.0.3.{i + 1}": domain for i, domain in enumerate(domains)}
        self.control_domains = {}
        self.seeds = self.controls[:3]
        self.processes, self.leafs, self.stopping = {}, [], threading.Event()

    @staticmethod
    def find_port():
        """Returns the first of four consecutive ports that are free on all addresses."""
        for _ in range(100):
            port = random.randrange(20000, 30000, 4)
            try:
                for i in range(4):
                    with socket.socket() as probe:
                        probe.bind(("0.0.0.0", port + i))
                return port
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def control_address(self, i=0):
        return self.controls[i], self.port + 2

    def relay_address(self, ip):
        return ip, self.port + 2

    def write_settings(self, ip, found, seeds=None):
        role = "control" if ip in self.controls else "relay"
        listens = f'control: "{ip}:{self.port + 2}"'
        if role == "relay":
            listens = f'callers: "{ip}:{self.port + 2}", readiness: "{ip}:{self.port + 3}"'
        text = SETTINGS.format(
            ip=ip, port=self.port, http=self.port + 1, role=role, listens=listens, found=str(found).lower(),
            domain=self.relays.get(ip) or self.control_domains.get(ip, "a"), folder=os.path.join(self.folder, "data-" + ip),
            seeds=", ".join(f'"{seed}:{self.port + 2}"' for seed in seeds or self.seeds), silence=self.silence_ms,
            known_domains=", ".join(f'"{domain}"' for domain in self.failure_domains),
            wait=600 if role == "relay" else 100)
        path = os.path.join(self.folder, ip + ".yaml")
        # Renamed, so that a running process never reads a part of it.
        with open(path + ".new", "w", encoding="utf-8") as out:
            out.write(text)
        os.replace(path + ".new", path)
        return path

    def start(self, ip, found, output=None, seeds=None):
        path = self.write_settings(ip, found, seeds)
        with open(os.path.join(self.folder, ip + ".log"), "ab") as log:
            self.processes[ip] = subprocess.Popen([BINARY, "--config", path], stdout=output or log, stderr=log)

    def start_all(self):
        for ip in self.controls + list(self.relays):
            self.start(ip, True)
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def add_leafs(self, services, zones):
        for service in services:
            for zone in zones:
                self.leafs.append(Leaf(self, len(self.leafs) + 1, service, zone))

    def send_heartbeats(self):
        attempt = 0
        while not self.stopping.wait(0.3):
            for leaf in list(self.leafs):
                for _ in range(len(self.controls)):
                    attempt += 1
                    if (leaf.state == "gone"
                            or leaf.send_heartbeat(self.control_address(attempt % len(self.controls))) == 200):
                        break

    def log(self, ip):
        with open(os.path.join(self.folder, ip + ".log"), encoding="utf-8", errors="replace") as lines:
            return lines.read()

    def signal(self, ip, number, wait=True):
        process = self.processes[ip]
        process.send_signal(number)
        return process.wait(timeout=15) if wait else None

    def wipe(self, ip):
        shutil.rmtree(os.path.join(self.folder, "data-" + ip), ignore_errors=True)

    def close(self, keep):
        self.stopping.set()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for leaf in self.leafs:
            leaf.server.shutdown()
        if keep:
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, shards, single, unsafe, **changes):
    routes = [
        {"name": "gather", "host": HOST, "path_prefix": "/all/", "type": "safe", "timeout_ms": 2000,
         "target_latency_ms": 400, "priority": 1, "gather": shards, "max_attempts": 2, "top_k": 5,
         "min_coverage": 0.5},
        {"name": "single", "host": HOST, "path_prefix": "/one/", "type": "safe", "timeout_ms": 2000,
         "target_latency_ms": 400, "priority": 1, "service": single, "max_attempts": 2},
        {"name": "book", "host": HOST, "path_prefix": "/book/", "type": "unsafe", "timeout_ms": 2000,
         "target_latency_ms": 400, "priority": 0, "service": unsafe, "max_attempts": 2},
    ]
    services = [{"name": name, "health_path": "/health", "max_conns": 26, "protocol": "h1", "tls": False}
                for name in shards + [single, unsafe]]
    document = {"version": version, "routes": routes, "services": services,
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}}
    document.update(changes)
    return json.dumps(document)
