"""Restores persistent state at a start, and takes over the store when an old process releases it."""

from __future__ import annotations

import logging
from typing import Any

import trio

from yewrill.config.errors import ConfigError
from yewrill.net.endpoint_list import EndpointList
from yewrill.persistence import PersistentState
from yewrill.service.background_tasks import BackgroundTasks
from yewrill.service.operator_drain import OperatorDrain
from yewrill.service.state_exchange import StateExchange
from yewrill.store import StoreLocked

log = logging.getLogger("yewrill")


class StateStartup:
    """Opens the store, restores the state from it, and starts the task that writes changes."""

    def __init__(
        self,
        persistent_state: PersistentState,
        endpoints: EndpointList,
        state_exchange: StateExchange,
        operator_drain: OperatorDrain,
        tasks: BackgroundTasks,
        *,
        may_wait: bool,
    ):
        self._persistent_state = persistent_state
        self._endpoints = endpoints
        self._state_exchange = state_exchange
        self._operator_drain = operator_drain
        self._tasks = tasks
        self._may_wait = may_wait  # whether an old process may still hold the store

    async def restore(self) -> dict[str, Any] | None:
        """Reads the state that the last process wrote. Returns None if an old process still holds the store.

        Raises OSError if another process holds the store and the service must not wait for it.
        """
        try:
            await trio.to_thread.run_sync(self._persistent_state.open_store)
        except StoreLocked as error:
            if not self._may_wait:
                raise OSError(f"state_dir: {error}") from None
            log.info("persistent_state_waiting_for_store error=%s", error)
            return None
        return (await trio.to_thread.run_sync(self._persistent_state.restore)).as_message()

    def begin(self, restored: dict[str, Any] | None) -> None:
        """Applies the restored state, and starts the task that writes every change."""
        if restored is None:
            self._tasks.start_supervised(self._take_over_store)
        else:
            try:
                if restored["list"]:
                    self._endpoints.apply(restored["list"], cached=True)
            except ConfigError as error:  # the stored list may have the format of another version
                log.error("persistent_state_unreadable records=list: %s", error)
            self._state_exchange.apply({**restored, "list": None})
        self._endpoints.subscribe_to_lists(self._persistent_state.endpoint_list_changed)
        if len(self._endpoints) and not (restored and restored["list"]):
            # The list that the configuration supplied is stored.
            self._persistent_state.endpoint_list_changed()
        self._tasks.start_supervised(self._persistent_state.run)

    async def _take_over_store(self) -> None:
        """Waits until the old process releases the store, then writes the operators' orders that it sent.

        The old process does not send records of attempts."""
        await self._persistent_state.take_over_store()
        await self._persistent_state.rewrite_settings(self._operator_drain.active)
        log.info("persistent_state_taken_over")
        await trio.sleep_forever()
