"""Entries are killed while workers carry out a part of their orders late."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import shed

ROUNDS = 6
JOBS = 12
LATE_SHARE = 0.5
LATE_FOR_S = 5.0


async def play(pool, has_trouble):
    for index in range(ROUNDS):
        if not shed.has_time():
            break
        first = pool.entries[index % len(pool.entries)]
        others = [entry for entry in pool.entries if entry is not first]
        jobs = [pool.job(tasks=4, work_ms=3500, cpu=3100, estimate_ms=900) for _ in range(JOBS)]
        clients = [
            asyncio.ensure_future(pool.submit(job, [first] + others, deadline_ms=9000)) for job in jobs]
        await asyncio.sleep(0.3)
        if has_trouble:
            pool.note("workers begin to carry out orders late", share=LATE_SHARE)
            for worker in pool.workers:
                worker.late_share = LATE_SHARE
            restart = asyncio.ensure_future(first.kill(restart_s=0.5))
            await asyncio.sleep(LATE_FOR_S)
            for worker in pool.workers:
                worker.late_share = 0.0
            pool.note("workers carry out orders at once")
            await restart
        await asyncio.gather(*clients)
        # Orders are carried out up to 12 s late; those of this round shall not meet the next one.
        await asyncio.sleep(1.0)
    return shed.twice(pool)


shed.run_case(play, os.path.dirname(os.path.abspath(__file__)), entries=4, workers=11, seed=None)
