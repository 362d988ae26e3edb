"""Stand-ins of the users' platform for the scripts under review/: the store, workers and clients.

They speak PROTOCOL.md over loopback on the real clock, and behave like a sound platform, sound
workers and sound clients. Only the standard library of Python 3 is used.
"""

import base64
import http.client
import json
import random
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

HOLD_MAX_MS = 1000
STOP_MS = 50
HEARTBEAT_S = 1.5
HISTORY_WAIT_LIMIT_MS = 30000


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.begun = now()

    def seconds(self, moment=None):
        return (now() if moment is None else moment) - self.begun

    def write(self, text):
        with self._lock:
            self._file.write(f"{self.seconds():8.3f} {text}\n")
            self._file.flush()

    def close(self):
        self._file.close()


class Handler(BaseHTTPRequestHandler):
    """Answers requests of one connection, which can be cut from outside."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, document=None):
        data = b"" if document is None else json.dumps(document).encode()
        self.send_response(status)
        if data:
            self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, *arguments):
        self._open = set()
        super().__init__(*arguments)

    def process_request(self, request, client_address):
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self._open.discard(request)
        super().shutdown_request(request)

    def cut(self):
        """Stops listening and ends all connections, as the end of the process would."""
        self.socket.close()
        for connection in list(self._open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def handle_error(self, request, client_address):
        pass  # A peer that was killed or stopped has closed its connection.


def serve(address, handler):
    server = Server(address, handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """The platform's metadata store: rows, transactions and the feed of changes."""

    def __init__(self, address):
        self._changed = threading.Condition()
        self._rows = {}
        self._version = 0
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                url = urlsplit(self.path)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                if url.path == "/v1/rows-get":
                    return self.answer(200, store.get(query))
                if url.path == "/v1/rows-feed":
                    return self.answer(200, store.feed(query))
                return self.answer(404)

            def do_POST(self):
                document = json.loads(self.body())
                if self.path != "/v1/rows-tx":
                    return self.answer(404)
                status, answer = store.transact(document)
                return self.answer(status, answer)

        self._server = serve(address, StoreHandler)

    def put(self, table, key, value):
        """Writes one row, as the operator does; value is bytes."""
        self.transact({"puts": [{"table": table, "part": "", "key": key,
                                 "value": base64.b64encode(value).decode()}]})

    def _answer(self, rows):
        return {"rows": rows, "ver": self._version, "hasMore": False, "nowMs": int(now() * 1000)}

    def get(self, query):
        with self._changed:
            rows = [row for (table, key), row in sorted(self._rows.items())
                    if table == query["table"] and not row.get("deleted")
                    and key >= query.get("from", "")]
            return self._answer(rows)

    def feed(self, query):
        until = now() + min(int(query.get("waitMs", 0)), HISTORY_WAIT_LIMIT_MS) / 1000
        after = int(query["after"])
        with self._changed:
            while True:
                rows = [row for (table, _), row in self._rows.items()
                        if table == query["table"] and row["ver"] > after]
                if rows or now() >= until:
                    return self._answer(sorted(rows, key=lambda row: row["ver"]))
                self._changed.wait(until - now())

    def transact(self, document):
        with self._changed:
            for wanted in document.get("precondition", []):
                row = self._rows.get((wanted["table"], wanted["key"]))
                present = row["ver"] if row and not row.get("deleted") else 0
                if present != wanted["ver"]:
                    return 412, self._answer([row] if row else [])
            self._version += 1
            for row in document.get("puts", []):
                self._rows[(row["table"], row["key"])] = dict(row, ver=self._version)
            for row in document.get("remove", []):
                self._rows[(row["table"], row["key"])] = dict(row, ver=self._version, deleted=True)
            self._changed.notify_all()
            return 200, {"ver": self._version, "nowMs": int(now() * 1000)}


class Run:
    def __init__(self, worker, task, number, begun, length):
        self.worker = worker
        self.task = task
        self.number = number
        self.begun = begun
        self.due = begun + length
        self.stopped_at = None
        self.ended = None
        self.how = None


