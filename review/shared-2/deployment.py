"""A small deployment on loopback: the project's entry and agent programs as processes, with the
settings of the deploy templates, and stand-ins for the platform's store, the workers and clients.

The stand-ins follow PROTOCOL.md and judge nothing. What they see is kept with its time, in
milliseconds since the site was made; each case has its own check, and writes its record.
"""

import base64
import heapq
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ADDRESS = "127.0.0.1"
ZONES = ["fukuoka", "kumamoto", "kagoshima"]
HOST = "archive.example"
PREFIX = "/sheets/"
SERVICE = "diagram-archive"
# Bounds of the site file sites/hinokuni-archive.toml.
BOUNDS = {"holdMaxMs": 1000, "stopMs": 50, "retransmitMs": 1300, "graceS": 6, "farX": 1.5}
HEARTBEAT_S = 1.5
CONTACT_MS = 3000
PORTS = (15000, 32000)
RETRANSMIT_S = 1.3


class CouldNotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """Events with their times, in the order in which they were seen."""

    def __init__(self):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.events = []

    def now(self):
        return (time.monotonic() - self.began) * 1000

    def add(self, kind, **fields):
        with self.lock:
            event = dict(fields, t=self.now(), kind=kind)
            self.events.append(event)
            return event

    def of(self, kind, **fields):
        with self.lock:
            return [e for e in self.events
                    if e["kind"] == kind and all(e.get(k) == v for k, v in fields.items())]

    def write(self, path, verdict):
        with self.lock, open(path, "w", encoding="utf-8") as out:
            out.write("# milliseconds, event, fields\n")
            for event in sorted(self.events, key=lambda e: e["t"]):
                fields = " ".join(f"{k}={v}" for k, v in event.items() if k not in ("t", "kind"))
                out.write(f"{event['t']:9.1f} {event['kind']} {fields}\n".rstrip() + "\n")
            out.write(f"# {verdict}\n")


class Handler(BaseHTTPRequestHandler):
    """Hands each request to the `answer` method of the stand-in that owns the server."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def handle_any(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        try:
            document = json.loads(body) if body else {}
        except ValueError:
            document = {}
        status, reply = self.server.owner.answer(self.command, self.path, self.headers, document)
        text = json.dumps(reply).encode() if reply is not None else b""
        # One write: header and body in separate segments cost the reader a second read.
        head = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(text)}\r\n\r\n").encode()
        self.wfile.write(head + text)

    do_GET = do_PUT = do_POST = do_DELETE = handle_any

    def log_message(self, *_):
        pass


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, *_):
        pass


def serve(owner):
    server = Server((ADDRESS, 0), Handler)
    server.owner = owner
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """The platform's metadata store: rows with versions from one counter, reads and a feed."""

    def __init__(self):
        self.changed = threading.Condition()
        self.version = 0
        self.rows = {}
        self.server = serve(self)
        self.address = f"{ADDRESS}:{self.server.server_address[1]}"

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            self.rows[(table, key)] = {"table": table, "part": "", "key": key,
                                       "value": base64.b64encode(value).decode(),
                                       "ver": self.version}
            self.changed.notify_all()

    def answer(self, method, target, _headers, document):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if method == "POST" and url.path == "/v1/rows-tx":
            return self.transact(document)
        if method == "GET" and url.path == "/v1/rows-get":
            with self.changed:
                return 200, self.result(self.select(query["table"], 0))
        if method == "GET" and url.path == "/v1/rows-feed":
            after = int(query["after"])
            end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            with self.changed:
                while not self.select(query["table"], after) and time.monotonic() < end:
                    self.changed.wait(end - time.monotonic())
                return 200, self.result(self.select(query["table"], after))
        return 404, {}

    def transact(self, document):
        with self.changed:
            for row in document["precondition"]:
                present = self.rows.get((row["table"], row["key"]))
                if (present["ver"] if present else 0) != row["ver"]:
                    return 412, self.result([])
            for row in document["puts"]:
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            return 200, self.result([])

    def select(self, table, after):
        rows = [r for (name, _), r in self.rows.items() if name == table and r["ver"] > after]
        return sorted(rows, key=lambda r: r["key"] if after == 0 else r["ver"])

    def result(self, rows):
        return {"rows": rows, "hasMore": False, "ver": self.version,
                "nowMs": int(time.monotonic() * 1000)}


