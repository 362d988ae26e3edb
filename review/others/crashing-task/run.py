"""A task that takes its workers down before its start is answered is started again and again."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..",
                                "standins"))
from standins import job_of  # noqa: E402
from system import play  # noqa: E402

JOB = "5c0e7a21d94b36f8"
DEADLINE_MS = 30000
TASK_MS = 900
# After three workers have crashed under a task, three more starts break the rule.
MOST_STARTS = 5


def case(system, trouble):
    entry = system.entries[0]
    job = job_of(TASK_MS)
    if trouble:
        job["spec"] = "crash"
    system.client().post(entry.node, system.front(entry), JOB, job, DEADLINE_MS)
    crashes = sum(len(worker.crashes) for worker in system.workers)
    if crashes <= MOST_STARTS:
        return []
    return [f"BUDGET: one task is started {crashes} times, and takes a worker down each time"]


play(case, entries=3, agents=4, timeout_ms=DEADLINE_MS)
