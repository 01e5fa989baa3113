"""The sub-commands `yewrill store ...`, which inspect, verify, compact, back up and restore a store.

`stat` and `verify` take no lock and change nothing, so they work while a program has the store open. The
other commands lock the store and fail with the name of the process that has it open. Exit status: 0 success,
1 damage found or key absent, 2 error.
"""

from __future__ import annotations

import base64
import os
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import click
import ujson

from yewrill.store import Batch, DamagedValue, Store, StoreError, StoreReadOnly
from yewrill.store import format as fmt
from yewrill.store.files import LOCK, QUARANTINE, Files, Handle, RealFiles, read_file
from yewrill.store.recovery import open_directory
from yewrill.store.verification import Verification

# Number of records that the sub-command `load` writes in one batch.
LOAD_BATCH_RECORDS = 256

_directory = click.argument("directory", type=click.Path(exists=True, file_okay=False))
_directory_new = click.argument("directory", type=click.Path(file_okay=False))
_json = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")


@click.group()
def store() -> None:
    """Inspect, verify, back up and restore an embedded store (a dispatcher's `state_dir`)."""


class Progress:
    """A progress line on standard error, shown only on a terminal."""

    def __init__(self, label: str, total: int = 0):
        self._label, self._total, self._done, self._shown_at = label, total, 0, 0.0
        self._on_terminal = sys.stderr.isatty()

    def __call__(self, size: int) -> None:
        """Adds `size` bytes and updates the line, at most ten times per second."""
        self._done += size
        if self._on_terminal and time.monotonic() - self._shown_at > 0.1:
            self._shown_at = time.monotonic()
            percent = f" {100 * self._done // self._total}%" if self._total else ""
            click.echo(
                f"\r{self._label}: {self._done / 2**20:.1f} MiB{percent} ", nl=False, err=True
            )

    def end(self) -> None:
        """Ends the line, if one was shown."""
        if self._on_terminal and self._shown_at:
            click.echo("", err=True)


@contextmanager
def _exit_on_error() -> Iterator[None]:
    """Prints a store error as one line on standard error and exits with status 2."""
    try:
        yield
    except (StoreError, OSError, ValueError) as error:
        click.echo(f"yewrill store: {error}", err=True)
        sys.exit(2)


class _ReadOnlyFiles:
    """A directory that is read without a lock; operations that change it raise StoreReadOnly."""

    def __init__(self, path: str):
        self._files = RealFiles(path, make=False)

    def list(self) -> list[str]:
        return self._files.list()

    def open(self, name: str, *, write: bool = False, create: bool = False) -> Handle:
        if write or create:
            raise StoreReadOnly("the directory is opened read-only")
        return self._files.open(name)

    def _reject(self, *args: Any) -> None:
        raise StoreReadOnly("the directory is opened read-only")

    rename = remove = sync_names = reserve = _reject

    def lock(self) -> None:
        pass

    unlock = lock


@contextmanager
def _open_store(path: str) -> Iterator[Store]:
    with _exit_on_error(), Store(path, maintain=False, reserve=0) as opened_store:
        yield opened_store


def _parse_key(text: str, hexadecimal: bool) -> bytes:
    return bytes.fromhex(text) if hexadecimal else text.encode("utf-8", "surrogateescape")


def _printable(data: bytes) -> str:
    """Returns bytes as text if they are printable UTF-8, else in hexadecimal."""
    try:
        text = data.decode()
    except UnicodeDecodeError:
        return "0x" + data.hex()
    return text if text.isprintable() else "0x" + data.hex()


def _record(key: bytes, value: bytes, expires: int) -> dict[str, Any]:
    return {
        "key": base64.b64encode(key).decode(),
        "value": base64.b64encode(value).decode(),
        "expires": expires,
    }


_as_hex = click.option(
    "--hex", "hexadecimal", is_flag=True, help="The key or prefix is hexadecimal."
)


# -------------------------------------------------------------------------------- sub-commands that only read


