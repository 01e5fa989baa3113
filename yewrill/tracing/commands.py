"""`yewrill trace ...`: read traces from the files that a dispatcher writes (`tracing.file`, rotated ones
included).

Exit status: 0 done, 1 nothing found, 2 not done.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import click
import ujson

from yewrill.tracing import reading
from yewrill.tracing.reading import BadLine, Filter, Record
from yewrill.tracing.report import Report


@click.group()
def trace() -> None:
    """Read traces: which jobs were late, refused, failed or tried again, and why."""


def _filters(command: Callable) -> Callable:
    for option in (
        click.option("--class", "request_class", default="", help="Only this class."),
        click.option("--tenant", default="", help="Only this tenant."),
        click.option(
            "--destination", "worker", default="", help="Only jobs with an attempt there."
        ),
        click.option(
            "--cause", default="", help="late, refused, failed, retried, left, sampled or asked."
        ),
        click.option(
            "--since", default="", help="A time such as 30m (ago) or 2026-07-01T12:00+02:00."
        ),
        click.option("--until", default="", help="As --since."),
        click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False)),
    ):
        command = option(command)
    return command


def _refuse(error: Exception) -> None:
    click.echo(f"yewrill trace: {error}", err=True)
    sys.exit(2)


def _records(
    files: tuple[str, ...], since: str = "", until: str = "", **wanted: str
) -> Iterator[Record]:
    try:
        now = time.time()
        limits = {
            name: reading.time_of(text, now)
            for name, text in (("since", since), ("until", until))
            if text
        }
        chosen = Filter(**wanted, **limits)
        for record in reading.read(
            files, lambda bad: click.echo(f"yewrill trace: {bad}", err=True)
        ):
            if chosen.passes(record):
                yield record
    except (BadLine, OSError, ValueError) as error:
        _refuse(error)


@trace.command("list")
@_filters
@click.option("--json", "as_json", is_flag=True, help="The records as they are.")
@click.option("--limit", default=0, type=click.IntRange(0), help="So many at most; 0: all.")
def list_(as_json: bool, limit: int, **given: Any) -> None:
    """A line for each record."""
    count = 0
    for record in _records(**given):
        click.echo(
            ujson.dumps(record, escape_forward_slashes=False) if as_json else reading.line(record)
        )
        count += 1
        if count == limit:
            break
    sys.exit(0 if count else 1)


def _one(files: tuple[str, ...], wanted: str) -> list[Record]:
    """The records of an operation's id, or a trace's; the beginning of one will do."""
    found = [
        record
        for record in _records(files)
        if record["id"] == wanted or (len(wanted) >= 6 and record["trace"].startswith(wanted))
    ]
    if not found:
        click.echo(f"yewrill trace: {wanted}: not there; it may have been thinned", err=True)
        sys.exit(1)
    return found


_id = click.argument("wanted", metavar="ID")
_files = click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))


@trace.command()
@_id
@_files
def show(wanted: str, files: tuple[str, ...]) -> None:
    """Draw the life of an operation, by its id or its trace's."""
    for record in _one(files, wanted):
        click.echo(reading.line(record))
        click.echo("\n".join(reading.waterfall(record)))


@trace.command()
@_id
@_files
def why(wanted: str, files: tuple[str, ...]) -> None:
    """Say in plain sentences where the time went, and why each retry and refusal came."""
    for record in _one(files, wanted):
        click.echo("\n".join(reading.why(record)))


@trace.command()
@_filters
@click.option(
    "--output", default="trace-report.html", show_default=True, type=click.Path(dir_okay=False)
)
def report(output: str, **given: Any) -> None:
    """Write one HTML page: bad jobs by class and cause, the breakdown by percentile, the worst twenty."""
    found = Report()
    for record in _records(**given):
        found.take(record)
    try:
        Path(output).write_text(found.html())
    except OSError as error:
        _refuse(error)
    click.echo(f"{output}: {found.count} records")
    sys.exit(0 if found.count else 1)
