"""The history of a test cluster: the events that each party saw, timed by the one clock of the rig."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import trio
import ujson

# Keys of every line: `at` (seconds), `by` (the party) and `what` (the event); others depend on the event.
Line = dict[str, Any]


class History:
    """The lines recorded so far, in order of time."""

    def __init__(self) -> None:
        self.lines: list[Line] = []
        self._changed = trio.Event()

    def note(self, by: str, what: str, **more: Any) -> None:
        """Records an event and wakes the tasks that wait in `wait_until`."""
        self.put(by, what, **more)
        self._changed.set()

    def put(self, by: str, what: str, **more: Any) -> None:
        """Records an event that no condition of `wait_until` depends on."""
        self.lines.append({"at": trio.current_time(), "by": by, "what": what, **more})

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds that can change only when an event is noted."""
        while not condition():
            self._changed = trio.Event()
            await self._changed.wait()

    def lines_of(self, what: str) -> Iterator[Line]:
        """Returns the lines of one event."""
        return (line for line in self.lines if line["what"] == what)

    def write(self, path: Path) -> None:
        """Writes the history to a file, one JSON object per line."""
        path.write_text("".join(ujson.dumps(line) + "\n" for line in self.lines))


def read_history(path: Path) -> list[Line]:
    """Reads a file written by `History.write`."""
    return [ujson.loads(line) for line in path.read_text().splitlines()]