class Worker:
    """A worker: starts what it is told to start, under a lease, and lists what runs and has ended.

    A task's spec is "run MILLISECONDS", or "crash": it takes the worker down as it starts, before
    the answer. The worker is back after RESTART_S as another life.
    """

    RESTART_S = 1.0

    def __init__(self, record, name, address, agent, zone, service, cpu=64000):
        self._record = record
        self.name = name
        self._address = address
        self._agent = agent
        self._zone = zone
        self._service = service
        self._cpu = cpu
        self._changed = threading.Condition()
        self._begun = now()
        self._born = int(time.time() * 1000)
        self._token = 0
        self._lease_until = 0
        self._running = {}
        self._closed = {}
        self._ends = []
        self._last_end = 0
        self._sequence = 0
        self._stopping = False
        self._slow_ms = None
        self._down = False
        self.runs = []
        self.crashes = []
        worker = self

        class WorkerHandler(Handler):
            def do_POST(self):
                document = json.loads(self.body())
                if self.headers.get("X-Bluebellquay-Expected-Instance", worker.name) != worker.name:
                    return self.answer(421)
                calls = {"/v1/run-start": worker.start, "/v1/run-stop": worker.stop,
                         "/v1/hold": worker.hold}
                if self.path not in calls:
                    return self.answer(404)
                worker.hesitate(self.path)
                status, answer = calls[self.path](document)
                if status is None:
                    self.close_connection = True
                    return None
                return self.answer(status, dict(answer, clockMs=worker.clock()))

        self._handler = WorkerHandler
        self._server = serve(address, WorkerHandler)
        threading.Thread(target=self._end_runs, daemon=True).start()
        threading.Thread(target=self._announce, daemon=True).start()

    def clock(self):
        return int((now() - self._begun) * 1000) + 1000

    def leave(self):
        self._stopping = True

    def turn_slow(self, shortest_ms, longest_ms):
        """From now on the worker carries out each order this much later than it arrives."""
        self._slow_ms = (shortest_ms, longest_ms)
        self._record.write(f"worker  {self.name} turns slow: {shortest_ms} to {longest_ms} ms")

    def turn_well(self):
        self._slow_ms = None
        self._record.write(f"worker  {self.name} is no longer slow")

    def hesitate(self, path):
        slow = self._slow_ms
        if slow and path != "/v1/hold":
            time.sleep(random.uniform(*slow) / 1000)

    def _announce(self):
        while not self._stopping:
            if self._down:
                time.sleep(0.01)
                continue
            self._sequence += 1
            body = {"service": self._service, "address": "%s:%d" % self._address,
                    "zone": self._zone, "version": "v1", "capacity": 8, "state": "ready",
                    "coldRemainingMs": 0, "labels": ["a", "r1-" + self.name[-1]],
                    "freeCapacity": {"cpu": self._cpu, "memMb": 131072, "gpu": 0},
                    "clockMs": self.clock(), "born": self._born, "sequence": self._sequence}
            try:
                status, _ = call(self._agent, "PUT", "/v1/instances/" + self.name, body, timeout=1)
            except (OSError, http.client.HTTPException):
                status = 0
            time.sleep(HEARTBEAT_S if status == 200 else 0.2)

    def _extend(self, document):
        # Never shortens; at most HOLD_MAX_MS from now.
        if "deadlineMs" in document:
            wanted = min(document["deadlineMs"], self.clock() + HOLD_MAX_MS)
            self._lease_until = max(self._lease_until, wanted)

    def _fenced(self, document):
        token = document.get("fencingToken", 0)
        if token < self._token:
            return True
        self._token = token
        return False

    def start(self, document):
        task, number = document["task"], document["run"]
        with self._changed:
            if self._fenced(document):
                return 409, {"reason": "fence"}
            if number <= self._closed.get(task, 0):
                self._extend(document)
                return 409, {"reason": "old"}
            if (task, number) in self._running:
                return 200, {}
            if document["deadlineMs"] <= self.clock():
                return 409, {"reason": "late"}
            if self._down:
                return None, {}
            if document["spec"] == "crash":
                self._crash(task, number)
                return None, {}
            self._extend(document)
            run = Run(self.name, task, number, now(), int(document["spec"].split()[1]) / 1000)
            self._running[(task, number)] = run
            self.runs.append(run)
            self._record.write(f"run     {self.name} starts {task} run {number}")
            self._changed.notify_all()
            return 200, {}

    def _crash(self, task, number):
        self._record.write(f"worker  {self.name} crashes as it starts {task} run {number}")
        self.crashes.append((now(), task, number))
        self._down = True
        for run in list(self._running.values()):
            run.ended, run.how = now(), "crash"
        self._running, self._closed, self._ends = {}, {}, []
        self._token = self._lease_until = self._last_end = self._sequence = 0
        server, self._server = self._server, None
        threading.Thread(target=self._restart, args=(server,), daemon=True).start()

    def _restart(self, server):
        server.cut()
        time.sleep(self.RESTART_S)
        with self._changed:
            self._begun = now()
            self._born = int(time.time() * 1000)
            self._server = serve(self._address, self._handler)
            self._down = False
            self._record.write(f"worker  {self.name} is back as another life")

    def stop(self, document):
        task, number = document["task"], document["run"]
        with self._changed:
            if self._fenced(document):
                return 409, {"reason": "fence"}
            self._closed[task] = max(self._closed.get(task, 0), number)
            run = self._running.get((task, number))
            if run and run.stopped_at is None:
                run.stopped_at = now() + STOP_MS * 0.8 / 1000
                self._changed.notify_all()
            return 200, {}

    def hold(self, document):
        until = now() + min(document.get("waitMs", 0), 2000) / 1000
        with self._changed:
            if self._fenced(document):
                return 409, {"reason": "fence"}
            seen = document.get("lastSeen", 0)
            self._ends = [end for end in self._ends if end[0] > seen]
            self._extend(document)
            while not self._ends and now() < until:
                self._changed.wait(until - now())
            running = [[run.task, run.number, "", 100] for run in self._running.values()]
            return 200, {"born": self._born, "running": running, "ended": self._ends[:500]}

    def _end(self, run, how):
        run.ended = now()
        run.how = how
        del self._running[(run.task, run.number)]
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.number)
        self._last_end += 1
        self._ends.append([self._last_end, run.task, run.number, how, ""])
        self._record.write(f"run     {self.name} ends   {run.task} run {run.number}: {how}")
        self._changed.notify_all()

    def _end_runs(self):
        while not self._stopping:
            with self._changed:
                moment = now()
                for run in list(self._running.values()):
                    if run.stopped_at is not None and moment >= run.stopped_at:
                        self._end(run, "stopped")
                    elif self.clock() >= self._lease_until:
                        self._end(run, "lapsed")
                    elif moment >= run.due:
                        self._end(run, "done")
                self._changed.wait(0.002)


