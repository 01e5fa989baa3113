"""The store that a dispatcher's state lies in: opened, written to within a limit of time, opened anew.

A store whose sync has failed takes no write any more, since nobody knows what of its pages is on disk.
`Disk` closes it and opens it again, which begins a new segment: nothing is synced a second time on the same
pages. Whoever uses it then writes anew what is to be kept (`on_reopened`).
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from enum import Enum

import trio
import ujson

from yewrill.config.schema import StateConfig
from yewrill.store import Batch, Store, StoreError, StoreHeld, StorePoisoned

log = logging.getLogger("yewrill.state")

SEGMENT_BYTES = 4 * 1024 * 1024
HELD_RETRY = 0.25  # seconds before the next try for a store that another run still has
REOPEN_FIRST, REOPEN_FACTOR, REOPEN_MOST = 0.1, 2.0, 5.0  # seconds between tries to open it anew


class NotKept(Enum):
    """Why a write is not known to be on disk."""

    NO_STORE = "no store is open"
    SLOW_DISK = "slow disk"
    FAILED = "write failed"
    POISONED = "a sync failed"


class Unreadable(Exception):
    """The disk failed a read: whether there is more can't be said now, but later perhaps."""


class Disk:
    """One store, held by this process or by another run of it."""

    def __init__(self, config: StateConfig):
        self._config = config
        self._store: Store | None = None
        self._closing = False
        self._ailing = trio.Event()  # the store is to be opened anew
        self._told = False  # a failure was logged, and no success since
        self.reopened = 0  # times
        # Awaited after it was opened anew, with all that must be written again still to be written.
        self.on_reopened: Callable[[], Awaitable[None]] | None = None

    @property
    def store(self) -> Store | None:
        """The store, None while there is none to write to."""
        return self._store

    def open(self) -> None:
        """Blocks. Raises StoreHeld while another run has it, OSError where there can be none."""
        self._store = Store(
            self._config.path,
            mode=self._config.mode,
            segment_size=SEGMENT_BYTES,
            reserve=SEGMENT_BYTES,
            compaction_rate=SEGMENT_BYTES,
        )

    def close(self, last: Batch) -> None:
        """Write a last batch and let the store go. Blocks."""
        self._closing = True
        store, self._store = self._store, None
        if store is None:
            return
        with suppress(StoreError):
            if last.ops:
                store.write(last)
        store.close()

    async def wait_until_held(self) -> None:
        """Open the store as soon as the run that has it is gone."""
        while True:
            try:
                await trio.to_thread.run_sync(self.open)
                return
            except (StoreHeld, OSError):
                await trio.sleep(HELD_RETRY)

    async def write(self, batch: Batch) -> NotKept | None:
        """Write and wait for that a little: None once it is on disk, else why it isn't known to be."""
        found, detail = await self._write(batch)
        if found is not None and not self._told:
            log.error("state-failed reason=%s detail=%s", found.name.lower(), detail)
        elif found is None and self._told:
            log.info("state-back")
        self._told = found is not None
        return found

    async def _write(self, batch: Batch) -> tuple[NotKept | None, str]:
        store = self._store
        if store is None:
            return NotKept.NO_STORE, NotKept.NO_STORE.value
        with trio.move_on_after(self._config.patience_ms / 1000.0):
            try:
                await store.awrite(batch)
                return None, ""
            except StorePoisoned as error:
                self._ailing.set()
                return NotKept.POISONED, str(error)
            except (StoreError, OSError) as error:
                return NotKept.FAILED, str(error)
        return NotKept.SLOW_DISK, NotKept.SLOW_DISK.value

    async def keep_well(self) -> None:
        """Open the store anew whenever a sync of it has failed."""
        while True:
            await self._ailing.wait()
            self._ailing = trio.Event()  # a write may fail again while it is opened
            await self._reopen()

    async def _reopen(self) -> None:
        ailing, self._store = self._store, None
        if ailing is not None:
            await trio.to_thread.run_sync(self._let_go, ailing)
        pause = REOPEN_FIRST
        while not self._closing:
            try:
                await trio.to_thread.run_sync(self.open)
            except (StoreError, OSError) as error:
                log.warning("state-not-reopened pause_s=%g: %s", pause, error)
                await trio.sleep(pause)
                pause = min(REOPEN_MOST, pause * REOPEN_FACTOR)
                continue
            self.reopened += 1
            log.info("state-reopened times=%d", self.reopened)
            if self.on_reopened is not None:
                await self.on_reopened()
            return

    @staticmethod
    def _let_go(store: Store) -> None:
        with suppress(StoreError, OSError):
            store.close()

    def rows(self, prefix: bytes) -> Iterator[tuple[str, dict]]:
        """Records of one sort: what follows the prefix, and the value. Blocks.

        What is damaged is left out, and told. Raises Unreadable where the disk failed.
        """
        if self._store is None:
            return
        try:
            for key, value in self._store.scan(prefix=prefix):
                with suppress(ValueError):
                    yield key[len(prefix) :].decode(errors="replace"), ujson.loads(value)
        except StoreError as error:
            log.error("state-unreadable records=%s: %s", prefix.decode(), error)
        except OSError as error:
            log.error("state-unreadable records=%s: %s", prefix.decode(), error)
            raise Unreadable(str(error)) from error
