"""A dispatcher is killed; the next start forgets keyed requests before their class's window is over."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    BROKEN,
    HELD,
    HOST,
    Client,
    CouldNotRunError,
    Discovery,
    Dispatcher,
    Job,
    Record,
    Worker,
    free_port,
    run_case,
    settings,
    trouble,
)

RACKS, WORKERS_PER_RACK = 5, 2
REQUESTS = 20
RUN_SECONDS = 1.2
WINDOW_MS, DEADLINE_MS = 7500.0, 5000  # of the class `save-route` in the sidecar's settings
SIDE_EFFECT_WINDOW_MS = 0.0  # the sidecar's settings have no side-effect class
REPEAT_AFTER_SECONDS = 3.0  # after the first try, so within the deadline and the window


async def case(record: Record, folder: Path, dispatchers: list[Dispatcher]) -> int:
    """Runs the case; returns its exit status."""
    # When each key took effect. A rack drops a repeat of a key within the window.
    effects: dict[str, list[float]] = {}
    seen_by_rack: dict[tuple[int, str], float] = {}

    async def run(job: Job) -> None:
        await job.begin()
        await job.say("started")
        rack, now = int(job.worker.name[1:]) // WORKERS_PER_RACK, record.now()
        if (now - seen_by_rack.get((rack, job.key), -1e9)) * 1000.0 < WINDOW_MS:
            record.note(job.worker.name, f"drops the repeat of {job.key}")
        else:
            seen_by_rack[rack, job.key] = now
            effects.setdefault(job.key, []).append(now)
            record.note(job.worker.name, f"runs {job.key} (rack {rack})")
        await asyncio.sleep(RUN_SECONDS)
        await job.done()

    discovery = Discovery(record)
    await discovery.start()
    for i in range(RACKS * WORKERS_PER_RACK):
        worker = Worker(f"w{i}", record, run)
        await worker.start()
        discovery.tell(**worker.entry(cell=1 + i // WORKERS_PER_RACK))

    port = free_port()
    config = {
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:{discovery.port}",
        "state_dir": str(folder / "state"),
        "state": {"unsafe_window_ms": SIDE_EFFECT_WINDOW_MS},
        "settings": settings(),
    }
    dispatcher = Dispatcher(record, folder, "n0", config)
    dispatchers.append(dispatcher)
    await dispatcher.start()

    async def send(i: int, id: str, timeout_ms: int) -> int:
        answer = await Client(port, record).send("/save-route/r", id, timeout_ms, f"key-{i}")
        return answer.status

    began = record.now()
    tries = []
    for i in range(REQUESTS):
        tries.append(asyncio.create_task(send(i, f"try1-{i}", DEADLINE_MS)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.2)
    if trouble():
        dispatcher.signal(signal.SIGKILL)
        await dispatcher.wait_end(5.0)
        await dispatcher.start()
    statuses = await asyncio.gather(*tries)
    cut_off = [i for i, status in enumerate(statuses) if not status]
    if trouble() and not cut_off:
        raise CouldNotRunError("no request was out when the dispatcher was killed")
    # The next start has been up for a second, also where a start is slow.
    await asyncio.sleep(max(1.0, began + REPEAT_AFTER_SECONDS - record.now()))
    time_left = DEADLINE_MS - int((record.now() - began) * 1000.0)
    await asyncio.gather(*(send(i, f"try2-{i}", time_left) for i in reversed(cut_off)))

    twice = sorted(key for key, times in effects.items() if len(times) > 1)
    record.note("case", f"{len(effects)} keys took effect, twice: {', '.join(twice) or 'none'}")
    return BROKEN if twice else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
