"""The tasks that run beside the service, and the one nursery that holds them."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import trio

log = logging.getLogger("yewrill")

RESTART_PAUSE_SECONDS = 0.1  # before a task that raised is started again


class BackgroundTasks:
    """Starts tasks in the service's nursery, which is set once the service runs."""

    nursery: trio.Nursery

    def start(self, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Run a task once. An exception of it ends the service."""
        self.nursery.start_soon(task, *args)

    def start_supervised(self, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Run a task and start it again whenever it raises."""
        self.nursery.start_soon(supervise, task, *args)


async def supervise(task: Callable[..., Awaitable[None]], *args: Any) -> None:
    """Run a task that must outlive its own exceptions: one bad list must not end the program.

    Each exception is logged. A task that returns is started again as well. Cancellation ends both.
    """
    while True:
        try:
            await task(*args)
        except Exception:
            log.exception("task_raised task=%s", getattr(task, "__name__", task))
            await trio.sleep(RESTART_PAUSE_SECONDS)
