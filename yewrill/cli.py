"""The command line: serve, version, config write, config check, and the groups of the subsystems."""

from __future__ import annotations

import importlib
import os
import sys
from pathlib import Path

import click
import ujson

from yewrill import __version__
from yewrill.config import writing as config_writing
from yewrill.config.cluster_trace import FORMATS, BadRow, TraceError, formats
from yewrill.config.errors import ConfigError
from yewrill.config.reading import ENV_CONFIG, load_config
from yewrill.config.schema import FRONTS
from yewrill.extras import not_installed

MAX_BAD_ROWS_SHOWN = 20  # number of bad rows that are printed; further ones are only counted


@click.group()
def main() -> None:
    """Dispatch requests to workers, for one application or on the platform."""


def _fail(error: Exception) -> None:
    click.echo(f"yewrill: {error}", err=True)
    sys.exit(2)


_config_option = click.option(
    "--config",
    "path",
    envvar=ENV_CONFIG,
    required=True,
    type=click.Path(dir_okay=False),
    help=f"The configuration file; ${ENV_CONFIG} if absent.",
)


@main.command()
@_config_option
@click.option(
    "--log-level",
    envvar="YEWRILL_LOG",
    default="INFO",
    show_default=True,
    type=click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"]),
)
@click.option(
    "--log-format",
    envvar="YEWRILL_LOG_FORMAT",
    default="plain",
    show_default=True,
    type=click.Choice(["plain", "console", "json"]),
    help="console and json need structlog.",
)
def serve(path: str, log_level: str, log_format: str) -> None:
    """Run the dispatcher in the foreground until SIGTERM."""
    from yewrill.service.service import serve as run

    try:
        config = load_config(path, os.environ)
    except ConfigError as error:
        _fail(error)
    try:
        sys.exit(run(config, log_level, lambda: load_config(path, os.environ), log_format))
    except ModuleNotFoundError as error:
        option = "--log-format: " if error.name == "structlog" else ""
        _fail(ConfigError(option + not_installed(error)))


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"yewrill {__version__}")


@main.group()
def config() -> None:
    """Write and check configuration files."""


@config.command()
@click.argument("path", envvar=ENV_CONFIG, type=click.Path(dir_okay=False))
def check(path: str) -> None:
    """Check a configuration file and name the faulty key, if there is one."""
    try:
        loaded = load_config(path, os.environ, strict=True)
    except ConfigError as error:
        _fail(error)
    click.echo(
        f"ok: {loaded.name} on {loaded.listen[0]}:{loaded.listen[1]}, front {loaded.front}, "
        + (f"management {loaded.mgmt[0]}:{loaded.mgmt[1]}, " if loaded.mgmt else "")
        + f"classes {', '.join(c.name for c in loaded.settings.classes)}, "
        f"tenants {', '.join(t.name for t in loaded.settings.tenants) or 'none'}"
    )


