"""`yewrill lab soak`: runs of real processes with overlapping faults, many seeds in parallel."""

from __future__ import annotations

import json
import sys
import tempfile
from collections import Counter
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from multiprocessing import get_context
from pathlib import Path

import click

from yewrill.lab.soak.plan import draw, overlapping
from yewrill.lab.soak.play import Outcome, run_plan

MAX_PROCESSES = 200
MAX_LOG_LINES = 12  # limit on the log lines that a report shows for each breach


@dataclass(frozen=True)
class SeedRun:
    """The parameters of one run."""

    seed: int
    dispatchers: int
    seconds: float
    leave_out: tuple[int, ...] = ()
    keep: str = ""
    program: str = ""

    def command(self) -> str:
        """Returns the command line that repeats this run."""
        left_out = "".join(f" --leave-out {number}" for number in self.leave_out)
        return (
            f"python -m yewrill lab soak --seed {self.seed} --seconds {self.seconds:g} "
            f"--dispatchers {self.dispatchers}{left_out}"
        )


@dataclass
class Summary:
    """The result of a run, as it is sent from one process to another."""

    seed: SeedRun
    starved: bool = False
    max_lateness: float = 0.0
    requests: int = 0
    attempts: int = 0
    statuses: Counter = field(default_factory=Counter)
    faults: Counter = field(default_factory=Counter)
    pairs: Counter = field(default_factory=Counter)
    breaches: Counter = field(default_factory=Counter)
    report: str = ""


def run_seed(seed: SeedRun) -> Summary:
    """Runs one seed in a directory of its own."""
    plan = draw(seed.seed, seed.dispatchers, seed.seconds, seed.leave_out)
    plan = replace(plan, program=seed.program)
    if seed.keep:
        directory = Path(seed.keep) / str(seed.seed)
        directory.mkdir(parents=True, exist_ok=True)
        return summarize(seed, run_plan(plan, directory))
    with tempfile.TemporaryDirectory() as temporary:
        return summarize(seed, run_plan(plan, Path(temporary)))


def summarize(seed: SeedRun, outcome: Outcome) -> Summary:
    """Returns the counts of a run and, if a rule was broken, the report on the breaches."""
    history, faults = outcome.history, outcome.plan.faults
    return Summary(
        seed,
        outcome.starved,
        history.max_lateness,
        len(history.requests),
        len(history.attempts),
        Counter(
            str(r.status) if r.status else r.end.name if r.end else "open" for r in history.requests
        ),
        Counter(fault.kind.name for fault in faults),
        overlapping(faults),
        Counter(breach.rule.name for breach in outcome.breaches),
        "\n".join(_report(seed, outcome)),
    )


def _report(seed: SeedRun, outcome: Outcome) -> Iterator[str]:
    if not outcome.breaches:
        return
    yield f"seed {seed.seed}: {len(outcome.breaches)} breaches; {seed.command()}"
    for fault in outcome.plan.faults:
        targets = ",".join(f"d{n}" for n in fault.dispatchers)
        rules = " ".join(
            f"{r.call.name}/{r.origin.name}/{r.error}/{r.max_bytes}" for r in fault.rules
        )
        yield (
            f"  trouble {fault.number}: {fault.kind.name} {fault.at:.2f} to {fault.until:.2f} "
            f"{targets} w{list(fault.workers)} {rules} {fault.step or ''}"
        )
    for state in outcome.history.process_events:
        yield f"  {state.at:.3f} {state.dispatcher} {state.pid} {state.state.value} {state.code or ''}"
    for breach in outcome.breaches[:20]:
        yield f"{breach.rule.name}: {breach.rule.value}"
        yield f"  {breach.first}"
        yield f"  {breach.second}"
        for line in outcome.logs.get(breach.subject, [])[:MAX_LOG_LINES]:
            yield f"    {line}"


def run_seeds(seeds: Iterable[SeedRun], side_by_side: int) -> Iterator[Summary]:
    """Runs many seeds, some in parallel, each in a process of its own."""
    if side_by_side == 1:
        yield from map(run_seed, seeds)
        return
    with ProcessPoolExecutor(side_by_side, get_context("spawn"), max_tasks_per_child=1) as pool:
        yield from pool.map(run_seed, seeds)


def minimize(seed: SeedRun) -> SeedRun:
    """Returns the run without the faults that its breach does not need, found by trial runs."""
    minimal = seed
    for number in range(len(draw(seed.seed, seed.dispatchers, seed.seconds).faults)):
        candidate = replace(minimal, leave_out=(*minimal.leave_out, number))
        if run_seed(candidate).breaches:
            minimal = candidate
            click.echo(f"not needed: trouble {number}", err=True)
    return minimal


@click.command()
@click.option("--seed", type=int, default=1, help="The first seed.")
@click.option("--seeds", type=int, default=1, help="Number of seeds, from the first on.")
@click.option("--seconds", type=float, default=15.0, help="Length of a run.")
@click.option("--dispatchers", type=click.IntRange(1, 40), default=3)
@click.option("--side-by-side", type=click.IntRange(1, 8), default=1, help="Runs in parallel.")
@click.option("--leave-out", type=int, multiple=True, help="Numbers of faults to leave out.")
@click.option(
    "--shrink", "shrinks", is_flag=True, help="Find the faults that a breach does not need."
)
@click.option("--keep", default="", help="Directory for logs and state; temporary by default.")
@click.option("--program", default="", help="Root of another checkout whose dispatchers to run.")
def soak(
    seed: int,
    seeds: int,
    seconds: float,
    dispatchers: int,
    side_by_side: int,
    leave_out: tuple[int, ...],
    shrinks: bool,
    keep: str,
    program: str,
) -> None:
    """Run real dispatchers with overlapping faults drawn from a seed. Exit status 1 on a breach."""
    if dispatchers * side_by_side > MAX_PROCESSES // 2:
        raise click.UsageError(f"at most {MAX_PROCESSES // 2} dispatchers at once")
    runs = [
        SeedRun(seed + i, dispatchers, seconds, tuple(leave_out), keep, program)
        for i in range(seeds)
    ]
    total = Summary(runs[0])
    played = starved = 0
    for summary in run_seeds(runs, side_by_side):
        note = "not played: starved" if summary.starved else dict(summary.breaches) or "kept"
        click.echo(
            f"seed {summary.seed.seed}: requests {summary.requests} late {summary.max_lateness:.2f} {note}"
        )
        if summary.starved:
            starved += 1
            continue
        played += 1
        if summary.report:
            click.echo(summary.report)
            if shrinks:
                click.echo(minimize(summary.seed).command())
        total.requests += summary.requests
        total.attempts += summary.attempts
        for name in ("statuses", "faults", "pairs", "breaches"):
            getattr(total, name).update(getattr(summary, name))
    figures = {
        "played": played,
        "starved": starved,
        "requests": total.requests,
        "attempts": total.attempts,
        "statuses": dict(total.statuses),
        "troubles": dict(total.faults),
        "pairs": len(total.pairs),
        "overlaps": sum(total.pairs.values()),
        "breaches": dict(total.breaches),
    }
    click.echo(json.dumps(figures))
    sys.exit(1 if total.breaches else 0)
