"""Builds the preloaded library and writes the page by which it is told what to do."""

from __future__ import annotations

import hashlib
import mmap
import os
import shutil
import struct
import subprocess
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
_HEAD = struct.Struct("=qii")
_RULE = struct.Struct("=iiiiiIQ")
MAX_RULES = 8
PAGE_BYTES = _HEAD.size + MAX_RULES * _RULE.size
CERTAIN = 2**32 - 1


class Call(IntEnum):
    """The system calls that can be struck."""

    ACCEPT = 1
    RECV = 2
    SEND = 3
    CONNECT = 4
    SOCKET = 5
    PWRITE = 6
    SYNC = 7


class Origin(IntEnum):
    """How a socket came to be: by a client's connection or by one to a worker or discovery."""

    ANY = 0
    ACCEPTED = 1
    CONNECTED = 2


@dataclass(frozen=True, slots=True)
class Rule:
    """What befalls a call. `at_most` in bytes, `slow_ms` before the call, `chance` from 0 to 1."""

    call: Call
    origin: Origin = Origin.ANY
    error: int = 0
    max_count: int = 0
    slow_ms: int = 0
    chance: float = 1.0


class NoCompiler(Exception):
    """There is no C compiler on this machine."""


def library() -> Path:
    """The library, built if it is not there yet. Raises NoCompiler."""
    source = SOURCE.read_bytes()
    directory = Path(tempfile.gettempdir()) / f"yewrill-soak-{os.getuid()}"
    built = directory / f"shim-{hashlib.sha256(source).hexdigest()[:16]}.so"
    if built.exists():
        return built
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise NoCompiler("the soak needs a C compiler for its library of failing system calls")
    directory.mkdir(mode=0o700, exist_ok=True)
    aside = built.with_suffix(f".{os.getpid()}")
    command = [compiler, "-shared", "-fPIC", "-O2", "-o", str(aside), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    aside.rename(built)
    return built


class Shim:
    """The page of one dispatcher; it outlives restarts of the process."""

    def __init__(self, path: Path):
        self.path = path
        path.write_bytes(bytes(PAGE_BYTES))
        with path.open("r+b") as file:
            self._page = mmap.mmap(file.fileno(), PAGE_BYTES)
        self._rules: list[Rule] = []

    def environment(self) -> dict[str, str]:
        """Variables for the process that is to be under the shim."""
        return {"LD_PRELOAD": str(library()), "YEWRILL_SHIM": str(self.path)}

    def set_wall(self, offset: float) -> None:
        """Have its wall clock run so many seconds ahead."""
        struct.pack_into("=q", self._page, 0, int(offset * 1e9))

    def add(self, rules: Sequence[Rule]) -> None:
        """Put rules in force beside those that are; what does not fit is left out."""
        self._rules = [*self._rules, *rules][:MAX_RULES]
        self._write()

    def remove(self, rules: Sequence[Rule]) -> None:
        """End rules."""
        for rule in rules:
            if rule in self._rules:
                self._rules.remove(rule)
        self._write()

    def _write(self) -> None:
        struct.pack_into("=i", self._page, 8, 0)  # none while they are being written
        for number, rule in enumerate(self._rules):
            _RULE.pack_into(
                self._page,
                _HEAD.size + number * _RULE.size,
                rule.call,
                rule.origin,
                rule.error,
                rule.max_count,
                rule.slow_ms,
                int(rule.chance * CERTAIN),
                0,
            )
        struct.pack_into("=i", self._page, 8, len(self._rules))
