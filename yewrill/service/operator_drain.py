"""The drain that operators order: clients are moved away without losing a request, until it is ended."""

from __future__ import annotations

import logging
from dataclasses import dataclass

import trio

from yewrill.net.listener import Listener
from yewrill.service.background_tasks import BackgroundTasks

log = logging.getLogger("yewrill")

# Counted from the beginning of the drain: when answers begin to close their connections, and when idle
# connections begin to close.
CLOSE_ANSWERED_AFTER_SECONDS = 0.2
CLOSE_IDLE_AFTER_SECONDS = 1.2
MIN_IDLE_SECONDS = 0.3  # connections that have been idle for so long are closed
RELEASES_PER_IDLE_PERIOD = 3


@dataclass(slots=True)
class OperatorDrainState:
    """What the drain means for requests and for the readiness check."""

    active: bool = False
    closing_connections: bool = False  # client connections close after their answer


class OperatorDrain:
    """Begins and ends the drain."""

    def __init__(self, state: OperatorDrainState, listener: Listener, tasks: BackgroundTasks):
        self._state = state
        self._listener = listener
        self._tasks = tasks
        self._releasing = trio.CancelScope()

    @property
    def active(self) -> bool:
        """Whether operators have drained this dispatcher."""
        return self._state.active

    def set(self, on: bool) -> None:
        """Begin or end the drain; nothing happens if it is so already."""
        if on == self._state.active:
            return
        self._state.active = on
        log.info(
            "operator_drain_%s clients=%d",
            "started" if on else "ended",
            len(self._listener.clients),
        )
        self._releasing.cancel()
        self._state.closing_connections = False
        if on:
            self._releasing = trio.CancelScope()
            self._tasks.start(self._release_clients, self._releasing)

    async def _release_clients(self, scope: trio.CancelScope) -> None:
        """Close connections without losing a request: busy ones with their answers, then idle ones."""
        with scope:
            began = trio.current_time()
            await trio.sleep(CLOSE_ANSWERED_AFTER_SECONDS)
            self._state.closing_connections = True
            await trio.sleep_until(began + CLOSE_IDLE_AFTER_SECONDS)
            while True:
                self._listener.close_idle(MIN_IDLE_SECONDS)
                await trio.sleep(MIN_IDLE_SECONDS / RELEASES_PER_IDLE_PERIOD)
