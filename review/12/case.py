"""The configuration changes after the platform's store has answered no call for some seconds. Checks CONFIG: a request
that is sent later than configDeadlineMs after the acknowledgement of a version is handled as only an older one allows."""

import asyncio
import os
import sys

from programs import Programs

# run.sh exits with 1 for BROKEN; Python itself ends with 1 after an error, which says nothing of the rule.
HELD, BROKEN, UNABLE = 0, 10, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONFIG_DEADLINE_MS = 2_000
SILENT_AFTER_S = 18.0
SILENT_S = 4.5
# Longer than contactMs (3 s) after the end of the disruption: the store is stable, the machines are in touch.
CHANGE_AFTER_S = 4.0
PROBES = 10


async def scenario(programs):
    record = programs.record
    begun = programs.configure(4, ["/x/", "/dropped/"])
    await asyncio.sleep(SILENT_AFTER_S)
    if TROUBLE:
        programs.store.silent = True
        record.note("the store answers no call")
    await asyncio.sleep(SILENT_S)
    programs.store.silent = False
    record.note(f"the store answers, {record.now() - begun:.3f} s after the first configuration")
    await asyncio.sleep(CHANGE_AFTER_S)
    acknowledged = programs.configure(9, ["/x/", "/added/"])
    await asyncio.sleep(CONFIG_DEADLINE_MS / 1000 + 0.1)
    broken = told = 0
    for number in range(PROBES):
        for index, entry in enumerate(programs.entries):
            for prefix, allowed in (("/dropped/", 404), ("/added/", 200)):
                age = record.now() - acknowledged
                path = f"{prefix}5c0e7a21d94b{number:02x}{index}{allowed // 100}"
                status = await programs.client.submit(entry.name, entry.front, path, 1, 20, 1_000)
                # No answer, or a refusal for want of room, says nothing of the version.
                told += status in (200, 404)
                if (allowed == 404 and status == 200) or (allowed == 200 and status == 404):
                    broken += 1
                    record.note(f"broken: {status} as only an older version allows, sent {age:.3f} s after the "
                                f"acknowledgement")
        await asyncio.sleep(0.5)
    if not told:
        record.note("no answer tells which version is in force")
        return UNABLE
    return BROKEN if broken else HELD


async def play():
    programs = Programs(lambda *_: None)
    result = UNABLE
    try:
        await programs.open()
        result = await asyncio.wait_for(scenario(programs), 100)
    except (RuntimeError, OSError, asyncio.TimeoutError) as error:
        programs.record.note(f"the case could not run: {error}")
    finally:
        programs.close()
    programs.record.note({HELD: "the rule held", BROKEN: "the rule was broken", UNABLE: "could not run"}[result])
    return result


sys.exit(asyncio.run(play()))
