"""An entry is killed while an agent that runs its task stands still twice, for half a second and
again soon after."""

import os
import signal
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


def overlaps(record):
    """Pairs of runs of one task that were on workers at the same time."""
    spans = []
    for start in record.of("run_started"):
        ends = record.of("run_ended", worker=start["worker"], task=start["task"], run=start["run"])
        spans.append((start, ends[0]["t"] if ends else record.now()))
    found = []
    for i, (one, one_end) in enumerate(spans):
        for other, other_end in spans[i + 1:]:
            shared = min(one_end, other_end) - max(one["t"], other["t"])
            if one["task"] == other["task"] and shared > 0:
                found.append(f"TWICE: {one['task']} ran on {one['worker']} and {other['worker']} "
                             f"at the same time, for {shared:.0f} ms")
    return found


def case(site, trouble):
    home, other = site.entries
    submission = site.call_in_background("POST", home, KEY, JOB, DEADLINE_MS, "first")
    site.wait_until(lambda: site.record.of("run_started"), 2, "the first run")
    started = site.record.of("run_started")[0]
    agent = next(a for a in site.agents if a.worker.name == started["worker"])
    time.sleep(0.5)
    if not trouble:
        submission.join()
        return overlaps(site.record)
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
    return overlaps(site.record)


def run_case():
    """Runs a case: `case()` returns the breaches of the rule. Exits with 1 if
    there are any, with 0 if there are none, with 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site, status, verdict = None, 2, ""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        site = deployment.Site(entries=2, agents=3)
        site.wait_until_ready()
        breaches = case(site, trouble)
        status = 1 if breaches else 0
        verdict = "broken: " + "; ".join(breaches) if breaches else "the rule held"
    except deployment.CouldNotRun as reason:
        verdict = f"could not run: {reason}"
    finally:
        if site is not None:
            site.close()
            site.record.write(os.path.join(FOLDER, "record.txt"),
                              verdict + ("" if trouble else " (TROUBLE=0)"))
    print(verdict)
    sys.stdout.flush()
    os._exit(status)


run_case()
