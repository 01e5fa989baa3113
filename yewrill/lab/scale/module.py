"""What serving costs by size: the decision module's time and state, and the list of workers."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import Any

import ujson

from yewrill import Dispatcher, Settings
from yewrill.config.endpoints import read_endpoints
from yewrill.config.schema import TopologyNames
from yewrill.lab.scale.fit import line
from yewrill.policy import interface as api

WORKER_SIZES = (60, 120, 240, 480, 680)
TEAM_SIZES = (2, 15, 30, 60, 120)
JOBS = 4000
DEADLINE = 5000.0


def settings(teams: int) -> Settings:
    """Settings with so many teams, each with its quota."""
    share = 1.0 / teams
    return Settings(
        classes=[
            api.RequestClass(
                "tour",
                latency_objective=200.0,
                deadline=DEADLINE,
                priority_weight=1.0,
                objective_run_factor=2.0,
            )
        ],
        tenants=[api.Tenant(f"team{i:03d}", 64.0, share) for i in range(teams)],
        dispatchers=1,
        reports_start=True,
        fifo=True,
        max_attempts=4,
    )


def dispatcher(workers: int, teams: int) -> Dispatcher:
    """A module that knows so many workers."""
    module = Dispatcher(settings(teams), 1)
    entries = [api.WorkerEntry(f"w{i:04d}", i % 11) for i in range(workers)]
    module.handle(0.0, [api.WorkerList(api.ListForm.CACHED, entries)])
    return module


def time_a_job(workers: int, teams: int, jobs: int = JOBS) -> float:
    """Seconds of processor that the module takes for a job: arrival, start, end."""
    module = dispatcher(workers, teams)
    now, busy = 1000.0, 0.0
    for number in range(jobs):
        now += 2.8  # 360 a second
        name = f"j{number}"
        arrival = api.RequestArrived(name, 0, now + DEADLINE, number % teams, 1.0)
        began = time.process_time()
        actions = module.handle(now, [arrival])
        for action in actions:
            if isinstance(action, api.Send):
                worker = action.worker
                module.handle(now + 1.0, [api.AttemptStarted(name, 0, worker)])
                ended = api.AttemptEnded(name, 0, worker, api.PolicyOutcome.SERVED, 100.0, True)
                module.handle(now + 100.0, [ended])
        busy += time.process_time() - began
    return busy / jobs


def state(workers: int, teams: int) -> int:
    """Bytes of the module's state."""
    gc.collect()
    tracemalloc.start()
    module = dispatcher(workers, teams)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert module is not None
    return held


def measure_module(quick: bool) -> dict[str, Any]:
    """Time and state at five sizes each, and the lines through them."""
    jobs = JOBS // 8 if quick else JOBS
    times = [1e6 * time_a_job(workers, 15, jobs) for workers in WORKER_SIZES]
    by_worker = [float(state(workers, 15)) for workers in WORKER_SIZES]
    by_team = [float(state(60, teams)) for teams in TEAM_SIZES]
    fits = {
        "us_a_job": line(WORKER_SIZES, times),
        "bytes_a_worker": line(WORKER_SIZES, by_worker),
        "bytes_a_team": line(TEAM_SIZES, by_team),
    }
    return {
        "workers": list(WORKER_SIZES),
        "us_a_job": [round(value, 1) for value in times],
        "state_by_worker": by_worker,
        "teams": list(TEAM_SIZES),
        "state_by_team": by_team,
        "fits": {
            name: {key: round(getattr(fit, key), 4) for key in fit.__slots__}
            for name, fit in fits.items()
        },
    }


def list_of(workers: int) -> bytes:
    """Discovery's whole list of so many workers, as it is sent."""
    servers = [
        {
            "id": f"w{i:04d}",
            "addr": f"10.0.{i >> 8}.{i & 255}:8080",
            "zone": f"z{i % 11:02d}",
            "kind": "std5",
            "cell": 0,
            "state": "SERVING",
            "weight": 1.0,
            "started_ms": 0,
        }
        for i in range(workers)
    ]
    return ujson.dumps({"version": 1, "full": True, "servers": servers}).encode()


def measure_lists(quick: bool) -> dict[str, Any]:
    """A whole list at five sizes: bytes, and the time to read and check it."""
    places = TopologyNames(tuple(f"z{i:02d}" for i in range(11)), ("std5",))
    sizes, times = [], []
    for workers in WORKER_SIZES:
        body = list_of(workers)
        sizes.append(float(len(body)))
        took = []
        for _ in range(3 if quick else 15):
            began = time.process_time()
            read_endpoints(ujson.loads(body), "answer", places)
            took.append(time.process_time() - began)
        times.append(1e3 * sorted(took)[len(took) // 2])
    fits = {"bytes": line(WORKER_SIZES, sizes), "ms": line(WORKER_SIZES, times)}
    return {
        "workers": list(WORKER_SIZES),
        "bytes": sizes,
        "ms": [round(value, 2) for value in times],
        "fits": {
            name: {key: round(getattr(fit, key), 5) for key in fit.__slots__}
            for name, fit in fits.items()
        },
    }