class Worker:
    """A worker. The `spec` of a task is the time that it takes, in milliseconds."""

    def __init__(self, record, name, cpu=64000):
        self.record = record
        self.name = name
        self.cpu = cpu
        self.changed = threading.Condition()
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.lease = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.last_end = 0
        self.sequence = 0
        self.timers = []
        self.agent = None
        self.closed = threading.Event()
        self.server = serve(self)
        self.address = f"{ADDRESS}:{self.server.server_address[1]}"
        threading.Thread(target=self.run_tasks, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def announce_to(self, address):
        self.agent = address
        threading.Thread(target=self.announce, daemon=True).start()

    def announce(self):
        while not self.closed.is_set():
            self.sequence += 1
            body = {"service": SERVICE, "address": self.address, "zone": ZONES[0], "version": "v1",
                    "capacity": 8, "state": "ready", "coldRemainingMs": 0,
                    "freeCapacity": {"cpu": self.cpu, "memMb": 131072, "gpu": 0},
                    "labels": ["a", "r1-1"], "clockMs": self.clock(), "sequence": self.sequence,
                    "born": self.born}
            acknowledged = False
            try:
                connection = http.client.HTTPConnection(self.agent, timeout=1)
                connection.request("PUT", "/v1/instances/" + self.name, json.dumps(body),
                                   {"Content-Type": "application/json"})
                acknowledged = connection.getresponse().status // 100 == 2
                connection.close()
            except OSError:
                pass
            self.closed.wait(HEARTBEAT_S if acknowledged else 0.2)

    def run_tasks(self):
        while not self.closed.wait(0.002):
            with self.changed:
                if self.running and self.clock() >= self.lease:
                    for key in list(self.running):
                        self.end(key, "lapsed")
                while self.timers and self.timers[0][0] <= time.monotonic():
                    _, key, how = heapq.heappop(self.timers)
                    if key in self.running:
                        self.end(key, how)

    def end(self, key, how):
        del self.running[key]
        task, run = key
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.last_end += 1
        self.ended.append([self.last_end, task, run, how, ""])
        self.record.add("run_ended", worker=self.name, task=task, run=run, how=how)
        self.changed.notify_all()

    def answer(self, _method, target, headers, document):
        with self.changed:
            if headers.get("X-Bluebellquay-Expected-Instance", self.name) != self.name:
                return 421, {"clockMs": self.clock(), "born": self.born}
            token = document.get("fencingToken", 0)
            if token < self.fence:
                return 409, {"clockMs": self.clock(), "reason": "fence"}
            self.fence = token
            if target == "/v1/run-start":
                return self.start(document)
            if target == "/v1/run-stop":
                return self.stop(document)
            if target == "/v1/hold":
                return self.hold(document)
            return 404, {}

    def renew(self, document):
        if "deadlineMs" in document:
            latest = self.clock() + BOUNDS["holdMaxMs"]
            self.lease = max(self.lease, min(document["deadlineMs"], latest))

    def start(self, document):
        key = (document["task"], document["run"])
        if document["deadlineMs"] <= self.clock():
            return self.refused(key, "late")
        self.renew(document)
        if key in self.running:
            return 200, {"clockMs": self.clock()}
        if document["run"] <= self.highest.get(document["task"], 0):
            return self.refused(key, "old")
        self.running[key] = document["spec"]
        heapq.heappush(self.timers,
                       (time.monotonic() + float(document["spec"]) / 1000, key, "done"))
        self.record.add("run_started", worker=self.name, task=key[0], run=key[1])
        return 200, {"clockMs": self.clock()}

    def refused(self, key, reason):
        self.record.add("start_refused", worker=self.name, task=key[0], run=key[1], reason=reason)
        return 409, {"clockMs": self.clock(), "reason": reason}

    def stop(self, document):
        key = (document["task"], document["run"])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        if key in self.running:
            heapq.heappush(self.timers, (time.monotonic() + 0.01, key, "stopped"))
        return 200, {"clockMs": self.clock()}

    def hold(self, document):
        self.renew(document)
        seen = document.get("lastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        end = time.monotonic() + document.get("waitMs", 0) / 1000
        while not self.ended and time.monotonic() < end:
            self.changed.wait(end - time.monotonic())
        running = [[task, run, "", 100, 500] for task, run in self.running]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running,
                     "ended": self.ended[:500]}

    def close(self):
        self.closed.set()
        self.server.shutdown()


class Process:
    """One of the project's programs."""

    def __init__(self, site, role, name, settings, template):
        self.record = site.record
        self.name = name
        self.log_path = os.path.join(site.folder, name + ".log")
        path = os.path.join(site.folder, name + ".toml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(fill_in(template, settings))
        self.command = [os.path.join(ROOT, word) if word.startswith("target/") else word
                        for word in role_command(role).replace("/etc/bluebellquay/node.json",
                                                               path).split()]
        self.child = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(self.command, cwd=ROOT, stdout=log,
                                          stderr=subprocess.STDOUT, start_new_session=True)
        self.record.add("process_started", name=self.name)

    def signal(self, number, event):
        os.kill(self.child.pid, number)
        self.record.add(event, name=self.name)

    def freeze(self):
        self.signal(signal.SIGSTOP, "process_frozen")

    def wake(self):
        self.signal(signal.SIGCONT, "process_woken")

    def kill(self):
        self.signal(signal.SIGKILL, "process_killed")
        self.child.wait()

    def end(self):
        if self.child.poll() is None:
            os.kill(self.child.pid, signal.SIGKILL)
            self.child.wait()


def role_command(role):
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as text:
        section = text.read().split(f"[roles.{role}]")[1]
    return re.search(r'^run = "(.*)"$', section, re.M).group(1)


def fill_in(path, settings):
    """Fills in a settings template: values, values as JSON, and sections of present values."""
    def value(name):
        found = settings
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    with open(os.path.join(ROOT, path), encoding="utf-8") as text:
        filled = text.read()
    filled = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                    lambda m: m.group(2) if value(m.group(1)) else "", filled, flags=re.S)
    filled = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(value(m.group(1))), filled)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m.group(1))), filled)


