"""A zone is cut off, and the channel of a client in it is reset; the client sends its job again.

`claim.txt` has the rule and the sentences of the pages. ONLY=cut and ONLY=reset play one of the two
disruptions.
"""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from bed import Channel, job_body, now_s, run  # noqa: E402

JOB = "5c0e7a21d94b36f8"
BODY = job_body(4, 3.5)
DEADLINE_MS = 12_000
CUT_S = 5.5
RESET_S = 0.3  # after the beginning of the cut
RESEND_S = 1.3  # `retransmit_ms`


async def send(bed, inside, outside, channel):
    """Hand the job in, and once more if the answer is lost, as PROTOCOL.md says."""
    answer = await bed.post(inside, JOB, BODY, deadline_ms=DEADLINE_MS, via=channel)
    if answer[0] in (None, 502, 504):
        await asyncio.sleep(RESEND_S)
        answer = await bed.post(outside, JOB, BODY, deadline_ms=DEADLINE_MS)
    return answer


async def script(bed, trouble):
    """Return 1 if a task runs twice at the same time."""
    leader = await bed.leader()
    if leader is None:
        raise RuntimeError("no process gives orders")
    zone, only = bed.processes[leader], os.environ.get("ONLY")
    inside = next(n for n, place in bed.processes.items() if place == zone and n != leader)
    outside = next(n for n, place in bed.processes.items() if place != zone)
    channel = Channel()
    answer = asyncio.create_task(send(bed, inside, outside, channel))
    await asyncio.sleep(0.4)
    began_s = now_s()
    if trouble and only != "reset":
        bed.cut_zone(zone)
    await asyncio.sleep(RESET_S)
    if trouble and only != "cut":
        bed.record.note("the client's channel is reset")
        channel.reset()
    await asyncio.sleep(began_s + CUT_S - now_s())
    bed.heal()
    await answer
    return 1 if bed.overlaps() else 0


if __name__ == "__main__":
    sys.exit(run(script, FOLDER))
