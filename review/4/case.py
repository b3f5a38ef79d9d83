"""A worker crashes and returns as another kind while an entry is cut off for half a second."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import shed

ROUNDS = 5
CUT_MS = 500
CRASH_AFTER_MS = 150
DOWN_MS = 150
JOBS = 10
KINDS = ["a", "a", "b"]


async def play(pool, has_trouble):
    entry, link, wanted = pool.entries[0], pool.links[0], {}
    for index in range(ROUNDS):
        if not shed.has_time():
            break
        # The kinds of the last round may have changed.
        worker = next(worker for worker in pool.workers if "a" in worker.labels)
        for _ in range(3):
            await pool.submit(pool.job(tasks=22, work_ms=30, cpu=8000), [entry])
        if has_trouble:
            pool.note("the entry is cut off", entry=entry.name)
            link.cut()
        jobs = [pool.job(tasks=4, work_ms=200, cpu=3100, constraints="a") for _ in range(JOBS)]
        wanted |= {job["id"]: "a" for job in jobs}
        clients = []
        for job in jobs:
            clients.append(asyncio.ensure_future(pool.submit(job, pool.entries, deadline_ms=4000)))
            await asyncio.sleep(0.01)
        if has_trouble:
            await asyncio.sleep((CRASH_AFTER_MS - 10 * JOBS) / 1000)
            worker.crash()
            await asyncio.sleep(DOWN_MS / 1000)
            await worker.boot(labels=["b", worker.labels[1]], new_id=f"i-{worker.index}-{index}")
            await asyncio.sleep((CUT_MS - CRASH_AFTER_MS - DOWN_MS) / 1000)
            pool.note("the entry is reached again", entry=entry.name)
            link.heal()
        await asyncio.gather(*clients)
        await asyncio.sleep(2.0)
    return [
        f"ROUTE: task {run.task} needs the label {wanted[job]}, and worker {run.worker.index} with the labels "
        f"{','.join(run.labels)} was told to start it at {run.started:.0f} ms"
        for run in pool.runs
        if (job := run.task.split(".")[0]) in wanted and wanted[job] not in run.labels]


shed.run_case(
    play, os.path.dirname(os.path.abspath(__file__)), entries=4, workers=11, seed=None, links=True,
    labels=lambda index: [KINDS[index % len(KINDS)], f"r1-{index // 3}"])
