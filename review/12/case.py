"""A caller cancels its job while the job's home is frozen; the home wakes and goes on with the job."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-3"))
import deployment  # noqa: E402

KEY = "5c0e7a21d94b36f1"
# A chain of tasks, each of which is ordered when the one before is done.
STEPS = [(1, 600)] * 16
DEADLINE_MS = 16_000
FREEZE_S = 4.0


async def scenario(site):
    home, other = site.entries[0], site.entries[1]
    job = asyncio.ensure_future(site.submit(home, KEY, STEPS, DEADLINE_MS))
    await site.until_running(KEY + ".0.0.0")
    await asyncio.sleep(0.5)
    if deployment.trouble():
        home.freeze()
        asyncio.get_running_loop().call_later(FREEZE_S, home.wake)
    await asyncio.sleep(0.5)
    acknowledged = await site.cancel(other, KEY, seconds=6)
    if acknowledged is None:
        site.record.note("no acknowledgement")
        return deployment.UNABLE
    result = await deployment.unasked(site, KEY, acknowledged)
    await job
    return result


deployment.play(FOLDER, scenario)
