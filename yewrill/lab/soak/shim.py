"""Builds the preloaded library, and writes the shared page that controls it."""

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
_PAGE_HEADER = struct.Struct("=qii")
_RULE_LAYOUT = struct.Struct("=iiiiiIQ")
MAX_RULES = 8
PAGE_BYTES = _PAGE_HEADER.size + MAX_RULES * _RULE_LAYOUT.size
CERTAIN_CHANCE = 2**32 - 1


class Call(IntEnum):
    """The system calls that rules can apply to."""

    ACCEPT = 1
    RECV = 2
    SEND = 3
    CONNECT = 4
    SOCKET = 5
    PWRITE = 6
    SYNC = 7


class Origin(IntEnum):
    """The origin of a socket: accepted from a client, or connected to a worker or to discovery."""

    ANY = 0
    ACCEPTED = 1
    CONNECTED = 2


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule by which calls fail: with an error, after a delay, or after at most `max_bytes` bytes.

    Zero means no error, no delay and no limit. `chance` is the probability that the rule applies.
    """

    call: Call
    origin: Origin = Origin.ANY
    error: int = 0
    max_bytes: int = 0
    slow_ms: int = 0
    chance: float = 1.0


class NoCompiler(Exception):
    """There is no C compiler on this machine."""


def build_library() -> Path:
    """Returns the path of the library, which is built if there is none yet. Raises NoCompiler."""
    source = SOURCE.read_bytes()
    directory = Path(tempfile.gettempdir()) / f"yewrill-soak-{os.getuid()}"
    built = directory / f"shim-{hashlib.sha256(source).hexdigest()[:16]}.so"
    if built.exists():
        return built
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise NoCompiler("the soak needs a C compiler for its library of failing system calls")
    directory.mkdir(mode=0o700, exist_ok=True)
    temporary_path = built.with_suffix(f".{os.getpid()}")
    command = [compiler, "-shared", "-fPIC", "-O2", "-o", str(temporary_path), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    temporary_path.rename(built)
    return built


class Shim:
    """The control page of one dispatcher; it stays when the process restarts."""

    def __init__(self, path: Path):
        self.path = path
        path.write_bytes(bytes(PAGE_BYTES))
        with path.open("r+b") as file:
            self._page = mmap.mmap(file.fileno(), PAGE_BYTES)
        self._rules: list[Rule] = []

    def environment(self) -> dict[str, str]:
        """Returns the environment variables of a process that is to load the library."""
        return {"LD_PRELOAD": str(build_library()), "YEWRILL_SHIM": str(self.path)}

    def set_wall_clock_offset(self, offset: float) -> None:
        """Sets how many seconds the wall clock of the process is ahead."""
        struct.pack_into("=q", self._page, 0, int(offset * 1e9))

    def add(self, rules: Sequence[Rule]) -> None:
        """Adds rules; those beyond MAX_RULES are dropped."""
        self._rules = [*self._rules, *rules][:MAX_RULES]
        self._write()

    def remove(self, rules: Sequence[Rule]) -> None:
        """Removes rules."""
        for rule in rules:
            if rule in self._rules:
                self._rules.remove(rule)
        self._write()

    def _write(self) -> None:
        # With a count of 0, no rule applies during the update.
        struct.pack_into("=i", self._page, 8, 0)
        for number, rule in enumerate(self._rules):
            _RULE_LAYOUT.pack_into(
                self._page,
                _PAGE_HEADER.size + number * _RULE_LAYOUT.size,
                rule.call,
                rule.origin,
                rule.error,
                rule.max_bytes,
                rule.slow_ms,
                int(rule.chance * CERTAIN_CHANCE),
                0,
            )
        struct.pack_into("=i", self._page, 8, len(self._rules))
