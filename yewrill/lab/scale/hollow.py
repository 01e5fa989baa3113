"""Hollow dispatchers: the control plane of many dispatchers in one process, without serving requests.

    python -m yewrill.lab.scale.hollow CONFIGURATION ...

Each file is the configuration of one dispatcher. Its subsystems run as in a real dispatcher, with the same
state machines, codecs, timers and sockets; the decision engine and the endpoint list that they query are
replaced by those of an idle dispatcher. Commands are read from standard input, one on each line:

    status          writes the status of each dispatcher to standard output, as one line of JSON
    kill NAME ...   stops dispatchers at once, as a crash does
    start NAME ...  starts dispatchers again
    stop NAME ...   stops dispatchers gracefully
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


class _IdleEngine:
    """The decision engine of a dispatcher that has no workers and no requests."""

    def capacity(self) -> Mapping[int, float]:
        """Returns no slots for any zone."""
        return {}

    def stuck_attempts(self, _seconds: float) -> Mapping[int, int]:
        """Returns no stuck attempts for any zone."""
        return {}

    def set_zone_weights(self, _weights: Mapping[int, float]) -> None:
        """Ignores the weights of the zones."""


class _EmptyEndpointList:
    """An empty endpoint list."""

    def __init__(self, config: Config):
        self.topology = config.topology

    def get(self, _name: str) -> None:
        """Finds no endpoint."""


async def _reject_attempt(_attempt: Any) -> Any:
    raise AssertionError("a hollow dispatcher was asked to run an attempt")


class HollowDispatcher:
    """One dispatcher's control plane."""

    def __init__(self, path: Path):
        self._raw_config = ujson.loads(path.read_text())
        self.name = str(self._raw_config["name"])
        self._subsystems: dict[str, Subsystem] = {}
        self._scope = trio.CancelScope()
        self._ended = trio.Event()
        self._ended.set()

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the subsystems in the nursery, after those of an earlier start have ended."""
        await self._ended.wait()
        self._ended = trio.Event()
        config = read_config(self._raw_config)
        context = SubsystemContext(_IdleEngine(), _EmptyEndpointList(config), _reject_attempt)  # type: ignore[arg-type]
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
        """Stops gracefully: the subsystems send their final messages."""
        self._scope.cancel()

    def kill(self) -> None:
        """Stops without final messages, as a crash does."""
        members = self._subsystems["members"]
        assert isinstance(members, Members)
        if members.link is not None:
            members.link.stop_sending()
        self._scope.cancel()

    def status(self) -> dict[str, Any]:
        """Returns the status of each subsystem, by name."""
        return {key: dict(subsystem.status()) for key, subsystem in self._subsystems.items()}


class HollowHost:
    """Runs many hollow dispatchers in one process and executes the commands from standard input."""

    def __init__(self, paths: list[Path]):
        self._dispatchers = {
            dispatcher.name: dispatcher for dispatcher in map(HollowDispatcher, paths)
        }

    async def run(self) -> None:
        """Starts all dispatchers and executes commands until standard input ends."""
        async with trio.open_nursery() as nursery:
            for dispatcher in self._dispatchers.values():
                await dispatcher.start(nursery)
            async with trio.lowlevel.FdStream(sys.stdin.fileno()) as commands:
                incomplete_line = b""
                while data := await commands.receive_some():
                    *lines, incomplete_line = (incomplete_line + data).split(b"\n")
                    for line in lines:
                        await self._execute(line.decode().split(), nursery)
            nursery.cancel_scope.cancel()

    async def _execute(self, words: list[str], nursery: trio.Nursery) -> None:
        command, names = words[0], words[1:]
        if command == "status":
            statuses = {name: dispatcher.status() for name, dispatcher in self._dispatchers.items()}
            print(ujson.dumps(statuses), flush=True)
            return
        for name in names:
            dispatcher = self._dispatchers[name]
            if command == "kill":
                dispatcher.kill()
            elif command == "stop":
                dispatcher.stop()
            elif command == "start":
                await dispatcher.start(nursery)


def main() -> None:
    """Runs the dispatchers whose configuration files are on the command line."""
    trio.run(HollowHost([Path(name) for name in sys.argv[1:]]).run)


if __name__ == "__main__":
    main()
