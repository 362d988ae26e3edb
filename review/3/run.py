"""A heartbeat of another writer for an unknown service makes a task run twice at the same time."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import call, job_of  # noqa: E402
from system import background, overlaps, play  # noqa: E402

JOB = "5c0e7a21d94b36f8"
DEADLINE_MS = 9000
TASK_MS = 3000


def foreign_heartbeat():
    """Whole in its form, but of a service that no configuration and no settings name."""
    return {"service": "huvo11a", "address": "127.0.0.1:9", "zone": "fukuoka", "version": "v1",
            "capacity": 8, "state": "ready", "coldRemainingMs": 0, "labels": ["a", "r1-9"],
            "freeCapacity": {"cpu": 16000, "memMb": 32768, "gpu": 0}, "clockMs": 482113,
            "born": int(time.time() * 1000), "sequence": 4}


def case(system, trouble):
    client = system.client()
    entry = system.entries[0]
    caller = background(client.post, entry.node, system.front(entry), JOB, job_of(TASK_MS),
                        DEADLINE_MS)
    time.sleep(1)
    runs = system.runs()
    if len(runs) != 1:
        raise RuntimeError(f"{len(runs)} runs have begun, not 1")
    if trouble:
        agent = system.agents[int(runs[0].worker.split("-")[1]) - 1]
        status, _ = call(system.control(agent), "PUT", "/v1/instances/i-7f3a91c2",
                         foreign_heartbeat(), timeout=1)
        system.record.write(f"writer  heartbeat of i-7f3a91c2, service huvo11a, to {agent.node} is "
                            f"answered {status}")
    caller.join(DEADLINE_MS / 1000 + 1)
    return [f"TWICE: {one.task} runs on {one.worker} (run {one.number}) and on {other.worker} "
            f"(run {other.number}) at the same time for "
            f"{(min(one.ended, other.ended) - other.begun) * 1000:.0f} ms from "
            f"{system.record.seconds(other.begun):.3f}"
            for one, other in overlaps(system.runs())]


play(case, entries=3, agents=4, timeout_ms=DEADLINE_MS)