def call(address, method, path, body=None, host=None, headers=None, timeout=None):
    """One request on a connection of its own. Returns the status and the body as text."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        fields = dict(headers or {})
        if host:
            fields["Host"] = host
        data = None if body is None else json.dumps(body)
        if data is not None:
            fields["Content-Type"] = "application/json"
        connection.request(method, path, data, fields)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


class Client:
    """A client of one queue. Each request is written to the record, with its answer."""

    def __init__(self, record, host, prefix):
        self._record = record
        self._host = host
        self._prefix = prefix

    def _request(self, name, address, method, job, body=None, headers=None, timeout=None):
        what = f"{method} {job} at {name}"
        self._record.write(f"client  sends {what}")
        try:
            status, text = call(address, method, self._prefix + job, body, self._host, headers,
                                timeout)
        except (OSError, http.client.HTTPException) as error:
            self._record.write(f"client  no answer to {what}: {type(error).__name__}")
            return None, ""
        self._record.write(f"client  {what} is answered {status} {text}")
        return status, text

    def post(self, name, address, job, body, deadline_ms, leave_s=None):
        """Waits a little longer than the deadline that it states, for an answer under way, or
        leaves earlier."""
        headers = {"X-Bluebellquay-Deadline-Ms": str(deadline_ms)}
        return self._request(name, address, "POST", job, body, headers,
                             leave_s or deadline_ms / 1000 + 0.3)

    def cancel(self, name, address, job):
        return self._request(name, address, "DELETE", job, timeout=6)


def job_of(milliseconds, count=1, steps=1, cpu=6200):
    """A job of steps that follow each other, each of as many equal tasks."""
    listed = []
    for number in range(steps):
        step = {"count": count, "cpu": cpu, "memMb": 64, "estimateMs": milliseconds}
        if number:
            step["after"] = [number - 1]
        listed.append(step)
    return {"spec": f"run {milliseconds}", "steps": listed, "bestEffort": True}
