"""A small deployment on loopback: stand-ins for the platform's store, workers and clients, and the
project's own programs as separate processes, started with the commands and templates of the deploy
file. Everything that is sent, answered and run is written to record.txt of the case."""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {"contactMs": 3000, "ackTimeoutMs": 4000, "drainMs": 2000, "graceS": 6, "configDeadlineMs": 2000,
          "holdMaxMs": 1000, "stopMs": 50, "cancel_ms": 3000, "farX": 1.5, "retransmitMs": 1300}
HELD, BROKEN, UNABLE = 0, 1, 2


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines with the time in seconds since the script began."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def note(self, text):
        print(f"{self.now():8.3f} {text}", file=self.file, flush=True)


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


class Judge:
    """What workers run: starts, ends, and runs of one task that are there at the same time."""

    def __init__(self, record):
        self.record = record
        self.running = {}
        self.starts = []
        self.overlaps = []

    def started(self, worker, task, run):
        now = self.record.now()
        self.record.note(f"start {task} run {run} on {worker}")
        others = self.running.setdefault(task, {})
        for other, since in others.items():
            self.overlaps.append((now, task))
            self.record.note(f"  beside run {other[1]} on {other[0]}, there since {since:.3f}")
        others[(worker, run)] = now
        self.starts.append((now, task, worker))

    def ended(self, worker, task, run, how):
        since = self.running[task].pop((worker, run))
        self.record.note(f"end {task} run {run} on {worker}: {how} after {self.record.now() - since:.3f} s")

    def running_of(self, job):
        """Tasks of the job that run."""
        return [task for task, runs in self.running.items() if runs and task.startswith(job + ".")]


