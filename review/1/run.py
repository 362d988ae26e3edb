"""A frozen machine of a worker misses a stop, and the task runs twice at the same time."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import job_of  # noqa: E402
from system import BOUNDS, background, overlaps, play  # noqa: E402

JOB = "5c0e7a21d94b36f8"
DEADLINE_MS = 1500
TASK_MS = 5000
FREEZE_AT_S = 1.2
FREEZE_S = 0.8


def case(system, trouble):
    client = system.client()
    first, second = system.entries[0], system.entries[1]
    begun = time.monotonic()
    answers = []

    def hand_in():
        """Sends the job, and again after 504, 502 or no answer, as PROTOCOL.md says."""
        for entry in (first, second):
            status, _ = client.post(entry.node, system.front(entry), JOB, job_of(TASK_MS),
                                    DEADLINE_MS)
            answers.append(status)
            if status not in (None, 502, 504):
                return
            time.sleep(BOUNDS["retransmitMs"] / 1000)

    caller = background(hand_in)
    time.sleep(FREEZE_AT_S)
    runs = system.runs()
    if len(runs) != 1:
        raise RuntimeError(f"{len(runs)} runs have begun, not 1")
    if trouble:
        agent = system.agents[int(runs[0].worker.split("-")[1]) - 1]
        system.send(agent, signal.SIGSTOP)
        time.sleep(FREEZE_S)
        system.send(agent, signal.SIGCONT)
    caller.join(10)
    time.sleep(max(0, begun + 6 - time.monotonic()))
    return [f"TWICE: {one.task} runs on {one.worker} (run {one.number}) and on {other.worker} "
            f"(run {other.number}) at the same time from {system.record.seconds(other.begun):.3f}"
            f" to {system.record.seconds(min(one.ended or 1e9, other.ended or 1e9)):.3f}"
            for one, other in overlaps(system.runs())]


play(case, entries=3, agents=4, timeout_ms=DEADLINE_MS)
