"""A liveness report of another writer, with fields missing, reaches an agent whose worker is at work."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import shed

ROUNDS = 5
JOBS = 12


async def play(pool, has_trouble):
    for index in range(ROUNDS):
        if not shed.has_time():
            break
        jobs = [pool.job(tasks=4, work_ms=2500, cpu=3100, estimate_ms=900) for _ in range(JOBS)]
        clients = [
            asyncio.ensure_future(pool.submit(job, pool.entries, deadline_ms=9000)) for job in jobs]
        await asyncio.sleep(0.4)
        if has_trouble:
            worker = pool.workers[index]
            # `zone`, `version`, `slots`, `coldRemainingMs`, `labels` and `clockMs` are missing.
            report = {
                "service": shed.SERVICE, "address": f"{worker.ip}:{pool.app_port + 900}", "state": "ready",
                "capacity": {"cpu": 32000, "memMb": 65536}, "sequence": 1, "born": int(time.time() * 1000)}
            answer = await shed.request(
                worker.ip, pool.control_port, "POST", "/Instances.Heartbeat/i-another", report)
            pool.note("report of another writer", to=f"side-{worker.index}", answer=answer)
        await asyncio.gather(*clients)
        await asyncio.sleep(1.0)
    return shed.twice(pool)


shed.run_case(play, os.path.dirname(os.path.abspath(__file__)), entries=4, workers=11, seed=None)
