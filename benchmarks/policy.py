"""Compares the policy module's processor time per request in this work tree with that of a commit.

    python benchmarks/policy.py [--quick] [--before REV] [--rounds N]

A is this work tree; B is the commit REV (default HEAD), checked out into a temporary work tree. REV must have
the same names of settings. Each case runs in its own process with the same interpreter, in turn, A B A B. A
case has one dispatcher with 10, 200 or 5,000 workers of five slots. Requests arrive at 70% of the capacity of
its share of the workers and run once a slot is free; with `reports`, every answer carries a load report. With
`keys` (A only) each request has one of twice as many keys as there are workers, the k-th 1/k as often as the
first.

us_per_job is the processor time inside `handle` divided by the requests, median over the rounds. The last
line of standard output is one JSON object.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import subprocess
import sys
import tempfile
import time
from heapq import heappop, heappush
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REPORT_FIELDS = ("qps", "inflight", "x0")
CASES = [
    (workers, reports, keys)
    for workers in (10, 200, 5000)
    for reports, keys in ((False, False), (True, False), (True, True))
]


def play(workers: int, reports: bool, keys: bool, jobs: int) -> float:
    """Plays one case with the yewrill package that is imported; returns the microseconds per request."""
    from yewrill import Dispatcher, Settings
    from yewrill.policy import interface as api

    rng = random.Random(7)
    dispatchers = max(1, workers // 10)
    dispatcher = Dispatcher(
        Settings(
            [
                api.RequestClass("a", 300.0, 5000.0, objective_run_factor=2.0),
                api.RequestClass("b", 500.0, 9000.0, 2.0, 0.3, objective_run_factor=1.75),
            ],
            dispatchers=dispatchers,
            dispatcher_index=0,
            reports_start=True,
            progress_interval=1000.0,
            max_attempts=3,
            report_fields=REPORT_FIELDS if reports else (),
            free_slots_field="x0" if reports else "",
            may_cancel=True,
        ),
        1,
    )
    names = [f"s-{rng.getrandbits(32):08x}" for _ in range(workers)]
    free = dict.fromkeys(names, 5)
    cpu_seconds = 0.0
    heap: list[tuple[float, int, str, tuple]] = []
    count = 0
    weights = [1.0 / (k + 1) for k in range(2 * workers)]

    def at(when: float, what: str, *args) -> None:
        nonlocal count
        count += 1
        heappush(heap, (when, count, what, args))

    at(0.0, "list")
    at(1.0, "arrive", 0)
    waiting: dict[str, list[str]] = {name: [] for name in names}
    mean_interval_ms = 200.0 * dispatchers / (0.7 * workers * 5)
    while heap:
        now, _, what, args = heappop(heap)
        if what == "list":
            events = [api.WorkerList(api.ListForm.FULL, [api.WorkerEntry(n) for n in names])]
        elif what == "arrive":
            (number,) = args
            if number < jobs:
                at(now + rng.expovariate(1.0 / mean_interval_ms), "arrive", number + 1)
            job = api.RequestArrived(str(number), number % 2, now + 5000.0)
            if keys:
                job.key = f"k{rng.choices(range(2 * workers), weights)[0]}"
            events = [job]
        elif what == "timer":
            events = [api.TimerFired(args[0])]
        elif what == "start":
            events = [api.AttemptStarted(args[0], 0, args[1])]
        else:
            job, name = args
            free[name] += 1
            if waiting[name]:
                start_attempt(at, free, waiting, now, waiting[name].pop(0), name, rng)
            report = {"qps": now // 1000.0, "inflight": 5.0 - free[name], "x0": float(free[name])}
            events = [
                api.AttemptEnded(
                    job, 0, name, api.PolicyOutcome.SERVED, 200.0, True, report if reports else None
                )
            ]
        began = time.process_time()
        actions = dispatcher.handle(now, events)
        cpu_seconds += time.process_time() - began
        for action in actions:
            if isinstance(action, api.SetTimer) and (dispatcher.requests or len(heap) > 1):
                at(now + action.delay, "timer", action.token)
            elif isinstance(action, api.Send):
                if free[action.worker] > 0:
                    start_attempt(at, free, waiting, now, action.request_id, action.worker, rng)
                else:
                    waiting[action.worker].append(action.request_id)
    return cpu_seconds / jobs * 1e6


def start_attempt(at, free, waiting, now: float, job: str, name: str, rng: random.Random) -> None:
    """Takes a slot of a worker and schedules the start and the end of the attempt."""
    free[name] -= 1
    at(now + 0.5, "start", job, name)
    at(now + 0.5 + rng.expovariate(1.0 / 200.0), "end", job, name)


def main() -> None:
    """Runs all cases on both versions and prints the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--before", default="HEAD")
    parser.add_argument("--rounds", type=int, default=0)
    parser.add_argument("--play", nargs=4, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.play:
        workers, reports, keys, jobs = map(int, arguments.play)
        print(play(workers, bool(reports), bool(keys), jobs))
        return
    rounds, jobs = (
        arguments.rounds or (3 if arguments.quick else 7),
        800 if arguments.quick else 4000,
    )
    found: dict[tuple, dict[str, list[float]]] = {case: {"A": [], "B": []} for case in CASES}
    with tempfile.TemporaryDirectory() as directory:
        tree = Path(directory) / "before"
        subprocess.run(
            [
                "git",
                "-C",
                str(ROOT),
                "worktree",
                "add",
                "-q",
                "--detach",
                str(tree),
                arguments.before,
            ],
            check=True,
        )
        try:
            for round_index in range(rounds):
                for case, figures in found.items():
                    for version, path in (("A", ROOT), ("B", tree)):
                        if version == "B" and case[2]:
                            continue
                        process = subprocess.run(
                            [
                                sys.executable,
                                __file__,
                                "--play",
                                *(str(int(x)) for x in case),
                                str(jobs),
                            ],
                            env={"PYTHONPATH": str(path), "PATH": "/usr/bin:/bin"},
                            cwd=directory,
                            check=True,
                            capture_output=True,
                            text=True,
                        )
                        figures[version].append(float(process.stdout))
                print(f"round {round_index + 1} of {rounds}", file=sys.stderr)
        finally:
            subprocess.run(
                ["git", "-C", str(ROOT), "worktree", "remove", "--force", str(tree)], check=True
            )
    rows = []
    for (workers, reports, keys), figures in found.items():
        a = statistics.median(figures["A"])
        b = statistics.median(figures["B"]) if figures["B"] else None
        rows.append(
            {
                "workers": workers,
                "reports": reports,
                "keys": keys,
                "us_per_job": round(a, 1),
                "us_per_job_before": round(b, 1) if b else None,
                "ratio": round(a / b, 3) if b else None,
                "spread": round(max(figures["A"]) / min(figures["A"]), 2),
            }
        )
        print(
            f"{workers:5d} workers  reports {reports!s:5}  keys {keys!s:5}  {a:7.1f} us per request"
            + (f"  before {b:7.1f}  ratio {a / b:.2f}" if b else ""),
            file=sys.stderr,
        )
    compared = [row for row in rows if row["us_per_job_before"]]
    print(
        json.dumps(
            {
                "us_per_job": round(statistics.fmean(r["us_per_job"] for r in compared), 1),
                "us_per_job_before": round(
                    statistics.fmean(r["us_per_job_before"] for r in compared), 1
                ),
                "cases": rows,
            }
        )
    )


if __name__ == "__main__":
    main()
