"""Stand-ins for the platform's store, its workers and its clients, and a relay for links. They follow PROTOCOL.md, and
tell the case that uses them what they do; what it means is the case's."""

import asyncio
import base64
import json
import time

HOLD_MAX_MS = 1000
RETRANSMIT_MS = 1300


async def read_http(reader):
    """One HTTP/1.1 message: first line, headers, body. None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def http_response(status, body=b""):
    reason = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}.get(status, "Status")
    return (f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Server:
    """Serves HTTP/1.1 on a loopback address; handle(method, target, headers, body) answers."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_http(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await self.handle(method, target, message[1], message[2])
                if answer is None:
                    continue
                writer.write(http_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """Tables with one part, and the feed of their changes."""

    def __init__(self):
        self.version = 0
        self.tables = {}
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.silent = False

    async def handle(self, method, target, headers, body):
        """While the store is silent it answers no call, also not later."""
        answer = None if self.silent else await self.serve(method, target, body)
        if answer is None or self.silent:
            await asyncio.Event().wait()
        return answer

    def put(self, table, key, value):
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        row["value"] = base64.b64encode(value).decode()
        self.tables.setdefault(table, {})[key] = row
        self.wake()

    def wake(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def answer(self, rows):
        body = {"rows": rows, "ver": self.version, "hasMore": False, "nowMs": int(time.monotonic() * 1000)}
        return 200, json.dumps(body).encode()

    async def serve(self, method, target, body):
        path, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
        await asyncio.sleep(0.004)
        if path == "/v1/rows-tx":
            call = json.loads(body)
            for wanted in call.get("precondition", []):
                row = self.tables.get(wanted["table"], {}).get(wanted["key"])
                if (row["ver"] if row else 0) != wanted["ver"]:
                    return 412, json.dumps({"rows": [row] if row else []}).encode()
            for put in call.get("puts", []):
                self.put(put["table"], put["key"], base64.b64decode(put["value"]))
            return self.answer([])
        table = self.tables.get(fields.get("table"), {})
        if path == "/v1/rows-get":
            return self.answer([table[key] for key in sorted(table)])
        if path == "/v1/rows-feed":
            until = time.monotonic() + int(fields["waitMs"]) / 1000
            while True:
                rows = sorted((row for row in table.values() if row["ver"] > int(fields["after"])),
                              key=lambda row: row["ver"])
                left = until - time.monotonic()
                if rows or left <= 0:
                    return self.answer(rows)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
                table = self.tables.get(fields.get("table"), {})
        return 404, b""


async def call(address, method, path, body=b"", headers=(), timeout=5.0):
    """One call on a connection of its own: status and body. OSError without an answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), timeout)
        head = [f"{method} {path} HTTP/1.1", "Host: a.example", "Content-Type: application/json",
                f"Content-Length: {len(body)}"]
        head += [f"{name}: {value}" for name, value in headers]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        answer = await asyncio.wait_for(read_http(reader), timeout)
        if answer is None:
            raise ConnectionError("the connection broke")
        return int(answer[0].split(" ")[1]), answer[2].decode()
    except asyncio.TimeoutError as error:
        raise ConnectionError("no answer") from error
    finally:
        if writer:
            writer.transport.abort()


class Client:
    """Hands jobs in. Tells each request and each answer with tell(text)."""

    def __init__(self, tell):
        self.tell = tell

    async def submit(self, name, front, path, count, milliseconds, deadline_ms, label=""):
        """Hands a job of one step in and waits for its end: the status, or 0 if there was no answer."""
        step = {"count": count, "cpu": 6200, "memMb": 256, "estimateMs": milliseconds}
        if label:
            step["requirements"] = label
        body = {"bestEffort": True, "spec": str(milliseconds), "steps": [step]}
        self.tell(f"POST {path} at {name}")
        try:
            status, text = await call(front, "POST", path, json.dumps(body).encode(),
                                      [("X-Bluebellquay-Deadline-Ms", deadline_ms)], deadline_ms / 1000 + 1)
        except OSError as error:
            self.tell(f"POST {path} at {name}: {error or 'refused'}")
            return 0
        self.tell(f"POST {path} at {name}: {status} {text}")
        return status

    async def submit_until_answered(self, nodes, path, count, milliseconds, deadline_ms):
        """After no answer, a broken connection, 502 or 504 the job is sent again, to the next of these nodes
        (name and front address), retransmitMs later."""
        for name, front in nodes:
            status = await self.submit(name, front, path, count, milliseconds, deadline_ms)
            if status not in (0, 502, 504):
                return status
            await asyncio.sleep(RETRANSMIT_MS / 1000)
        return 0


class Worker:
    """Runs tasks under a lease. The payload of a task is its time in milliseconds. What it does is told with
    tell(event, worker, task, run, how): event is start, stop or end, and how is empty but for an end."""

    def __init__(self, tell, name, zone, kind, rack, agent):
        self.tell, self.name, self.zone, self.agent = tell, name, zone, agent
        self.kind, self.rack = kind, rack
        self.born = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.runs, self.closed, self.ends = {}, {}, []
        self.last_end = self.token = self.sequence = 0
        self.lease = 0.0
        self.news = asyncio.Event()
        self.server = Server(self.handle)

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000) + 1

    async def open(self, ip):
        self.address = f"{ip}:{await self.server.listen(ip)}"
        self.tasks = [asyncio.ensure_future(self.announce()), asyncio.ensure_future(self.watch_lease())]

    async def announce(self):
        while True:
            self.sequence += 1
            document = {"service": "archive", "address": self.address, "zone": self.zone, "version": "v1",
                        "capacity": 8, "state": "ready", "coldRemainingMs": 0, "born": self.born,
                        "freeCapacity": {"cpu": 64000, "memMb": 128000, "gpu": 0},
                        "labels": [self.kind, self.rack], "clockMs": self.clock(), "sequence": self.sequence}
            try:
                await call(self.agent, "PUT", "/v1/instances/" + self.name,
                                     json.dumps(document).encode(), timeout=1)
                await asyncio.sleep(1.5)
            except OSError:
                await asyncio.sleep(0.5)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.clock() >= self.lease:
                for task, run in list(self.runs):
                    self.end(task, run, "lapsed")

    def end(self, task, run, how):
        timer = self.runs.pop((task, run), None)
        if timer is None:
            return
        timer.cancel()
        self.closed[task] = max(self.closed.get(task, 0), run)
        self.last_end += 1
        self.ends.append([self.last_end, task, run, how, ""])
        self.tell("end", self.name, task, run, how)
        event, self.news = self.news, asyncio.Event()
        event.set()

    def renew(self, until):
        self.lease = max(self.lease, min(until, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, target, headers, body):
        if headers.get("x-bluebellquay-expected-instance", self.name) != self.name:
            return 421, b""
        order = json.loads(body)
        if order.get("fencingToken", 0) < self.token:
            return 409, json.dumps({"clockMs": self.clock(), "reason": "fence"}).encode()
        self.token = order.get("fencingToken", 0)
        if target == "/v1/hold":
            return await self.hold(order)
        reason = self.start(order) if target == "/v1/run-start" else self.stop(order)
        answer = {"clockMs": self.clock(), "born": self.born}
        if reason:
            answer["reason"] = reason
        return (409 if reason else 200), json.dumps(answer).encode()

    def start(self, order):
        task, run = order["task"], order["run"]
        if (task, run) in self.runs:
            self.renew(order["deadlineMs"])
            return None
        if run <= self.closed.get(task, 0):
            self.renew(order["deadlineMs"])
            return "old"
        if order["deadlineMs"] <= self.clock():
            return "late"
        self.renew(order["deadlineMs"])
        loop = asyncio.get_running_loop()
        self.runs[(task, run)] = loop.call_later(int(order["spec"]) / 1000, self.end, task, run, "done")
        self.tell("start", self.name, task, run, "")
        return None

    def stop(self, order):
        task, run = order["task"], order["run"]
        self.closed[task] = max(self.closed.get(task, 0), run)
        if (task, run) in self.runs:
            self.tell("stop", self.name, task, run, "")
            self.runs[(task, run)].cancel()
            loop = asyncio.get_running_loop()
            self.runs[(task, run)] = loop.call_later(0.02, self.end, task, run, "stopped")
        return None

    async def hold(self, order):
        self.ends = [end for end in self.ends if end[0] > order["lastSeen"]]
        if "deadlineMs" in order:
            self.renew(order["deadlineMs"])
        if not self.ends and order.get("waitMs", 0) > 0:
            try:
                await asyncio.wait_for(self.news.wait(), min(order["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run, "", 100] for task, run in self.runs]
        body = {"clockMs": self.clock(), "born": self.born, "running": running, "ended": self.ends[:500]}
        return 200, json.dumps(body).encode()


class Relay:
    """Carries the connections to one machine's port for links. While the machine is cut off it holds everything
    up, also the ends of connections, and goes on with it later, as a network does."""

    def __init__(self, ip, target):
        self.target = (ip, target)
        self.open = asyncio.Event()
        self.open.set()

    async def listen(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        await self.open.wait()
        try:
            there_reader, there_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(self.carry(reader, there_writer), self.carry(there_reader, writer))
        except asyncio.CancelledError:
            pass

    async def carry(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            await self.open.wait()
        writer.close()

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()
