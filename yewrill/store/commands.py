"""`yewrill store ...`: look into a store, check it, compact, copy and move it.

Commands that only look take no lock where they can do without (`verify`) and change nothing; the others
need the store to themselves, and name the process that has it. Exit status: 0 done, 1 damage found or key
absent, 2 not done.
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

LOAD_BATCH = 256  # lines written together by `load`

_directory = click.argument("directory", type=click.Path(exists=True, file_okay=False))
_directory_new = click.argument("directory", type=click.Path(file_okay=False))
_json = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")


@click.group()
def store() -> None:
    """Look into, check and move an embedded store (a dispatcher's `state_dir`)."""


class Progress:
    """A line of progress on standard error, only on a terminal."""

    def __init__(self, what: str, whole: int = 0):
        self._what, self._whole, self._done, self._at = what, whole, 0, 0.0
        self._shown = sys.stderr.isatty()

    def __call__(self, size: int) -> None:
        """Count bytes, and show the total from time to time."""
        self._done += size
        if self._shown and time.monotonic() - self._at > 0.1:
            self._at = time.monotonic()
            percent = f" {100 * self._done // self._whole}%" if self._whole else ""
            click.echo(
                f"\r{self._what}: {self._done / 2**20:.1f} MiB{percent} ", nl=False, err=True
            )

    def end(self) -> None:
        """End the line that was shown."""
        if self._shown and self._at:
            click.echo("", err=True)


@contextmanager
def _exit_on_error() -> Iterator[None]:
    """One line on standard error, and status 2."""
    try:
        yield
    except (StoreError, OSError, ValueError) as error:
        click.echo(f"yewrill store: {error}", err=True)
        sys.exit(2)


class _ReadOnlyFiles:
    """A directory seen without a lock and without a way to change it."""

    def __init__(self, path: str):
        self._files = RealFiles(path, make=False)

    def list(self) -> list[str]:
        return self._files.list()

    def open(self, name: str, *, write: bool = False, create: bool = False) -> Handle:
        if write or create:
            raise StoreReadOnly("only looked at")
        return self._files.open(name)

    def _no(self, *args: Any) -> None:
        raise StoreReadOnly("only looked at")

    rename = remove = sync_names = reserve = _no

    def lock(self) -> None:
        pass

    unlock = lock


@contextmanager
def _opened(path: str) -> Iterator[Store]:
    with _exit_on_error(), Store(path, maintain=False, reserve=0) as opened:
        yield opened


def _bytes(text: str, hexadecimal: bool) -> bytes:
    return bytes.fromhex(text) if hexadecimal else text.encode("utf-8", "surrogateescape")


def _text(data: bytes) -> str:
    """As text where it is text, else hexadecimal."""
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


# ---------------------------------------------------------------------------------------------------- looking


@store.command()
@_directory
@_json
def stat(directory: str, as_json: bool) -> None:
    """How a store stands: keys, sizes, findings, quarantine. Changes nothing; works beside a running
    program."""
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
    facts = [segment.facts(now) for segment in state.segments.values()]
    holder = read_file(files, LOCK).decode(errors="replace").strip() if LOCK in files.list() else ""
    return {
        "format": fmt.FORMAT,
        "keys": len(state.index),
        "segments": len(facts),
        "size": sum(f.size for f in facts),
        "live": sum(f.live for f in facts),
        "garbage": sum(f.garbage for f in facts),
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
    with _opened(directory) as opened:
        wanted = _bytes(key, hexadecimal)
        found = opened.find(wanted)
    if found is None:
        sys.exit(1)
    if as_json:
        click.echo(
            ujson.dumps({**_record(wanted, found.value, found.expires), "version": found.version})
        )
    else:
        sys.stdout.buffer.write(found.value)


@store.command()
@_directory
@click.option("--prefix", default="", help="Only keys that begin so.")
@click.option("--limit", default=0, type=click.IntRange(0), help="So many at most; 0: all.")
@click.option("--keys", is_flag=True, help="Keys alone.")
@_as_hex
@_json
def scan(
    directory: str, prefix: str, limit: int, keys: bool, hexadecimal: bool, as_json: bool
) -> None:
    """List keys and values in the order of the keys."""
    with _opened(directory) as opened, opened.snapshot() as snapshot:
        for number, (key, found) in enumerate(snapshot.scan(prefix=_bytes(prefix, hexadecimal)), 1):
            if as_json:
                click.echo(ujson.dumps(_record(key, found.value, found.expires)))
            else:
                click.echo(_text(key) if keys else f"{_text(key)}\t{_text(found.value)}")
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
    """Return what is wrong with a directory, as `verify --json` prints it, and the bytes read."""
    verification = Verification(files, progress)
    verification.run()
    return [finding.as_dict() for finding in verification.findings], verification.bytes_read


# --------------------------------------------------------------------------------------------------- changing


@store.command()
@_directory
@_json
def compact(directory: str, as_json: bool) -> None:
    """Merge segments and give back the room of what is deleted, overwritten or expired."""
    with _opened(directory) as opened:
        before = opened.stat()["size"]
        progress = Progress("compact")
        merged = opened.compact(progress)
        progress.end()
        after = opened.stat()["size"]
    if as_json:
        click.echo(ujson.dumps({"merged": merged, "before": before, "after": after}))
    else:
        click.echo(f"{merged} segments merged, {before} bytes before, {after} after")


@store.command()
@_directory
@click.argument("target", type=click.Path(file_okay=False))
def backup(directory: str, target: str) -> None:
    """Copy a store to a new, empty directory, and verify the copy."""
    with _opened(directory) as opened:
        progress = Progress("backup", opened.stat()["size"])
        opened.backup(target, progress)
        progress.end()
    _verified(target)


@store.command()
@click.argument("source", type=click.Path(exists=True, file_okay=False))
@_directory_new
def restore(source: str, directory: str) -> None:
    """Make a store anew from a backup: the directory must be absent or empty."""
    with _exit_on_error():
        if os.path.isdir(directory) and os.listdir(directory):
            raise StoreError(f"{directory}: not empty; move what is there away first")
        _verified(source)
    with _opened(source) as opened:
        progress = Progress("restore", opened.stat()["size"])
        opened.backup(directory, progress)
        progress.end()
    _verified(directory)


def _verified(path: str) -> None:
    findings, read = check_all(_ReadOnlyFiles(path))
    if findings:
        click.echo(f"yewrill store: {path}: {_finding_line(findings[0])}", err=True)
        sys.exit(1)
    click.echo(f"{path}: {read} bytes, all sound")


@store.command()
@_directory
def dump(directory: str) -> None:
    """Every record as a line of JSON (key and value in base64, expiry in ms), for `load`."""
    status = 0
    with _opened(directory) as opened, opened.snapshot() as snapshot:
        last = b""
        while True:
            try:
                for key, found in snapshot.scan(start=last):
                    last = key + b"\0"
                    click.echo(ujson.dumps(_record(key, found.value, found.expires)))
                break
            except DamagedValue as error:  # told, and the rest goes out
                click.echo(f"yewrill store: {error}", err=True)
                last, status = error.key + b"\0", 1
    sys.exit(status)


@store.command()
@_directory_new
@click.argument("lines", type=click.File("rb"), default="-")
def load(directory: str, lines: Any) -> None:
    """Put the records that `dump` printed; a bad line is named, and nothing after it is loaded."""
    with _exit_on_error(), Store(directory, maintain=False, reserve=0) as opened:
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
                    f"line {number}: no record: {error!r}; {count} records loaded"
                ) from None
            if len(batch.ops) >= LOAD_BATCH or batch.size > 2**23:
                opened.write(batch)
                count += len(batch.ops)
                batch = Batch()
        opened.write(batch)
        count += len(batch.ops)
    click.echo(f"{count} records loaded")