@store.command()
@_directory
@_json
def stat(directory: str, as_json: bool) -> None:
    """Show keys, sizes, findings and quarantined files. Changes nothing; needs no lock."""
    with _exit_on_error():
        values = _stat_of(directory)
    if as_json:
        click.echo(ujson.dumps(values, escape_forward_slashes=False))
        return
    for name, value in values.items():
        if name not in ("findings", "quarantine", "later_format"):
            click.echo(f"{name:<14} {value}")
    for name in ("quarantine", "later_format"):
        for file in values[name]:
            click.echo(f"{name:<14} {file}")
    for finding in values["findings"]:
        click.echo(f"{'finding':<14} {_finding_line(finding)}")


def _finding_line(finding: dict[str, Any]) -> str:
    offsets = f" bytes {finding['start']} to {finding['end']}" if finding["end"] else ""
    lost = "" if finding["records"] is None else f", records lost: {finding['records']}"
    note = f" {finding['note']}" if finding["note"] else ""
    return f"{finding['what']}: {finding['file']}{offsets}{lost}{note}"


def _stat_of(directory: str) -> dict[str, Any]:
    files = _ReadOnlyFiles(directory)
    state = open_directory(files, repair=False)
    now = int(time.time() * 1000)
    stats = [segment.stats(now) for segment in state.segments.values()]
    holder = read_file(files, LOCK).decode(errors="replace").strip() if LOCK in files.list() else ""
    return {
        "format": fmt.FORMAT_VERSION,
        "keys": len(state.index),
        "segments": len(stats),
        "size": sum(f.size for f in stats),
        "live": sum(f.live for f in stats),
        "garbage": sum(f.garbage for f in stats),
        "last_version": state.next_seq - 1,
        "holder": holder,
        "later_format": state.later_format,
        "quarantine": [name for name in files.list() if name.startswith(QUARANTINE)],
        "findings": [finding.as_dict() for finding in state.findings],
    }


@store.command()
@_directory
@click.argument("key")
@_as_hex
@_json
def get(directory: str, key: str, hexadecimal: bool, as_json: bool) -> None:
    """Print the value of a key; status 1 if it has none."""
    with _open_store(directory) as opened_store:
        wanted = _parse_key(key, hexadecimal)
        result = opened_store.find(wanted)
    if result is None:
        sys.exit(1)
    if as_json:
        click.echo(
            ujson.dumps(
                {**_record(wanted, result.value, result.expires), "version": result.version}
            )
        )
    else:
        sys.stdout.buffer.write(result.value)


@store.command()
@_directory
@click.option("--prefix", default="", help="Only keys with this prefix.")
@click.option("--limit", default=0, type=click.IntRange(0), help="Maximum number of keys; 0: all.")
@click.option("--keys", is_flag=True, help="Print keys without values.")
@_as_hex
@_json
def scan(
    directory: str, prefix: str, limit: int, keys: bool, hexadecimal: bool, as_json: bool
) -> None:
    """List keys and values in the order of the keys."""
    with _open_store(directory) as opened_store, opened_store.snapshot() as snapshot:
        for number, (key, result) in enumerate(
            snapshot.scan(prefix=_parse_key(prefix, hexadecimal)), 1
        ):
            if as_json:
                click.echo(ujson.dumps(_record(key, result.value, result.expires)))
            else:
                click.echo(
                    _printable(key) if keys else f"{_printable(key)}\t{_printable(result.value)}"
                )
            if number == limit:
                break


@store.command()
@_directory
@_json
def verify(directory: str, as_json: bool) -> None:
    """Read every byte and check every checksum. Changes nothing; status 1 if anything is damaged."""
    with _exit_on_error():
        findings, read = check_all(_ReadOnlyFiles(directory), Progress("verify"))
    if as_json:
        click.echo(ujson.dumps({"read": read, "findings": findings}, escape_forward_slashes=False))
    else:
        for finding in findings:
            click.echo(_finding_line(finding))
        click.echo(f"{read} bytes read, {len(findings)} findings")
    sys.exit(1 if findings else 0)


