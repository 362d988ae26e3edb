"""An entry is killed while an agent that runs its task stands still twice, for half a second and
again soon after."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "shared-2"))
import deployment

KEY = "9b3d52c7a1f04e68"
JOB = {"bestEffort": True, "spec": "4000",
       "steps": [{"count": 1, "cpu": 6200, "memMb": 256, "estimateMs": 4000}]}
DEADLINE_MS = 10000
# Seconds from the kill of the entry.
FIRST_FREEZE = -0.17
FIRST_WAKE = 0.28
SECOND_FREEZE = 0.46
SECOND_WAKE = 3.0


def case(site, trouble):
    home, other = site.entries
    submission = site.call_in_background("POST", home, KEY, JOB, DEADLINE_MS, "first")
    site.wait_until(lambda: site.record.of("run_started"), 2, "the first run")
    started = site.record.of("run_started")[0]
    agent = next(a for a in site.agents if a.worker.name == started["worker"])
    time.sleep(0.5)
    if not trouble:
        submission.join()
        return deployment.overlaps(site.record)
    began = time.monotonic() - FIRST_FREEZE
    steps = [(FIRST_FREEZE, agent.freeze), (0, home.kill), (FIRST_WAKE, agent.wake),
             (SECOND_FREEZE, agent.freeze)]
    for at, step in steps:
        time.sleep(max(0, began + at - time.monotonic()))
        step()
    submission.join(1)
    broken = submission.results[0]["t"] / 1000 + site.record.began
    time.sleep(max(0, broken + deployment.RETRANSMIT_S - time.monotonic()))
    again = site.call_in_background("POST", other, KEY, JOB, DEADLINE_MS, "again")
    time.sleep(max(0, began + SECOND_WAKE - time.monotonic()))
    agent.wake()
    again.join()
    return deployment.overlaps(site.record)


deployment.run_case(FOLDER, lambda: deployment.Site(entries=2, agents=3), case)
