"""`yewrill lab cluster ...`: runs scenarios with real processes, or one test cluster until it is stopped."""

from __future__ import annotations

import sys
import tempfile
from contextlib import suppress
from pathlib import Path

import click
import trio

from yewrill.lab.cluster.audit import Breach, Terms, audit
from yewrill.lab.cluster.history import Line, read_history
from yewrill.lab.cluster.pace import ScaledClock, Starved, run_until_not_starved
from yewrill.lab.cluster.rig import ClusterSpec, Rig, open_cluster
from yewrill.lab.cluster.scenarios import SCENARIOS, run_in_rig
from yewrill.lab.soak.commands import soak

SCENARIO_LIMIT_SECONDS = 150.0  # time limit of a scenario; a scenario takes far less


@click.group()
def lab() -> None:
    """Test beds: the dispatcher among simulated workers and clients, with faults."""


lab.add_command(soak)


@lab.group()
def cluster() -> None:
    """Real dispatcher processes, and faults between them."""


@cluster.command(name="list")
def names() -> None:
    """List the scenarios."""
    for name, scenario in SCENARIOS.items():
        click.echo(f"{name:<30} {(scenario.run.__doc__ or '').splitlines()[0]}")


class Unfinished(Exception):
    """A scenario did not run to its end."""


def run_scenario(name: str, directory: Path, seed: int) -> list[Breach]:
    """Runs a scenario, a second time if it does not run to its end, and returns the auditor's findings.

    Only one scenario may run at a time in a process: all traffic between the parties passes through the
    process, and two test clusters would slow down each other's networks. Raises Unfinished if the second run
    does not end either.
    """
    scenario = SCENARIOS[name]

    def run_at_pace(clock: ScaledClock) -> tuple[bool, list[Breach] | Unfinished, list[Line]]:
        rigs: list[Rig] = []

        async def run_once() -> None:
            with trio.fail_after(SCENARIO_LIMIT_SECONDS):
                async with open_cluster(directory, scenario.spec, seed, scenario.options) as rig:
                    rigs.append(rig)
                    await run_in_rig(scenario, rig)

        try:
            trio.run(run_once, clock=clock)
        except (trio.TooSlowError, AssertionError, BaseExceptionGroup) as error:
            return (
                False,
                Unfinished(f"{name} seed {seed}: {error!r}"),
                rigs[0].history.lines if rigs else [],
            )
        breaches = audit(rigs[0].history.lines, rigs[0].terms)
        return not breaches, breaches, rigs[0].history.lines

    result: list[Breach] | Unfinished = []
    for may_repeat in (True, False):
        try:
            result = run_until_not_starved(f"{name} seed {seed}", run_at_pace)
        except Starved as error:
            raise Unfinished(str(error)) from None
        if not isinstance(result, Unfinished):
            return result
        if may_repeat:
            click.echo(f"{result}: played once more", err=True)
            # The history of the first run is kept under another name.
            with suppress(FileNotFoundError):
                (directory / "history.jsonl").rename(directory / "history-unfinished.jsonl")
    assert isinstance(result, Unfinished)
    raise result


def _print_result(name: str, breaches: list[Breach], directory: Path) -> None:
    click.echo(f"{name}: {'clean' if not breaches else f'{len(breaches)} breaches'}  ({directory})")
    for breach in breaches[:3]:
        click.echo(f"  {breach.kind}: {breach.text}")
        for line in breach.lines:
            click.echo(f"    {line}")


@cluster.command()
@click.argument("scenario", type=click.Choice([*SCENARIOS, "all"]))
@click.option("--seed", default=1, show_default=True)
@click.option("--seeds", default=1, show_default=True, help="Number of seeds, from --seed on.")
@click.option(
    "--keep",
    type=click.Path(file_okay=False),
    help="Directory for the histories; a new one by default.",
)
def run(scenario: str, seed: int, seeds: int, keep: str | None) -> None:
    """Run a scenario, or all, and audit the history."""
    base = Path(keep or tempfile.mkdtemp(prefix="yewrill-lab-"))
    exit_status = 0
    for name in SCENARIOS if scenario == "all" else [scenario]:
        for number in range(seed, seed + seeds):
            directory = base / f"{name}-{number}"
            directory.mkdir(parents=True, exist_ok=True)
            try:
                breaches = run_scenario(name, directory, number)
            except Unfinished as error:
                click.echo(f"not played to its end: {error} ({directory})")
                exit_status = 2
                continue
            _print_result(f"{name} seed {number}", breaches, directory)
            exit_status = max(exit_status, bool(breaches))
    sys.exit(exit_status)


@cluster.command(name="audit")
@click.argument("directory", type=click.Path(exists=True, file_okay=False))
def read_again(directory: str) -> None:
    """Audit a saved history."""
    lines = read_history(Path(directory) / "history.jsonl")
    recorded = next(
        (line for line in lines if line["what"] == "terms"),
        {"once": ["once"], "cold_multiple": 3.0},
    )
    breaches = audit(
        lines,
        Terms(
            run_once_kinds=frozenset(recorded["once"]),
            cold_multiple=recorded["cold_multiple"],
        ),
    )
    _print_result(directory, breaches, Path(directory))
    sys.exit(bool(breaches))


@cluster.command()
@click.option("--dispatchers", default=3, show_default=True, type=click.IntRange(1, 24))
@click.option("--zones", default=3, show_default=True, type=click.IntRange(1, 8))
@click.option(
    "--rate",
    default=8.0,
    show_default=True,
    help="Requests per second for each dispatcher; 0: none.",
)
def up(dispatchers: int, zones: int, rate: float) -> None:
    """Run a small test cluster until Ctrl-C."""

    async def serve_until_cancelled() -> None:
        spec = ClusterSpec(dispatchers=dispatchers, zones=zones, rate=rate)
        async with open_cluster(Path(tempfile.mkdtemp(prefix="yewrill-lab-")), spec) as rig:
            await rig.start_and_wait()
            for dispatcher in rig.ready_dispatchers():
                click.echo(
                    f"{dispatcher.name} {dispatcher.zone}: clients "
                    f"{dispatcher.listen[0]}:{dispatcher.listen[1]}, "
                    f"management http://{dispatcher.management[0]}:{dispatcher.management[1]}/_zones, "
                    f"process {dispatcher.process.pid}"
                )
            click.echo(
                f"try: curl -d x -H 'X-Request-ID: 1' -H 'X-Tenant-Id: acme' "
                f"http://127.0.0.1:{rig.ready_dispatchers()[0].listen[1]}/tour"
            )
            if rate:
                rig.start_traffic()
            await trio.sleep_forever()

    try:
        trio.run(serve_until_cancelled)
    except KeyboardInterrupt:
        click.echo("ended")
