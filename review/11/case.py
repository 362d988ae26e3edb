"""Orders of an entry that is killed while it is cut off arrive late, and then an agent's machine freezes."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-3"))
import deployment  # noqa: E402

FIRST = "5c0e7a21d94b36f4"
KEY = "5c0e7a21d94b36f5"
# As many tasks as there is room for on all workers.
STEPS = [(39, 3_000)]
DEADLINE_MS = 9_000
CUT_S = 0.55
FREEZE_S = 2.5


async def scenario(site):
    home, other = site.entries[0], site.entries[1]
    agent = site.agents[0]
    # One short task on the worker of the only machine of this kind.
    first = asyncio.ensure_future(site.submit(home, FIRST, [(1, 15)], DEADLINE_MS, label="b"))
    await site.until_running(FIRST + ".0.0.0")
    begun = site.record.now()
    if deployment.trouble():
        home.relay.cut()
        site.record.note(f"{home.name} is cut off from the other machines")
    job = asyncio.ensure_future(site.submit_until_answered([home, other, other], KEY, STEPS, DEADLINE_MS))
    await asyncio.sleep(0.05)
    if deployment.trouble():
        home.kill()
        await asyncio.sleep(max(0, begun + CUT_S - site.record.now()))
        home.relay.heal()
        site.record.note(f"{home.name} is cut off no longer")
        await asyncio.sleep(0.1)
        agent.freeze()
        await asyncio.sleep(FREEZE_S)
        agent.wake()
        home.start()
    await job
    await first
    for at, task in site.judge.overlaps:
        site.record.note(f"broken: two runs of {task} at {at:.3f}")
    return deployment.BROKEN if site.judge.overlaps else deployment.HELD


deployment.play(FOLDER, scenario, relayed=True)
