"""Hollow dispatchers: the control of real ones, many in a process, and nothing served.

    python -m yewrill.lab.scale.hollow CONFIGURATION ...

Each file is a dispatcher's, as it ships; its hooks run as in a real one, on the same machines, formats,
timers and sockets. What they ask of the serving part (slots by zone) is answered as by one that has no work.
Commands come on standard input, a line each; `status` is answered by a line of JSON on standard output:

    status          what each says of itself
    kill NAME ...   end some without a word
    start NAME ...  start some anew
    stop NAME ...   end some in good order
"""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import trio
import ujson

from yewrill.config.reading import read_config
from yewrill.config.schema import Config
from yewrill.membership import Members
from yewrill.service.subsystems import Subsystem, SubsystemContext, create_subsystems


class _NoWork:
    """The serving part of a dispatcher without work."""

    def capacity(self) -> Mapping[int, float]:
        """No slots in any zone."""
        return {}

    def stuck_attempts(self, _seconds: float) -> Mapping[int, int]:
        """No attempt hangs."""
        return {}

    def set_zone_weights(self, _shares: Mapping[int, float]) -> None:
        """Nothing is shared out."""


class _NoPool:
    """The list of workers of a dispatcher without any."""

    def __init__(self, config: Config):
        self.topology = config.topology

    def get(self, _name: str) -> None:
        """There is none."""


async def _no_attempt(_step: Any) -> Any:
    raise AssertionError("a hollow dispatcher carries nothing")


class HollowDispatcher:
    """One of them."""

    def __init__(self, path: Path):
        self._raw = ujson.loads(path.read_text())
        self.name = str(self._raw["name"])
        self._subsystems: dict[str, Subsystem] = {}
        self._scope = trio.CancelScope()
        self._ended = trio.Event()
        self._ended.set()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start its hooks, and return once they run."""
        await self._ended.wait()
        self._ended = trio.Event()
        config = read_config(self._raw)
        context = SubsystemContext(_NoWork(), _NoPool(config), _no_attempt)  # type: ignore[arg-type]
        create_subsystems(config, context)
        self._subsystems = context.subsystems
        self._scope = trio.CancelScope()
        nursery.start_soon(self._run, self._scope)

    async def _run(self, scope: trio.CancelScope) -> None:
        try:
            with scope:
                async with trio.open_nursery() as nursery:
                    for subsystem in self._subsystems.values():
                        await nursery.start(subsystem.run)
        finally:
            self._ended.set()

    def stop(self) -> None:
        """End in good order."""
        self._scope.cancel()

    def kill(self) -> None:
        """End without a word."""
        members = self._subsystems["members"]
        assert isinstance(members, Members)
        if members.link is not None:
            members.link.stop_sending()
        self._scope.cancel()

    def status(self) -> dict[str, Any]:
        """What it says of itself, by hook."""
        return {key: dict(subsystem.status()) for key, subsystem in self._subsystems.items()}


class HollowHost:
    """A process of them, and the commands to it."""

    def __init__(self, paths: list[Path]):
        self._dispatchers = {one.name: one for one in map(HollowDispatcher, paths)}

    async def run(self) -> None:
        """Start all and obey until the input ends."""
        async with trio.open_nursery() as nursery:
            for one in self._dispatchers.values():
                await one.start(nursery)
            async with trio.lowlevel.FdStream(sys.stdin.fileno()) as commands:
                rest = b""
                while data := await commands.receive_some():
                    *lines, rest = (rest + data).split(b"\n")
                    for line in lines:
                        await self._obey(line.decode().split(), nursery)
            nursery.cancel_scope.cancel()

    async def _obey(self, words: list[str], nursery: trio.Nursery) -> None:
        command, names = words[0], words[1:]
        if command == "status":
            told = {name: one.status() for name, one in self._dispatchers.items()}
            print(ujson.dumps(told), flush=True)
            return
        for name in names:
            one = self._dispatchers[name]
            if command == "kill":
                one.kill()
            elif command == "stop":
                one.stop()
            elif command == "start":
                await one.start(nursery)


def main() -> None:
    """Run a host of the dispatchers whose files are named."""
    trio.run(HollowHost([Path(name) for name in sys.argv[1:]]).run)


if __name__ == "__main__":
    main()
