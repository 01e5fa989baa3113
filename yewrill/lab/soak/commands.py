"""`yewrill lab soak`: plays of real processes with overlapping troubles, many seeds side by side."""

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
from yewrill.lab.soak.play import Outcome, play

MAX_PROCESSES = 200
MAX_LINES = 12  # of a log, for each breach


@dataclass(frozen=True)
class Seed:
    """One play to be played."""

    seed: int
    dispatchers: int
    seconds: float
    leave_out: tuple[int, ...] = ()
    keep: str = ""
    program: str = ""

    def command(self) -> str:
        """Plays just this one."""
        left = "".join(f" --leave-out {number}" for number in self.leave_out)
        return (
            f"python -m yewrill lab soak --seed {self.seed} --seconds {self.seconds:g} "
            f"--dispatchers {self.dispatchers}{left}"
        )


@dataclass
class Summary:
    """What a play came to, as it goes from one process to another."""

    seed: Seed
    starved: bool = False
    late: float = 0.0
    requests: int = 0
    attempts: int = 0
    statuses: Counter = field(default_factory=Counter)
    faults: Counter = field(default_factory=Counter)
    pairs: Counter = field(default_factory=Counter)
    breaches: Counter = field(default_factory=Counter)
    report: str = ""


def play_seed(seed: Seed) -> Summary:
    """Play one, in a directory of its own."""
    plan = draw(seed.seed, seed.dispatchers, seed.seconds, seed.leave_out)
    plan = replace(plan, program=seed.program)
    if seed.keep:
        directory = Path(seed.keep) / str(seed.seed)
        directory.mkdir(parents=True, exist_ok=True)
        return summed_up(seed, play(plan, directory))
    with tempfile.TemporaryDirectory() as temporary:
        return summed_up(seed, play(plan, Path(temporary)))


def summed_up(seed: Seed, outcome: Outcome) -> Summary:
    """A play's figures and, if a rule was broken, its report."""
    history, faults = outcome.history, outcome.plan.faults
    return Summary(
        seed,
        outcome.starved,
        history.late,
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


def _report(seed: Seed, outcome: Outcome) -> Iterator[str]:
    if not outcome.breaches:
        return
    yield f"seed {seed.seed}: {len(outcome.breaches)} breaches; {seed.command()}"
    for fault in outcome.plan.faults:
        whom = ",".join(f"d{n}" for n in fault.dispatchers)
        rules = " ".join(
            f"{r.call.name}/{r.origin.name}/{r.error}/{r.max_count}" for r in fault.rules
        )
        yield (
            f"  trouble {fault.number}: {fault.kind.name} {fault.at:.2f} to {fault.until:.2f} "
            f"{whom} w{list(fault.workers)} {rules} {fault.step or ''}"
        )
    for state in outcome.history.process_events:
        yield f"  {state.at:.3f} {state.dispatcher} {state.pid} {state.state.value} {state.code or ''}"
    for breach in outcome.breaches[:20]:
        yield f"{breach.rule.name}: {breach.rule.value}"
        yield f"  {breach.first}"
        yield f"  {breach.second}"
        for line in outcome.logs.get(breach.subject, [])[:MAX_LINES]:
            yield f"    {line}"


def play_all(seeds: Iterable[Seed], side_by_side: int) -> Iterator[Summary]:
    """Play many, some at once, each in a process of its own."""
    if side_by_side == 1:
        yield from map(play_seed, seeds)
        return
    with ProcessPoolExecutor(side_by_side, get_context("spawn"), max_tasks_per_child=1) as pool:
        yield from pool.map(play_seed, seeds)


def shrink(seed: Seed) -> Seed:
    """Leave out troubles as long as a rule is still broken."""
    kept = seed
    for number in range(len(draw(seed.seed, seed.dispatchers, seed.seconds).faults)):
        tried = replace(kept, leave_out=(*kept.leave_out, number))
        if play_seed(tried).breaches:
            kept = tried
            click.echo(f"not needed: trouble {number}", err=True)
    return kept


@click.command()
@click.option("--seed", type=int, default=1, help="The first seed.")
@click.option("--seeds", type=int, default=1, help="How many, one after another from the first.")
@click.option("--seconds", type=float, default=15.0, help="Of a play.")
@click.option("--dispatchers", type=click.IntRange(1, 40), default=3)
@click.option("--side-by-side", type=click.IntRange(1, 8), default=1, help="Plays at once.")
@click.option("--leave-out", type=int, multiple=True, help="Numbers of troubles that do not come.")
@click.option(
    "--shrink", "shrinks", is_flag=True, help="Find troubles that a breach does not need."
)
@click.option("--keep", default="", help="A directory for logs and state.")
@click.option("--program", default="", help="The root of another checkout whose dispatchers play.")
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
    """Real dispatchers, overlapping troubles drawn by a seed, and an oracle. Exit status 1 on a breach."""
    if dispatchers * side_by_side > MAX_PROCESSES // 2:
        raise click.UsageError(f"at most {MAX_PROCESSES // 2} dispatchers at once")
    plays = [
        Seed(seed + i, dispatchers, seconds, tuple(leave_out), keep, program) for i in range(seeds)
    ]
    total = Summary(plays[0])
    played = starved = 0
    for found in play_all(plays, side_by_side):
        note = "not played: starved" if found.starved else dict(found.breaches) or "kept"
        click.echo(
            f"seed {found.seed.seed}: requests {found.requests} late {found.late:.2f} {note}"
        )
        if found.starved:
            starved += 1
            continue
        played += 1
        if found.report:
            click.echo(found.report)
            if shrinks:
                click.echo(shrink(found.seed).command())
        total.requests += found.requests
        total.attempts += found.attempts
        for name in ("statuses", "faults", "pairs", "breaches"):
            getattr(total, name).update(getattr(found, name))
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
