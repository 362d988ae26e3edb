"""The configuration changes after the platform's store has answered no call for some seconds."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-3"))
import deployment  # noqa: E402

SILENT_AFTER_S = 18.0
SILENT_S = 4.5
# Longer than contactMs after the end of the disruption: the store is stable, the machines are in touch.
CHANGE_AFTER_S = 4.0
PROBES = 10


async def scenario(site):
    begun = site.configure(4, ["/x/", "/dropped/"])
    await asyncio.sleep(SILENT_AFTER_S)
    if deployment.trouble():
        site.store.silent = True
        site.record.note("the store answers no call")
    await asyncio.sleep(SILENT_S)
    site.store.silent = False
    site.record.note(f"the store answers, {site.record.now() - begun:.3f} s after the first configuration")
    await asyncio.sleep(CHANGE_AFTER_S)
    acknowledged = site.configure(9, ["/x/", "/added/"])
    await asyncio.sleep(deployment.BOUNDS["configDeadlineMs"] / 1000 + 0.1)
    broken = 0
    for number in range(PROBES):
        for index, entry in enumerate(site.entries):
            age = site.record.now() - acknowledged
            for prefix, allowed in (("/dropped/", 404), ("/added/", 200)):
                key = f"5c0e7a21d94b{number:02x}{index}{allowed // 100}"
                status = await site.submit(entry, key, [(1, 20)], 1_000, prefix=prefix)
                if (status == 404) != (allowed == 404):
                    broken += 1
                    site.record.note(f"broken: {status} as only an older version allows, sent {age:.3f} s after the "
                                     f"acknowledgement")
        await asyncio.sleep(0.5)
    return deployment.BROKEN if broken else deployment.HELD


deployment.play(FOLDER, scenario)
