"""The drain that operators start and end: it moves clients to other dispatchers without losing a request."""

from __future__ import annotations

import logging
from dataclasses import dataclass

import trio

from yewrill.net.listener import Listener
from yewrill.service.background_tasks import BackgroundTasks

log = logging.getLogger("yewrill")

# Time from the start of the drain until connections are closed after their answers, and until idle
# connections are closed.
CLOSE_ANSWERED_AFTER_SECONDS = 0.2
CLOSE_IDLE_AFTER_SECONDS = 1.2
# Connections that have been idle for at least this time are closed.
MIN_IDLE_SECONDS = 0.3
IDLE_CHECKS_PER_IDLE_PERIOD = 3


@dataclass(slots=True)
class OperatorDrainState:
    """The state of the drain, as requests and the readiness check see it."""

    active: bool = False
    closing_connections: bool = False  # whether client connections are closed after their answer


class OperatorDrain:
    """Starts and ends the drain."""

    def __init__(self, state: OperatorDrainState, listener: Listener, tasks: BackgroundTasks):
        self._state = state
        self._listener = listener
        self._tasks = tasks
        self._release_scope = trio.CancelScope()

    @property
    def active(self) -> bool:
        """Whether operators have drained this dispatcher."""
        return self._state.active

    def set(self, on: bool) -> None:
        """Starts or ends the drain; does nothing if the drain is in that state already."""
        if on == self._state.active:
            return
        self._state.active = on
        log.info(
            "operator_drain_%s clients=%d",
            "started" if on else "ended",
            len(self._listener.clients),
        )
        self._release_scope.cancel()
        self._state.closing_connections = False
        if on:
            self._release_scope = trio.CancelScope()
            self._tasks.start(self._release_clients, self._release_scope)

    async def _release_clients(self, scope: trio.CancelScope) -> None:
        """Closes busy connections after their answers and then idle ones, so that no request is lost."""
        with scope:
            began = trio.current_time()
            await trio.sleep(CLOSE_ANSWERED_AFTER_SECONDS)
            self._state.closing_connections = True
            await trio.sleep_until(began + CLOSE_IDLE_AFTER_SECONDS)
            while True:
                self._listener.close_idle(MIN_IDLE_SECONDS)
                await trio.sleep(MIN_IDLE_SECONDS / IDLE_CHECKS_PER_IDLE_PERIOD)
