"""Starts the system's own programs for the scripts under review/, as the deploy file says."""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

from standins import Client, Record, Store, Worker, call

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
LONGEST_S = 115
ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
ZONES = ["fukuoka", "kumamoto", "kagoshima"]
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "diagram-archive"
# The bounds of sites/hinokuni-archive.toml.
BOUNDS = {"contactMs": 3000, "ackTimeoutMs": 4000, "drainMs": 2000, "graceS": 6,
          "configDeadlineMs": 2000, "holdMaxMs": 1000, "stopMs": 50, "cancel_ms": 3000,
          "farX": 1.5, "retransmitMs": 1300}


def lookup(scope, path):
    if path == ".":
        return scope
    for part in path.split("."):
        try:
            scope = scope[int(part)] if isinstance(scope, list) else scope[part]
        except (KeyError, IndexError, TypeError):
            return None
    return scope


def render(template, fields):
    """Fills the placeholders of DEPLOY.md that this project's templates use."""
    def section(match):
        return match.group(2) if lookup(fields, match.group(1)) else ""

    def value(match):
        found = lookup(fields, match.group(1))
        if match.group(2) or isinstance(found, (dict, list)):
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^#/^}|]+)(\|json)?\}\}", value, text)


class Machine:
    def __init__(self, node, role, ip, zone):
        self.node = node
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process = None
        self.log = None


class System:
    """Machines of a small deployment, each with an address of its own on the loopback range."""

    def __init__(self, record, entries, agents, timeout_ms, cpu=64000):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="bluebellquay-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self._choose_addresses(entries + agents)
        self.store = Store((self.net + ".0.250", self.port + 9))
        self.config = {
            "version": 7,
            "routes": [{"name": "r-3hwrr6x", "host": HOST, "pathPrefix": PREFIX, "type": "unsafe",
                        "timeoutMs": timeout_ms, "objectiveMs": 60, "priority": 0,
                        "service": SERVICE, "maxAttempts": 4, "slackFactor": 1.6}],
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 64,
                          "protocol": "h1", "tls": False, "enforcesCapacity": False,
                          "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}
        self.put_config()
        self.entries = [self._machine("edge", "entry", number) for number in range(entries)]
        self.agents = [self._machine("side", "agent", number) for number in range(agents)]
        self.workers = []
        self.cpu = cpu

    def put_config(self):
        self.store.put("op", "config", json.dumps(self.config).encode())

    def _choose_addresses(self, machines):
        for _ in range(100):
            self.net = f"127.{random.randint(20, 250)}"
            self.port = random.randint(10000, 30000)
            addresses = [f"{self.net}.0.{number + 1}" for number in range(machines)]
            addresses += [f"{self.net}.0.{number + 101}" for number in range(machines)]
            addresses.append(self.net + ".0.250")
            if all(self._free(ip, self.port + offset) for ip in addresses for offset in range(10)):
                return
        raise RuntimeError("no free ports")

    @staticmethod
    def _free(ip, port):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
        return True

    def _machine(self, kind, role, number):
        zone = ZONES[number % len(ZONES)]
        index = number if role == "entry" else len(self.entries) + number
        machine = Machine(f"{kind}-{zone}-{number // len(ZONES) + 1}", role,
                          f"{self.net}.0.{index + 1}", zone)
        return machine

    def front(self, entry):
        return entry.ip, self.port + 2

    def control(self, agent):
        return agent.ip, self.port + 4

    def start(self, machine, settings=""):
        role = self.deploy["roles"][machine.role]
        listens = {"control": "%s:%d" % self.control(machine)}
        if machine.role == "entry":
            listens = {"front": f"{machine.ip}:{self.port + 2}",
                       "ready": f"{machine.ip}:{self.port + 3}"}
        fields = {"node": machine.node, "zone": machine.zone, "region": "kyushu",
                  "ip": machine.ip, "portRange": [self.port, self.port + 1],
                  "zones": {zone: "kyushu" for zone in ZONES}, "bounds": BOUNDS,
                  "listenAddrs": listens, "orders": "invocation",
                  "platform": {"address": f"{self.net}.0.250:{self.port + 9}"}}
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields) + settings
        path = os.path.join(self.folder, machine.node + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        words = [path if word == "/etc/bluebellquay/node.json" else word
                 for word in role["run"].split()]
        words[0] = os.path.join(ROOT, words[0])
        machine.log = os.path.join(self.folder, machine.node + ".log")
        with open(machine.log, "ab") as log:
            machine.process = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.DEVNULL,
                                               stdout=log, stderr=log)
        self.record.write(f"process {machine.node} started")

    def send(self, machine, number):
        self.record.write(f"process {machine.node} gets {signal.Signals(number).name}")
        machine.process.send_signal(number)

    def begin(self):
        for machine in self.entries + self.agents:
            self.start(machine)
        time.sleep(0.5)
        for number, agent in enumerate(self.agents):
            address = (f"{self.net}.0.{number + 101}", self.port + 5)
            self.workers.append(Worker(self.record, f"i-{number + 1}", address,
                                       self.control(agent), agent.zone, SERVICE, self.cpu))
        until = time.monotonic() + 20
        for entry in self.entries:
            while not self._ready(entry):
                if time.monotonic() > until:
                    raise RuntimeError(entry.node + " does not get ready")
                time.sleep(0.1)
        time.sleep(2)

    def _ready(self, entry):
        try:
            return call((entry.ip, self.port + 3), "GET", "/v1/readiness", timeout=1)[0] == 200
        except OSError:
            return False

    def client(self):
        return Client(self.record, HOST, PREFIX)

    def runs(self):
        return sorted((run for worker in self.workers for run in worker.runs),
                      key=lambda run: run.begun)

    def end(self):
        for worker in self.workers:
            worker.leave()
        for machine in self.entries + self.agents:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
            if machine.process:
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def background(function, *arguments):
    thread = threading.Thread(target=function, args=arguments, daemon=True)
    thread.start()
    return thread


def overlaps(runs):
    """Pairs of runs of one task that were under way at the same time."""
    found = []
    for number, one in enumerate(runs):
        for other in runs[number + 1:]:
            if one.task == other.task and (one.ended is None or other.begun < one.ended):
                found.append((one, other))
    return found


def play(case, entries, agents, timeout_ms, cpu=64000):
    """Runs case(system, trouble), which returns what broke the rule, and ends the script."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    record.write("script  with the disruption" if trouble else "script  without the disruption")
    signal.signal(signal.SIGALRM, lambda *_: (_ for _ in ()).throw(TimeoutError()))
    signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(KeyboardInterrupt()))
    signal.alarm(LONGEST_S)
    system = None
    try:
        system = System(record, entries, agents, timeout_ms, cpu)
        system.begin()
        broken = case(system, trouble)
        for line in broken:
            record.write("broken  " + line)
        code = EXIT_BROKEN if broken else EXIT_HELD
    except BaseException:
        record.write("script  could not run: " + traceback.format_exc())
        code = EXIT_NOT_RUN
    finally:
        signal.alarm(0)
        if system:
            system.end()
    record.write(f"script  ends with {code}")
    print(open(os.path.join(folder, "record.txt"), encoding="utf-8").read(), end="")
    record.close()
    sys.stdout.flush()
    os._exit(code)
