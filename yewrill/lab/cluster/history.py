"""What happened, as every party saw it: lines with the one clock of the rig."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import trio
import ujson

Line = dict[str, Any]  # at (seconds), by (who), what, and what belongs to it


class History:
    def __init__(self) -> None:
        self.lines: list[Line] = []
        self._news = trio.Event()

    def note(self, by: str, what: str, **more: Any) -> None:
        self.put(by, what, **more)
        self._news.set()

    def put(self, by: str, what: str, **more: Any) -> None:
        """Note what nobody waits for."""
        self.lines.append({"at": trio.current_time(), "by": by, "what": what, **more})

    async def until(self, true: Callable[[], bool]) -> None:
        """Wait until something holds that only what is noted here can bring about."""
        while not true():
            self._news = trio.Event()
            await self._news.wait()

    def of(self, what: str) -> Iterator[Line]:
        return (line for line in self.lines if line["what"] == what)

    def write(self, path: Path) -> None:
        path.write_text("".join(ujson.dumps(line) + "\n" for line in self.lines))


def read_history(path: Path) -> list[Line]:
    return [ujson.loads(line) for line in path.read_text().splitlines()]
