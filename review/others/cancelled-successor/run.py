"""A cancel is acknowledged, but the job's repeated submission, which waits behind it, runs."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins"))
from standins import job_of  # noqa: E402
from system import BOUNDS, background, play  # noqa: E402

JOB = "5c0e7a21d94b36f8"
DEADLINE_MS = 20000
TASK_MS = 1000
STEPS = 9
FREEZE_AT_S = 1.5
FREEZE_S = 4.0
LEAVE_AFTER_S = 1.7


def case(system, trouble):
    client = system.client()
    home = system.entries[0]
    job = job_of(TASK_MS, steps=STEPS)
    begun = time.monotonic()

    def wait_until(seconds):
        time.sleep(max(0, begun + seconds - time.monotonic()))

    def hand_in():
        """Leaves early, and sends the job again after the broken connection, as the pages say."""
        client.post(home.node, system.front(home), JOB, job, DEADLINE_MS, leave_s=LEAVE_AFTER_S)
        time.sleep(BOUNDS["retransmitMs"] / 1000)
        client.post(home.node, system.front(home), JOB, job, DEADLINE_MS)

    caller = background(hand_in)
    wait_until(FREEZE_AT_S)
    running = [run for run in system.runs() if run.ended is None]
    if len(running) != 1:
        raise RuntimeError(f"{len(running)} runs are under way, not 1")
    agent = system.agents[int(running[0].worker.split("-")[1]) - 1]
    if trouble:
        system.send(agent, signal.SIGSTOP)
    wait_until(LEAVE_AFTER_S + BOUNDS["retransmitMs"] / 1000 + 0.3)
    status, _ = client.cancel(home.node, system.front(home), JOB)
    if status is None or not (200 <= status < 300 or status == 410):
        raise RuntimeError("the cancel was not acknowledged")
    acknowledged = time.monotonic()
    wait_until(FREEZE_AT_S + FREEZE_S)
    if trouble:
        system.send(agent, signal.SIGCONT)
    caller.join(30)
    limit = acknowledged + BOUNDS["cancel_ms"] / 1000
    return [f"UNASKED: {run.worker} is told to start {run.task} {run.begun - acknowledged:.3f} s "
            "after the cancel was acknowledged" for run in system.runs() if run.begun > limit]


play(case, entries=3, agents=4, timeout_ms=DEADLINE_MS)