@config.command()
@click.option("--listen", required=True, help="IPv4-ADDRESS:PORT where clients connect.")
@click.option("--discovery", required=True, help="IPv4-ADDRESS:PORT of discovery.")
@click.option("--mgmt", help="IPv4-ADDRESS:PORT of the management listener; none if absent.")
@click.option("--name", default="yewrill", show_default=True)
@click.option("--front", type=click.Choice(FRONTS), default="platform", show_default=True)
@click.option(
    "--class",
    "classes",
    multiple=True,
    metavar="NAME:KEY=VALUE,...",
    help="A class: deadline, aim (ms), stretch, value, late_value, repeat (pure, token, side_effect), "
    "group (all, zone, cell), window (ms).",
)
@click.option("--tenant", "tenants", multiple=True, metavar="NAME:quota_per_s=N,share=N")
@click.option(
    "--zone",
    "zones",
    multiple=True,
    help="A zone as discovery names it; the first one is the dispatcher's own.",
)
@click.option(
    "--report",
    "reports",
    multiple=True,
    metavar="FIELD",
    help="A field of the workers' load reports, in their order: inflight, util, or others.",
)
@click.option("--free-slots", metavar="FIELD", help="The report field that counts free slots.")
@click.option(
    "--cross-zone-fee",
    type=click.FloatRange(0.0, 1.0),
    default=0.0,
    help="Fee for sending a request to another zone, as a fraction of the classes' mean value.",
)
@click.option("--kind", "kinds", multiple=True, help="A kind of machine as discovery names it.")
@click.option("--dispatchers", default=1, show_default=True, type=click.IntRange(1))
@click.option("--sockets", default=1024, show_default=True)
@click.option("--memory-mb", default=192, show_default=True)
@click.option("--cores", default=1.0, show_default=True)
@click.option(
    "--from-trace", type=click.Path(dir_okay=False), help="Derive the classes from a trace in CSV."
)
@click.option(
    "--trace-format",
    type=click.Choice(list(formats())),
    default=next(iter(formats())),
    show_default=True,
)
@click.option(
    "--time-scale",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0, min_open=True),
    help="Multiplies the trace's times; 0.01 turns an hour into 36 s.",
)
@click.option("--strict", is_flag=True, help="Fail if the trace has a bad row.")
@click.option(
    "--output",
    type=click.Path(dir_okay=False),
    help="The file to write; standard output if absent.",
)
def write(classes, tenants, from_trace, trace_format, time_scale, strict, output, **rest) -> None:
    """Write a configuration file from options, or from a public cluster trace."""
    try:
        derived, rate = None, 0.0
        if from_trace and classes:
            raise ConfigError("--class: not together with --from-trace")
        if from_trace:
            bad: list[BadRow] = []
            trace = FORMATS[trace_format](from_trace, bad.append)
            _report_bad_rows(from_trace, bad, trace.rows)
            if strict and bad:
                raise TraceError(f"{from_trace}: {len(bad)} bad rows")
            class_settings, run_factors, derived = config_writing.classes_from_trace(
                trace, time_scale
            )
            rate = sum(c["rate_per_s"] for c in derived.values())
        else:
            class_settings, run_factors = config_writing.classes_from_options(classes)
        raw = config_writing.build(
            classes=class_settings,
            run_factors=run_factors,
            tenants=tenants,
            derived=derived,
            rate=rate,
            **rest,
        )
        text = ujson.dumps(raw, indent=2, escape_forward_slashes=False) + "\n"
        if output:
            Path(output).write_text(text)
        else:
            click.echo(text, nl=False)
    except (ConfigError, TraceError) as error:
        _fail(error)
    except OSError as error:
        _fail(ConfigError(f"{output}: {error.strerror}"))


def _report_bad_rows(path: str, bad: list[BadRow], rows: int) -> None:
    for row in bad[:MAX_BAD_ROWS_SHOWN]:
        click.echo(f"{path}: {row}", err=True)
    if len(bad) > MAX_BAD_ROWS_SHOWN:
        click.echo(f"{path}: and {len(bad) - MAX_BAD_ROWS_SHOWN} more bad rows", err=True)
    if bad:
        click.echo(f"{path}: {len(bad)} of {rows} rows skipped", err=True)


class _LazyGroup(click.Group):
    """A command group whose module is imported only when one of its commands is used."""

    def __init__(self, module: str, name: str, **kwargs):
        super().__init__(name=name, **kwargs)
        self._module = module

    def _load(self) -> click.Group:
        try:
            return getattr(importlib.import_module(self._module), self.name)
        except ModuleNotFoundError as error:
            _fail(ConfigError(not_installed(error)))

    def list_commands(self, context: click.Context) -> list[str]:
        return self._load().list_commands(context)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        return self._load().get_command(context, name)


main.add_command(
    _LazyGroup(
        "yewrill.store.commands",
        "store",
        help="Inspect, verify, back up and restore an embedded store (a dispatcher's `state_dir`).",
    )
)
main.add_command(
    _LazyGroup(
        "yewrill.tracing.commands",
        "trace",
        help="Read traces: which requests were late, rejected, failed or retried, and why.",
    )
)
main.add_command(
    _LazyGroup(
        "yewrill.zone_failover.commands",
        "zones",
        help="Show the zone failover plan; order a zone left, or kept whatever the plan says.",
    )
)
main.add_command(
    _LazyGroup(
        "yewrill.leases.commands",
        "owners",
        help="Show which dispatcher owns each of the fleet's duties; move a duty to another one.",
    )
)
main.add_command(
    _LazyGroup(
        "yewrill.lab.cluster.commands",
        "lab",
        help="Test real dispatchers with simulated workers and clients, under injected faults.",
    )
)


if __name__ == "__main__":
    main()
