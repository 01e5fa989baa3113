"""The interface of the persistent state: operators' settings, the endpoint list and records of attempts.

The record of an attempt is on disk before the attempt's first byte is sent, and an operator's setting before
its management call is answered. Everything else is written in the background.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from functools import partial

import trio
import ujson

from yewrill.config.schema import StateConfig
from yewrill.net.endpoint_list import EndpointList
from yewrill.observability.metrics import Metrics
from yewrill.persistence.attempt_journal import AttemptJournal
from yewrill.persistence.attempts import Clocks
from yewrill.persistence.clock import read_boot_id, read_clocks
from yewrill.persistence.disk import Disk, log
from yewrill.persistence.operator_state import (
    DETACHED_PREFIX,
    ENDPOINT_LIST_KEY,
    REATTACHED_PREFIX,
    RestoredState,
    put_detached,
    put_operator_drain,
    put_reattached,
    read_state,
    stored_worker_keys,
)
from yewrill.store import Batch, StoreError

# Time between background writes.
WRITE_INTERVAL_SECONDS = 0.5
# Least time between writes of the endpoint list.
ENDPOINT_LIST_INTERVAL_SECONDS = 1.0
RUN_ID_BYTES = 6


class PersistentState:
    """The state that outlives this process. `open_store` is called before other methods.

    `attempts` is the journal of attempts.
    """

    def __init__(
        self,
        config: StateConfig,
        endpoints: EndpointList,
        metrics: Metrics,
        *,
        clocks: Callable[[], Clocks] | None = None,
        run_id: str | None = None,
    ):
        """`clocks` defaults to the system's clocks, `run_id` to a random id."""
        if clocks is None:
            clocks = partial(read_clocks, read_boot_id())
        self._endpoints = endpoints
        self._metrics = metrics
        self._clocks = clocks
        self._disk = Disk(config, on_reopened=self._rewrite)
        self.attempts = AttemptJournal(
            self._disk,
            endpoints,
            non_idempotent_window_ms=config.unsafe_window_ms,
            write=self._write,
            clocks=clocks,
            run_id=os.urandom(RUN_ID_BYTES).hex() if run_id is None else run_id,
        )
        self._operator_drain = False
        # Whether a write of an operator's setting failed and has to be repeated.
        self._rewrite_needed = False
        self._endpoint_list_changed = trio.Event()

    # -- opening and closing

    def open_store(self) -> None:
        """Opens the store. Blocks.

        Raises StoreLocked while another process has it open, OSError if it can't be created.
        """
        self._disk.open()

    def close_store(self) -> None:
        """Writes the pending deletions and closes the store. Blocks."""
        self._disk.close(self.attempts.take_pending_deletions(Batch()))

    @property
    def store_open(self) -> bool:
        """Whether this process has the store open."""
        return self._disk.store is not None

    async def take_over_store(self) -> None:
        """Waits until the process that has the store open exits, then opens it and reads its attempts."""
        await self._disk.open_when_released()
        await trio.to_thread.run_sync(self.attempts.recover)

    def restore(self) -> RestoredState:
        """Returns the state that the last run stored, and reads the attempts it had in flight. Blocks."""
        state = read_state(self._disk, self._clocks())
        self._operator_drain = state.operator_drain
        self.attempts.recover()
        log.info(
            "persistent_state_restored detached=%d reattached=%d operator_drain=%s endpoints=%d"
            " attempts=%d",
            len(state.detached),
            len(state.reattached),
            state.operator_drain,
            len(state.endpoint_list["servers"]) if state.endpoint_list else 0,
            self.attempts.recovered_count,
        )
        return state

    # -- background writes

    async def run(self) -> None:
        """Runs the background writes, and reopens the store after failed syncs. Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_endpoint_list)
            nursery.start_soon(self._disk.reopen_after_failed_syncs)
            while True:
                await trio.sleep(WRITE_INTERVAL_SECONDS)
                await self._write_pending()

    async def _write_pending(self) -> None:
        if self.store_open and not self.attempts.recovered:
            await trio.to_thread.run_sync(self.attempts.recover)
        self.attempts.expire_recovered()
        if self._rewrite_needed and self.store_open:
            await self._rewrite()
        if self.attempts.has_pending_deletions and self.store_open:
            await self.attempts.write_with_pending_deletions(Batch())

    async def _write_endpoint_list(self) -> None:
        while True:
            await self._endpoint_list_changed.wait()
            self._endpoint_list_changed = trio.Event()
            if self.store_open:
                snapshot = self._endpoints.snapshot()
                text = await trio.to_thread.run_sync(lambda s=snapshot: ujson.dumps(s).encode())
                if not await self._write(Batch().put(ENDPOINT_LIST_KEY, text)):
                    self._endpoint_list_changed.set()
            await trio.sleep(ENDPOINT_LIST_INTERVAL_SECONDS)

    def endpoint_list_changed(self) -> None:
        """Schedules a write of the endpoint list."""
        self._endpoint_list_changed.set()

    async def _rewrite(self) -> None:
        """Writes the whole state again, after the store was reopened or a write failed."""
        batch = Batch()
        for key in await trio.to_thread.run_sync(stored_worker_keys, self._disk):
            batch.delete(key)
        for name in self._endpoints.detached:
            put_detached(batch, name)
        for name, age_ms in self._endpoints.recently_attached.items():
            put_reattached(batch, name, age_ms, self._clocks())
        put_operator_drain(batch, self._operator_drain)
        self.attempts.put_records(batch)
        self._rewrite_needed = not await self._write(batch)
        self.endpoint_list_changed()

    # -- operators' settings

    async def write_detached(self, name: str) -> bool:
        """Records that a worker was detached; returns whether that is on disk. Failures are retried."""
        batch = put_detached(Batch(), name).delete(REATTACHED_PREFIX + name.encode())
        return await self._write_setting(batch)

    async def write_reattached(self, name: str) -> bool:
        """Records that a worker was reattached, like `write_detached`."""
        batch = Batch().delete(DETACHED_PREFIX + name.encode())
        return await self._write_setting(put_reattached(batch, name, 0.0, self._clocks()))

    async def write_operator_drain(self, on: bool) -> bool:
        """Records the start or end of the operator drain, like `write_detached`."""
        self._operator_drain = on
        return await self._write_setting(put_operator_drain(Batch(), on))

    async def _write_setting(self, batch: Batch) -> bool:
        written = await self._write(batch)
        if not written:
            self._rewrite_needed = True
        return written

    async def rewrite_settings(self, operator_drain: bool) -> None:
        """Writes all settings, after the store was taken over from another process."""
        self._operator_drain = operator_drain
        await self._rewrite()

    # -- values of other subsystems (the trace spool)

    def prefix_usage(self, prefix: bytes) -> tuple[int, int]:
        """Returns the total bytes of the values under a prefix, and the number in the last key. Blocks.

        Keys consist of the prefix and a hexadecimal number.
        """
        size = number = 0
        if (store := self._disk.store) is not None:
            for key, value in store.scan(prefix=prefix):
                size, number = size + len(value), int(key[len(prefix) :], 16)
        return size, number

    def first_item(self, prefix: bytes) -> tuple[bytes, bytes] | None:
        """Returns the first key under a prefix and its value, None if there is none readable. Blocks."""
        if (store := self._disk.store) is None:
            return None
        try:
            return next(store.scan(prefix=prefix), None)
        except (StoreError, OSError) as error:
            log.error("persistent_state_unreadable records=%s: %s", prefix.decode(), error)
            return None

    async def put(self, key: bytes, value: bytes) -> bool:
        """Writes a value; returns whether it is on disk."""
        return await self._write(Batch().put(key, value))

    async def delete(self, key: bytes) -> bool:
        """Deletes a value; returns whether the deletion is on disk."""
        return await self._write(Batch().delete(key))

    async def _write(self, batch: Batch) -> bool:
        """Writes a batch with a timeout and counts the result; returns whether the batch is on disk."""
        written = await self._disk.write(batch) is None
        self._metrics.count_state_write(written)
        self._metrics.add({"state_reopened": self._disk.reopen_count})
        return written
