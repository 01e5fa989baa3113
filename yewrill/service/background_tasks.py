"""Background tasks of the service, in one nursery."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import trio

log = logging.getLogger("yewrill")

# Pause before a task that raised is started again.
RESTART_PAUSE_SECONDS = 0.1


class BackgroundTasks:
    """Starts tasks in the service's nursery. `nursery` is set when the service starts to run."""

    nursery: trio.Nursery

    def start(self, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Runs a task once. If it raises, the service ends."""
        self.nursery.start_soon(task, *args)

    def start_supervised(self, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Runs a task and starts it again whenever it raises or returns."""
        self.nursery.start_soon(supervise, task, *args)


async def supervise(task: Callable[..., Awaitable[None]], *args: Any) -> None:
    """Runs a task that must survive its own exceptions: one faulty endpoint list must not end the process.

    Each exception is logged. A task that returns is started again as well. Cancellation ends the task and the
    supervision.
    """
    while True:
        try:
            await task(*args)
        except Exception:
            log.exception("task_raised task=%s", getattr(task, "__name__", task))
            await trio.sleep(RESTART_PAUSE_SECONDS)
