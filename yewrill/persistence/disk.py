"""The store under the persistent state: opening, writes with a timeout, reopening after a failed sync.

A store whose sync has failed accepts no further write, since it is unknown which of its pages are on disk.
`Disk` closes and reopens it. The reopened store writes to a new segment, so that no page is synced twice.
The owner of the state then writes all of it again (`on_reopened`).
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from enum import Enum

import trio
import ujson

from yewrill.config.schema import StateConfig
from yewrill.store import Batch, Store, StoreError, StoreLocked, StorePoisoned

log = logging.getLogger("yewrill.state")

SEGMENT_BYTES = 4 * 1024 * 1024
# Time between attempts to open a store that another process has locked.
LOCK_RETRY_SECONDS = 0.25
# Exponential backoff between attempts to reopen a store whose sync failed.
REOPEN_MIN_SECONDS = 0.1
REOPEN_FACTOR = 2.0
REOPEN_MAX_SECONDS = 5.0


class WriteFailure(Enum):
    """The reason why a write is not certainly on disk. The log has the member's name in lower case."""

    NO_STORE = "no store is open"
    SLOW_DISK = "slow disk"
    FAILED = "write failed"
    POISONED = "a sync failed"


class Unreadable(Exception):
    """A read of the disk failed, so there may be more records. A later read may succeed."""


class Disk:
    """The store in `state_dir`. During a hot restart another process may have it open."""

    def __init__(self, config: StateConfig, on_reopened: Callable[[], Awaitable[None]]):
        """`on_reopened` is awaited after each reopening and has to write the whole state again."""
        self._config = config
        self._store: Store | None = None
        self._closing = False
        self._on_reopened = on_reopened
        self._reopen_needed = trio.Event()
        # Whether a failed write was logged and no write has succeeded since.
        self._failure_logged = False
        self.reopen_count = 0

    @property
    def store(self) -> Store | None:
        """The open store, None while this process has none open."""
        return self._store

    def open(self) -> None:
        """Opens the store. Blocks.

        Raises StoreLocked while another process has it open, OSError if it can't be created.
        """
        self._store = Store(
            self._config.path,
            mode=self._config.mode,
            segment_size=SEGMENT_BYTES,
            reserve=SEGMENT_BYTES,
            compaction_rate=SEGMENT_BYTES,
        )

    def close(self, last: Batch) -> None:
        """Writes a last batch and closes the store. Blocks."""
        self._closing = True
        store, self._store = self._store, None
        if store is None:
            return
        with suppress(StoreError):
            if last.ops:
                store.write(last)
        store.close()

    async def open_when_released(self) -> None:
        """Opens the store once the process that has it open exits.

        Cancellation between two attempts leaves the store closed.
        """
        while True:
            try:
                await trio.to_thread.run_sync(self.open)
                return
            except (StoreLocked, OSError):
                await trio.sleep(LOCK_RETRY_SECONDS)

    async def write(self, batch: Batch) -> WriteFailure | None:
        """Writes a batch with a timeout of `patience_ms`.

        Returns None once the batch is on disk, else the reason why that is not certain.

        A write that timed out or was cancelled may still reach the disk.
        """
        failure, detail = await self._write(batch)
        if failure is not None and not self._failure_logged:
            log.error(
                "persistent_state_write_failed reason=%s detail=%s", failure.name.lower(), detail
            )
        elif failure is None and self._failure_logged:
            log.info("persistent_state_write_recovered")
        self._failure_logged = failure is not None
        return failure

    async def _write(self, batch: Batch) -> tuple[WriteFailure | None, str]:
        store = self._store
        if store is None:
            return WriteFailure.NO_STORE, WriteFailure.NO_STORE.value
        with trio.move_on_after(self._config.patience_ms / 1000.0):
            try:
                await store.awrite(batch)
                return None, ""
            except StorePoisoned as error:
                self._reopen_needed.set()
                return WriteFailure.POISONED, str(error)
            except (StoreError, OSError) as error:
                return WriteFailure.FAILED, str(error)
        return WriteFailure.SLOW_DISK, WriteFailure.SLOW_DISK.value

    async def reopen_after_failed_syncs(self) -> None:
        """Reopens the store each time a sync of it has failed. Runs until cancelled."""
        while True:
            await self._reopen_needed.wait()
            # Replaced before the store is reopened, since a write may fail again meanwhile.
            self._reopen_needed = trio.Event()
            await self._reopen()

    async def _reopen(self) -> None:
        poisoned, self._store = self._store, None
        if poisoned is not None:
            await trio.to_thread.run_sync(self._close_poisoned, poisoned)
        retry_in = REOPEN_MIN_SECONDS
        while not self._closing:
            try:
                await trio.to_thread.run_sync(self.open)
            except (StoreError, OSError) as error:
                log.warning("persistent_state_reopen_failed retry_in_s=%g: %s", retry_in, error)
                await trio.sleep(retry_in)
                retry_in = min(REOPEN_MAX_SECONDS, retry_in * REOPEN_FACTOR)
                continue
            self.reopen_count += 1
            log.info("persistent_state_reopened count=%d", self.reopen_count)
            await self._on_reopened()
            return

    @staticmethod
    def _close_poisoned(store: Store) -> None:
        with suppress(StoreError, OSError):
            store.close()

    def records(self, prefix: bytes) -> Iterator[tuple[str, dict]]:
        """Yields the key without the prefix and the decoded JSON value of each record under a prefix. Blocks.

        Invalid JSON is skipped. Damage ends the iteration and is logged. Raises Unreadable if a read fails.
        """
        if self._store is None:
            return
        try:
            for key, value in self._store.scan(prefix=prefix):
                with suppress(ValueError):
                    yield key[len(prefix) :].decode(errors="replace"), ujson.loads(value)
        except StoreError as error:
            log.error("persistent_state_unreadable records=%s: %s", prefix.decode(), error)
        except OSError as error:
            log.error("persistent_state_unreadable records=%s: %s", prefix.decode(), error)
            raise Unreadable(str(error)) from error
