"""Starts the project's programs as separate processes on loopback, with the commands and templates of the deploy file and
the figures of the sheet of hinokuni-archive, beside the stand-ins, and ends them. Writes record.txt."""

import asyncio
import json
import os
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(FOLDER))
sys.path.insert(0, os.path.join(ROOT, "review", "standins-3"))
import standins  # noqa: E402

BOUNDS = {"graceS": 6, "holdMaxMs": 1000, "stopMs": 50, "farX": 1.5, "retransmitMs": 1300}
ZONES = ("fukuoka", "kumamoto", "kagoshima")
AGENTS = 4
STORE_IP = "127.60.0.1"


class Record:
    """Lines with the time in seconds since the script began."""

    def __init__(self):
        self.file = open(os.path.join(FOLDER, "record.txt"), "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def note(self, text):
        print(f"{self.now():8.3f} {text}", file=self.file, flush=True)


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


class Machine:
    """A machine of the system with the one process that runs there."""

    def __init__(self, programs, role, number, zone):
        self.programs, self.role, self.zone = programs, role, zone
        self.name = f"{'edge' if role == 'entry' else 'side'}-{zone}-{number}"
        programs.machines += 1
        self.ip = f"127.61.{os.getpid() % 250 + 1}.{programs.machines}"
        port = free_ports(self.ip, 5)
        self.front, self.ready = (self.ip, port + 2), (self.ip, port + 3)
        self.control = (self.ip, port + 4)
        fields = {
            "node": self.name, "ip": self.ip, "zone": zone, "region": "kyushu",
            "zones": {name: "kyushu" for name in ZONES}, "portRange": [port, port + 1],
            "listenAddrs": {"front": "%s:%d" % self.front, "ready": "%s:%d" % self.ready,
                            "control": "%s:%d" % self.control},
            "limits": {"memoryMb": 260 if role == "entry" else 128, "maxFds": 4100}, "bounds": BOUNDS,
            "orders": "invocation", "platform": {"address": programs.store_address}}
        with open(os.path.join(ROOT, "deploy", role + ".toml"), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        self.settings = os.path.join(programs.folder, self.name + ".toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            command = re.search(r"\[roles\.%s\]\s*\nrun = \"([^\"]+)\"" % role, file.read())[1].split()
        self.command = [os.path.join(ROOT, command[0])] + \
            [self.settings if word.endswith("node.json") else word for word in command[1:]]
        self.process = None

    def start(self):
        self.programs.record.note(f"{self.name} is started")
        with open(os.path.join(self.programs.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                                            stderr=log)


class Programs:
    """One entry in each zone, agents with their workers, and the store. The first worker is of kind b, the others of
    kind a. told(event, worker, task, run, how) hears what the workers do."""

    def __init__(self, told):
        self.record = Record()
        self.told = told
        self.folder = tempfile.mkdtemp(prefix="bluebellquay-review-")
        self.client = standins.Client(self.record.note)
        self.entries, self.agents, self.workers, self.machines = [], [], [], 0

    async def open(self):
        self.store = standins.Store()
        self.store_address = f"{STORE_IP}:{await self.store.server.listen(STORE_IP)}"
        self.configure(3, ["/x/"])
        for zone in ZONES:
            self.entries.append(Machine(self, "entry", 1, zone))
        for number in range(AGENTS):
            self.agents.append(Machine(self, "agent", number + 1, ZONES[number % len(ZONES)]))
        for machine in self.entries + self.agents:
            machine.start()
        for number, agent in enumerate(self.agents):
            worker = standins.Worker(self.tell, f"i-{number}", agent.zone, "a" if number else "b",
                                     f"r1-{number // 3}", agent.control)
            await worker.open(agent.ip)
            self.workers.append(worker)
        for entry in self.entries:
            await self.until_ready(entry)
        # The first seconds are those before the traffic: all links are there, all workers announced.
        await asyncio.sleep(3)
        self.record.note("all entries are ready")

    def tell(self, event, worker, task, run, how):
        self.record.note(f"{event} {task} run {run} on {worker} {how}".rstrip())
        self.told(event, worker, task, run, how)

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
                if (await standins.call(entry.ready, "GET", "/v1/readiness", timeout=1))[0] == 200:
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
        shutil.rmtree(self.folder, ignore_errors=True)
