"""`yewrill trace ...`: reads the trace files that a dispatcher writes (`tracing.file`, also rotated ones).

Exit status: 0 success, 1 no record found, 2 error.
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
    """Read traces: which requests were late, rejected, failed or retried, and why."""


def _filter_options(command: Callable) -> Callable:
    for option in (
        click.option("--class", "request_class", default="", help="Only this class."),
        click.option("--tenant", default="", help="Only this tenant."),
        click.option(
            "--destination",
            "worker",
            default="",
            help="Only requests with an attempt on this worker.",
        ),
        click.option(
            "--cause",
            default="",
            help="Only records kept for late, refused, failed, retried, left, sampled or asked.",
        ),
        click.option(
            "--since", default="", help="A time such as 30m (ago) or 2026-07-01T12:00+02:00."
        ),
        click.option("--until", default="", help="A time in the same form as --since."),
        click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False)),
    ):
        command = option(command)
    return command


def _fail(error: Exception) -> None:
    click.echo(f"yewrill trace: {error}", err=True)
    sys.exit(2)


def _records(
    files: tuple[str, ...], since: str = "", until: str = "", **wanted: str
) -> Iterator[Record]:
    """Yields the selected records; bad lines are reported on standard error. Exits with 2 on an error."""
    try:
        now = time.time()
        limits = {
            name: reading.parse_time(text, now)
            for name, text in (("since", since), ("until", until))
            if text
        }
        selection = Filter(**wanted, **limits)
        for record in reading.read(
            files, lambda bad: click.echo(f"yewrill trace: {bad}", err=True)
        ):
            if selection.passes(record):
                yield record
    except (BadLine, OSError, ValueError) as error:
        _fail(error)


@trace.command("list")
@_filter_options
@click.option("--json", "as_json", is_flag=True, help="Print the records as JSON, one a line.")
@click.option("--limit", default=0, type=click.IntRange(0), help="At most this many; 0 for all.")
def list_(as_json: bool, limit: int, **filters: Any) -> None:
    """List the records, one line each."""
    count = 0
    for record in _records(**filters):
        click.echo(
            ujson.dumps(record, escape_forward_slashes=False) if as_json else reading.line(record)
        )
        count += 1
        if count == limit:
            break
    sys.exit(0 if count else 1)


def _find_records(files: tuple[str, ...], wanted: str) -> list[Record]:
    """Returns the records with a request id, or with a trace id that begins with `wanted`.

    A prefix of a trace id must have at least six characters. Exits with 1 if there is no such record.
    """
    records = [
        record
        for record in _records(files)
        if record["id"] == wanted or (len(wanted) >= 6 and record["trace"].startswith(wanted))
    ]
    if not records:
        click.echo(f"yewrill trace: {wanted}: not found; it may not have been sampled", err=True)
        sys.exit(1)
    return records


_id_argument = click.argument("wanted", metavar="ID")
_files_argument = click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))


@trace.command()
@_id_argument
@_files_argument
def show(wanted: str, files: tuple[str, ...]) -> None:
    """Draw the timeline of a request, given its id or its trace id."""
    for record in _find_records(files, wanted):
        click.echo(reading.line(record))
        click.echo("\n".join(reading.waterfall(record)))


@trace.command()
@_id_argument
@_files_argument
def why(wanted: str, files: tuple[str, ...]) -> None:
    """Explain in sentences where the time went, and the reason for each retry and rejection."""
    for record in _find_records(files, wanted):
        click.echo("\n".join(reading.why(record)))


@trace.command()
@_filter_options
@click.option(
    "--output", default="trace-report.html", show_default=True, type=click.Path(dir_okay=False)
)
def report(output: str, **filters: Any) -> None:
    """Write an HTML page: bad requests by class and cause, the breakdown by percentile, the worst twenty."""
    page = Report()
    for record in _records(**filters):
        page.add(record)
    try:
        Path(output).write_text(page.html())
    except OSError as error:
        _fail(error)
    click.echo(f"{output}: {page.count} records")
    sys.exit(0 if page.count else 1)