def check_all(
    files: Files, progress: Callable[[int], None] = lambda size: None
) -> tuple[list[dict[str, Any]], int]:
    """Returns the findings of a directory, as `verify --json` prints them, and the bytes read."""
    verification = Verification(files, progress)
    verification.run()
    return [finding.as_dict() for finding in verification.findings], verification.bytes_read


# ------------------------------------------------------------------------------------ sub-commands that write


@store.command()
@_directory
@_json
def compact(directory: str, as_json: bool) -> None:
    """Merge segments and free the space of deleted, overwritten and expired records."""
    with _open_store(directory) as opened_store:
        before = opened_store.stat()["size"]
        progress = Progress("compact")
        merged = opened_store.compact(progress)
        progress.end()
        after = opened_store.stat()["size"]
    if as_json:
        click.echo(ujson.dumps({"merged": merged, "before": before, "after": after}))
    else:
        click.echo(f"{merged} segments merged, {before} bytes before, {after} after")


@store.command()
@_directory
@click.argument("target", type=click.Path(file_okay=False))
def backup(directory: str, target: str) -> None:
    """Copy a store to a new, empty directory, and verify the copy."""
    with _open_store(directory) as opened_store:
        progress = Progress("backup", opened_store.stat()["size"])
        opened_store.backup(target, progress)
        progress.end()
    _verify_or_exit(target)


@store.command()
@click.argument("source", type=click.Path(exists=True, file_okay=False))
@_directory_new
def restore(source: str, directory: str) -> None:
    """Create a store from a backup. The directory must not exist or must be empty."""
    with _exit_on_error():
        if os.path.isdir(directory) and os.listdir(directory):
            raise StoreError(f"{directory}: not empty; restore needs a new or empty directory")
        _verify_or_exit(source)
    with _open_store(source) as opened_store:
        progress = Progress("restore", opened_store.stat()["size"])
        opened_store.backup(directory, progress)
        progress.end()
    _verify_or_exit(directory)


def _verify_or_exit(path: str) -> None:
    findings, read = check_all(_ReadOnlyFiles(path))
    if findings:
        click.echo(f"yewrill store: {path}: {_finding_line(findings[0])}", err=True)
        sys.exit(1)
    click.echo(f"{path}: {read} bytes, no damage found")


@store.command()
@_directory
def dump(directory: str) -> None:
    """Print every record as a line of JSON (key and value in base64, expiry in ms), for `load`."""
    status = 0
    with _open_store(directory) as opened_store, opened_store.snapshot() as snapshot:
        last = b""
        while True:
            try:
                for key, result in snapshot.scan(start=last):
                    last = key + b"\0"
                    click.echo(ujson.dumps(_record(key, result.value, result.expires)))
                break
            except DamagedValue as error:
                # The damage is reported, and the dump continues after the key.
                click.echo(f"yewrill store: {error}", err=True)
                last, status = error.key + b"\0", 1
    sys.exit(status)


@store.command()
@_directory_new
@click.argument("lines", type=click.File("rb"), default="-")
def load(directory: str, lines: Any) -> None:
    """Write the records that `dump` printed. Stops at the first invalid line and prints its number."""
    with _exit_on_error(), Store(directory, maintain=False, reserve=0) as opened_store:
        batch, count = Batch(), 0
        for number, line in enumerate(lines, 1):
            try:
                raw = ujson.loads(line)
                batch.put(
                    base64.b64decode(raw["key"], validate=True),
                    base64.b64decode(raw["value"], validate=True),
                    int(raw.get("expires", 0)),
                )
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                raise StoreError(
                    f"line {number}: invalid record: {error!r}; {count} records loaded"
                ) from None
            if len(batch.ops) >= LOAD_BATCH_RECORDS or batch.size > 2**23:
                opened_store.write(batch)
                count += len(batch.ops)
                batch = Batch()
        opened_store.write(batch)
        count += len(batch.ops)
    click.echo(f"{count} records loaded")
