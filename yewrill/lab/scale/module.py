"""Measures the policy module's processor time and state, and the endpoint list, at several sizes."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import Any

import ujson

from yewrill import Dispatcher, Settings
from yewrill.config.endpoints import read_endpoints
from yewrill.config.schema import TopologyNames
from yewrill.lab.scale.fit import fit_line
from yewrill.policy import interface as api

WORKER_SIZES = (60, 120, 240, 480, 680)
TENANT_SIZES = (2, 15, 30, 60, 120)
REQUESTS = 4000
DEADLINE_MS = 5000.0


def create_settings(tenants: int) -> Settings:
    """Returns settings with `tenants` tenants, each with its own quota."""
    share = 1.0 / tenants
    return Settings(
        classes=[
            api.RequestClass(
                "tour",
                latency_objective=200.0,
                deadline=DEADLINE_MS,
                priority_weight=1.0,
                objective_run_factor=2.0,
            )
        ],
        tenants=[api.Tenant(f"team{i:03d}", 64.0, share) for i in range(tenants)],
        dispatchers=1,
        reports_start=True,
        fifo=True,
        max_attempts=4,
    )


def create_module(workers: int, tenants: int) -> Dispatcher:
    """Creates a policy module with an endpoint list of `workers` workers."""
    module = Dispatcher(create_settings(tenants), 1)
    entries = [api.WorkerEntry(f"w{i:04d}", i % 11) for i in range(workers)]
    module.handle(0.0, [api.WorkerList(api.ListForm.CACHED, entries)])
    return module


def seconds_per_request(workers: int, tenants: int, requests: int = REQUESTS) -> float:
    """Returns the policy module's processor seconds per request, for its arrival, start and end."""
    module = create_module(workers, tenants)
    now, cpu_seconds = 1000.0, 0.0
    for number in range(requests):
        now += 2.8  # 2.8 ms between arrivals: about 360 requests per second
        name = f"j{number}"
        arrival = api.RequestArrived(name, 0, now + DEADLINE_MS, number % tenants, 1.0)
        began = time.process_time()
        actions = module.handle(now, [arrival])
        for action in actions:
            if isinstance(action, api.Send):
                worker = action.worker
                module.handle(now + 1.0, [api.AttemptStarted(name, 0, worker)])
                ended = api.AttemptEnded(name, 0, worker, api.PolicyOutcome.SERVED, 100.0, True)
                module.handle(now + 100.0, [ended])
        cpu_seconds += time.process_time() - began
    return cpu_seconds / requests


def state_bytes(workers: int, tenants: int) -> int:
    """Returns the bytes of memory that a policy module holds."""
    gc.collect()
    tracemalloc.start()
    module = create_module(workers, tenants)
    gc.collect()
    bytes_held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert module is not None
    return bytes_held


def measure_module(quick: bool) -> dict[str, Any]:
    """Measures time and state at five sizes each, and fits lines through the results."""
    requests = REQUESTS // 8 if quick else REQUESTS
    times = [1e6 * seconds_per_request(workers, 15, requests) for workers in WORKER_SIZES]
    by_worker = [float(state_bytes(workers, 15)) for workers in WORKER_SIZES]
    by_tenant = [float(state_bytes(60, tenants)) for tenants in TENANT_SIZES]
    fits = {
        "us_a_job": fit_line(WORKER_SIZES, times),
        "bytes_a_worker": fit_line(WORKER_SIZES, by_worker),
        "bytes_a_team": fit_line(TENANT_SIZES, by_tenant),
    }
    return {
        "workers": list(WORKER_SIZES),
        "us_a_job": [round(value, 1) for value in times],
        "state_by_worker": by_worker,
        "teams": list(TENANT_SIZES),
        "state_by_team": by_tenant,
        "fits": {
            name: {key: round(getattr(fit, key), 4) for key in fit.__slots__}
            for name, fit in fits.items()
        },
    }


def endpoint_list(workers: int) -> bytes:
    """Returns the body in which discovery sends a full endpoint list of `workers` workers."""
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
    """Measures the size of a full endpoint list, and the time to decode and validate it, at five sizes."""
    topology = TopologyNames(tuple(f"z{i:02d}" for i in range(11)), ("std5",))
    sizes, times = [], []
    for workers in WORKER_SIZES:
        body = endpoint_list(workers)
        sizes.append(float(len(body)))
        seconds = []
        for _ in range(3 if quick else 15):
            began = time.process_time()
            read_endpoints(ujson.loads(body), "answer", topology)
            seconds.append(time.process_time() - began)
        times.append(1e3 * sorted(seconds)[len(seconds) // 2])
    fits = {"bytes": fit_line(WORKER_SIZES, sizes), "ms": fit_line(WORKER_SIZES, times)}
    return {
        "workers": list(WORKER_SIZES),
        "bytes": sizes,
        "ms": [round(value, 2) for value in times],
        "fits": {
            name: {key: round(getattr(fit, key), 5) for key in fit.__slots__}
            for name, fit in fits.items()
        },
    }