class Site:
    """Entries, agents with a worker each, and the store."""

    def __init__(self, entries, agents, cpu=64000):
        for program in ("entry", "agent"):
            if not os.path.exists(os.path.join(ROOT, "target/bin/bluebellquay-platform-" + program)):
                raise CouldNotRun("the programs of the deploy file are not built")
        self.record = Record()
        self.folder = tempfile.mkdtemp(prefix="bluebellquay-review-")
        self.taken = set()
        self.store = Store()
        self.put_config(1)
        self.processes = []
        self.entries = [self.add_entry(i) for i in range(entries)]
        self.workers = []
        self.agents = [self.add_agent(i, cpu) for i in range(agents)]

    def free_port(self):
        # Below the ports that the system gives to outgoing connections, which could take one that
        # is free now before its program has started.
        while True:
            port = random.randrange(*PORTS)
            if port in self.taken:
                continue
            self.taken.add(port)
            with socket.socket() as probe:
                try:
                    probe.bind((ADDRESS, port))
                    return port
                except OSError:
                    pass

    def settings(self, name, number):
        return {"node": name, "zone": ZONES[number % len(ZONES)], "region": "kyushu",
                "zones": {zone: "kyushu" for zone in ZONES}, "ip": ADDRESS,
                "portRange": [self.free_port(), self.free_port()], "bounds": BOUNDS,
                "platform": {"address": self.store.address}, "orders": "invocation",
                "listenAddrs": {key: f"{ADDRESS}:{self.free_port()}"
                                for key in ("front", "ready", "control")}}

    def add_entry(self, number):
        settings = self.settings(f"edge-{ZONES[number % len(ZONES)]}-{number + 1}", number)
        process = Process(self, "entry", settings["node"], settings, "deploy/entry.toml")
        process.front = settings["listenAddrs"]["front"]
        process.ready = settings["listenAddrs"]["ready"]
        process.metrics = f"{ADDRESS}:{settings['portRange'][1]}"
        self.processes.append(process)
        return process

    def add_agent(self, number, cpu):
        settings = self.settings(f"side-{ZONES[number % len(ZONES)]}-{number + 1}", number)
        worker = Worker(self.record, f"i-{number + 1}", cpu)
        process = Process(self, "agent", settings["node"], settings, "deploy/agent.toml")
        process.worker = worker
        worker.announce_to(settings["listenAddrs"]["control"])
        self.workers.append(worker)
        self.processes.append(process)
        return process

    def put_config(self, version):
        route = {"name": "r-1", "host": HOST, "pathPrefix": PREFIX, "type": "unsafe",
                 "timeoutMs": 1500, "objectiveMs": 60, "priority": 0, "service": SERVICE,
                 "maxAttempts": 4, "slackFactor": 1.6}
        service = {"name": SERVICE, "healthPath": "/health", "maxConnections": 64,
                   "protocol": "h1", "tls": False, "enforcesCapacity": False, "standby": False}
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                  "idleTimeoutMs": 15000}
        self.store.put("op", "config", json.dumps({"version": version, "routes": [route],
                                                   "services": [service],
                                                   "limits": limits}).encode())

    def wait_until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.02)
        raise CouldNotRun(what + " did not come within " + str(seconds) + " s")

    def wait_until_ready(self):
        """Until all entries are ready and hear of all workers, and all are in touch."""
        for entry in self.entries:
            self.wait_until(lambda e=entry: self.get(e.ready, "/v1/readiness")[0] == 200, 10,
                            entry.name + " ready")
        links = len(self.agents) + len(self.entries) - 1
        for entry in self.entries:
            self.wait_until(lambda e=entry: self.links_of(e) == links, 10, entry.name + " linked")
        time.sleep(CONTACT_MS / 1000)

    def links_of(self, entry):
        text = self.get(entry.metrics, "/metrics")[1]
        found = re.search(r"^bluebellquay_peer_links(?:\{\})? (\d+)", text, re.M)
        return int(found.group(1)) if found else -1

    @staticmethod
    def get(address, target):
        try:
            connection = http.client.HTTPConnection(address, timeout=1)
            connection.request("GET", target)
            reply = connection.getresponse()
            return reply.status, reply.read().decode()
        except OSError:
            return 0, ""

    def call(self, method, entry, key, document=None, deadline_ms=1500, label=""):
        """One call of a client on a connection of its own. Returns status and body; no status if
        the connection breaks or the deadline passes first."""
        body = json.dumps(document) if document is not None else None
        headers = {"Host": HOST, "X-Bluebellquay-Deadline-Ms": str(deadline_ms)}
        if body:
            headers["Content-Type"] = "application/json"
        self.record.add("call_sent", call=label, method=method, job=key, to=entry.name)
        status, text = None, ""
        connection = http.client.HTTPConnection(entry.front, timeout=deadline_ms / 1000)
        try:
            connection.request(method, PREFIX + key, body, headers)
            reply = connection.getresponse()
            status, text = reply.status, reply.read().decode()
        except (OSError, http.client.HTTPException) as error:
            text = type(error).__name__
        finally:
            connection.close()
        return self.record.add("call_answered", call=label, method=method, job=key,
                               status=status, body=text)

    def call_and_reset(self, entry, key, document, deadline_ms, reset_after_s, label):
        """A POST on a connection that is reset after a while, before any answer."""
        self.record.add("call_sent", call=label, method="POST", job=key, to=entry.name)
        connection = http.client.HTTPConnection(entry.front)
        connection.request("POST", PREFIX + key, json.dumps(document),
                           {"Host": HOST, "X-Bluebellquay-Deadline-Ms": str(deadline_ms),
                            "Content-Type": "application/json"})
        time.sleep(reset_after_s)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        return self.record.add("connection_reset", call=label, job=key)

    def call_in_background(self, *arguments, **keywords):
        results = []
        thread = threading.Thread(
            target=lambda: results.append(self.call(*arguments, **keywords)), daemon=True)
        thread.results = results
        thread.start()
        return thread

    def close(self):
        for process in self.processes:
            process.end()
        for worker in self.workers:
            worker.close()
        self.store.server.shutdown()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