class Worker:
    """Runs tasks under a lease. The payload of a task is its time in milliseconds."""

    def __init__(self, site, name, zone, kind, rack, agent):
        self.site, self.name, self.zone, self.agent = site, name, zone, agent
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
                await self.site.call(self.agent, "PUT", "/v1/instances/" + self.name,
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
        self.site.judge.ended(self.name, task, run, how)
        event, self.news = self.news, asyncio.Event()
        event.set()

    def renew(self, until):
        self.lease = max(self.lease, min(until, self.clock() + BOUNDS["holdMaxMs"]))

    async def handle(self, method, target, headers, body):
        if headers.get("x-bluebellquay-expected-instance", self.name) != self.name:
            return 421, b""
        call = json.loads(body)
        if call.get("fencingToken", 0) < self.token:
            return 409, json.dumps({"clockMs": self.clock(), "reason": "fence"}).encode()
        self.token = call.get("fencingToken", 0)
        if target == "/v1/hold":
            return await self.hold(call)
        reason = self.start(call) if target == "/v1/run-start" else self.stop(call)
        answer = {"clockMs": self.clock(), "born": self.born}
        if reason:
            answer["reason"] = reason
        return (409 if reason else 200), json.dumps(answer).encode()

    def start(self, call):
        task, run = call["task"], call["run"]
        if (task, run) in self.runs:
            self.renew(call["deadlineMs"])
            return None
        if run <= self.closed.get(task, 0):
            self.renew(call["deadlineMs"])
            return "old"
        if call["deadlineMs"] <= self.clock():
            return "late"
        self.renew(call["deadlineMs"])
        loop = asyncio.get_running_loop()
        self.runs[(task, run)] = loop.call_later(int(call["spec"]) / 1000, self.end, task, run, "done")
        self.site.judge.started(self.name, task, run)
        return None

    def stop(self, call):
        task, run = call["task"], call["run"]
        self.closed[task] = max(self.closed.get(task, 0), run)
        if (task, run) in self.runs:
            self.site.record.note(f"stop {task} run {run} on {self.name}")
            self.runs[(task, run)].cancel()
            loop = asyncio.get_running_loop()
            self.runs[(task, run)] = loop.call_later(0.02, self.end, task, run, "stopped")
        return None

    async def hold(self, call):
        self.ends = [end for end in self.ends if end[0] > call["lastSeen"]]
        if "deadlineMs" in call:
            self.renew(call["deadlineMs"])
        if not self.ends and call.get("waitMs", 0) > 0:
            try:
                await asyncio.wait_for(self.news.wait(), min(call["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run, "", 100] for task, run in self.runs]
        body = {"clockMs": self.clock(), "born": self.born, "running": running, "ended": self.ends[:500]}
        return 200, json.dumps(body).encode()


def free_ports(ip, count):
    """The first of so many free ports in a row."""
    while True:
        sockets = []
        try:
            first = socket.socket()
            sockets.append(first)
            first.bind((ip, 0))
            port = first.getsockname()[1]
            for number in range(1, count):
                following = socket.socket()
                sockets.append(following)
                following.bind((ip, port + number))
            return port
        except (OSError, OverflowError):
            continue
        finally:
            for each in sockets:
                each.close()


def lookup(fields, path):
    for part in path.split("."):
        try:
            fields = fields[int(part)] if isinstance(fields, list) else fields[part]
        except (KeyError, IndexError, TypeError, ValueError):
            return None
    return fields


def render(template, fields):
    """The part of the template language that the project's templates use."""
    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                      lambda match: match[2] if lookup(fields, match[1]) else "", template)

    def value(match):
        found = lookup(fields, match[1])
        if match[2] or isinstance(found, (dict, bool)):
            return json.dumps(found, separators=(",", ":"))
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


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


class Machine:
    """A machine of the system with the one process that runs there."""

    def __init__(self, site, role, number, zone):
        self.site, self.role, self.zone = site, role, zone
        self.name = f"{'edge' if role == 'entry' else 'side'}-{zone}-{number}"
        site.machines += 1
        self.ip = f"127.61.{os.getpid() % 250 + 1}.{site.machines}"
        port = free_ports(self.ip, 5)
        self.peer, self.relay = (self.ip, port), None
        self.front, self.ready = (self.ip, port + 2), (self.ip, port + 3)
        self.control = (self.ip, port + 4)
        fields = {
            "node": self.name, "ip": self.ip, "zone": zone, "region": "kyushu",
            "zones": {name: "kyushu" for name in site.zones}, "portRange": [port, port + 1],
            "listenAddrs": {"front": "%s:%d" % self.front, "ready": "%s:%d" % self.ready,
                            "control": "%s:%d" % self.control},
            "limits": {"memoryMb": 260 if role == "entry" else 128, "maxFds": 4100}, "bounds": BOUNDS,
            "orders": "invocation", "platform": {"address": site.store_address}}
        with open(os.path.join(ROOT, "deploy", role + ".toml"), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        self.settings = os.path.join(site.folder, self.name + ".toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            command = re.search(r"\[roles\.%s\]\s*\nrun = \"([^\"]+)\"" % role, file.read())[1].split()
        self.command = [os.path.join(ROOT, command[0])] + \
            [self.settings if word.endswith("node.json") else word for word in command[1:]]
        self.process = None

    async def put_behind_relay(self):
        """Links to this machine's process pass a relay, which can cut it off from the others."""
        self.relay = Relay(*self.peer)
        port = await self.relay.listen(self.ip)
        with open(self.settings, "a", encoding="utf-8") as file:
            file.write(f'\npeer_advertise = "{self.ip}:{port}"\n')

    def start(self):
        self.site.record.note(f"{self.name} is started")
        with open(os.path.join(self.site.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                                            stderr=log)

    def kill(self):
        self.site.record.note(f"{self.name} is killed")
        self.process.kill()
        self.process.wait()

    def freeze(self):
        self.site.record.note(f"{self.name} freezes")
        self.process.send_signal(signal.SIGSTOP)

    def wake(self):
        self.site.record.note(f"{self.name} wakes")
        self.process.send_signal(signal.SIGCONT)

    def log(self):
        with open(os.path.join(self.site.folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Site:
    """Entries in each zone, agents with their workers, and the store."""

    def __init__(self, case_folder, zones=("fukuoka", "kumamoto", "kagoshima"), agents=4, relayed=False):
        self.record = Record(case_folder)
        self.judge = Judge(self.record)
        self.folder = tempfile.mkdtemp(prefix="bluebellquay-review-")
        self.zones, self.agent_count, self.machines, self.relayed = zones, agents, 0, relayed
        self.entries, self.agents, self.workers = [], [], []

    async def open(self):
        self.store = Store()
        store_ip = "127.60.0.1"
        self.store_address = f"{store_ip}:{await self.store.server.listen(store_ip)}"
        self.configure(3, ["/x/"])
        for zone in self.zones:
            self.entries.append(Machine(self, "entry", 1, zone))
        for number in range(self.agent_count):
            self.agents.append(Machine(self, "agent", number + 1, self.zones[number % len(self.zones)]))
        if self.relayed:
            await self.entries[0].put_behind_relay()
        for machine in self.entries + self.agents:
            machine.start()
        for number, agent in enumerate(self.agents):
            kind = "b" if number == 0 else "a"
            worker = Worker(self, f"i-{number}", agent.zone, kind, f"r1-{number // 3}", agent.control)
            await worker.open(agent.ip)
            self.workers.append(worker)
        for entry in self.entries:
            await self.until_ready(entry)
        # The first seconds are those before the traffic: all links are there, all workers announced.
        await asyncio.sleep(3)
        self.record.note("all entries are ready")

    def configure(self, version, prefixes):
        """The operator writes a configuration with these routes; the store has acknowledged it on return."""
        routes = [{"name": f"r-{prefix.strip('/')}", "host": "a.example", "pathPrefix": prefix, "type": "unsafe",
                   "timeoutMs": 15000, "objectiveMs": 60, "priority": 1, "service": "archive", "maxAttempts": 3,
                   "slackFactor": 1.6} for prefix in prefixes]
        config = {"version": version, "routes": routes, "services": [{"name": "archive"}], "limits": {}}
        self.store.put("op", "config", json.dumps(config).encode())
        self.record.note(f"configuration {version} is acknowledged: routes {' '.join(prefixes)}")
        return self.record.now()

    async def until_ready(self, entry, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if (await self.call(entry.ready, "GET", "/v1/readiness", timeout=1))[0] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(entry.name + " does not get ready")

    def close(self):
        for machine in self.entries + self.agents:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def call(self, address, method, path, body=b"", headers=(), timeout=5.0):
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

    async def submit(self, entry, key, steps, deadline_ms, label="", prefix="/x/"):
        """Hands a job in and waits for its end: the status, or 0 if there was no answer. Each step is the
        number of its tasks and their time in milliseconds, the same for all, and follows the one before."""
        milliseconds = steps[0][1]
        body = {"bestEffort": True, "spec": str(milliseconds), "steps": []}
        for number, (count, _) in enumerate(steps):
            step = {"count": count, "cpu": 6200, "memMb": 256, "estimateMs": milliseconds}
            if number > 0:
                step["after"] = [number - 1]
            if label:
                step["requirements"] = label
            body["steps"].append(step)
        self.record.note(f"POST {prefix}{key} at {entry.name}")
        try:
            status, text = await self.call(entry.front, "POST", prefix + key, json.dumps(body).encode(),
                                           [("X-Bluebellquay-Deadline-Ms", deadline_ms)], deadline_ms / 1000 + 1)
        except OSError as error:
            self.record.note(f"POST {prefix}{key} at {entry.name}: {error or 'refused'}")
            return 0
        self.record.note(f"POST {prefix}{key} at {entry.name}: {status} {text}")
        return status

    async def submit_until_answered(self, entries, key, steps, deadline_ms):
        """As a client does: after no answer, a broken connection, 502 or 504 the job is sent again, to the
        next of these entries, retransmitMs later."""
        for entry in entries:
            status = await self.submit(entry, key, steps, deadline_ms)
            if status not in (0, 502, 504):
                return status
            await asyncio.sleep(BOUNDS["retransmitMs"] / 1000)
        return 0

    def worker_of(self, task):
        """The number of the agent on whose worker the task runs, or None."""
        names = [worker for worker, run in self.judge.running.get(task, {})]
        return [worker.name for worker in self.workers].index(names[0]) if names else None

    async def until_running(self, task, seconds=5):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.judge.running.get(task):
                return self.worker_of(task)
            await asyncio.sleep(0.001)
        raise RuntimeError(task + " does not run")


def play(case_folder, scenario, **arguments):
    """Plays the scenario on a site; ends all processes; exits with its result."""

    async def run():
        site = Site(case_folder, **arguments)
        result = UNABLE
        try:
            await site.open()
            result = await asyncio.wait_for(scenario(site), 100)
        except (RuntimeError, OSError, asyncio.TimeoutError) as error:
            site.record.note(f"the case could not run: {error}")
        finally:
            site.close()
        site.record.note(f"result: {['the rule held', 'the rule was broken', 'could not run'][result]}")
        return result

    sys.exit(asyncio.run(run()))
