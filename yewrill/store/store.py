"""The public interface of a store: the engine with its threads, for blocking callers and for trio.

`GroupCommit` writes batches in one thread, `Maintenance` compacts in another.
"""

from __future__ import annotations

import logging
import random
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from yewrill.store import policy
from yewrill.store.engine import Engine
from yewrill.store.files import Files, RealFiles
from yewrill.store.format import Batch
from yewrill.store.group_commit import GroupCommit, ResultCallback
from yewrill.store.maintenance import Maintenance
from yewrill.store.reader import Snapshot, VersionedValue

log = logging.getLogger("yewrill.store")

MODES = ("always", "interval", "never")


def wall_clock() -> int:
    """Returns the milliseconds since the Unix epoch."""
    return int(time.time() * 1000.0)


class Store:
    """A store that is open, with its directory locked, until `close`. Any thread may call its methods."""

    def __init__(
        self,
        path: str | Path | Files,
        *,
        mode: str = "always",
        interval: float = 1.0,
        clock: Callable[[], int] = wall_clock,
        segment_size: int = 32 * 1024 * 1024,
        reserve: int = 8 * 1024 * 1024,
        compaction_rate: float = 16 * 1024 * 1024,
        rules: policy.CompactionRules | None = None,
        maintain: bool = True,
    ):
        """Opens the store; creates the directory if it does not exist.

        `interval` is in seconds, sizes are in bytes, `compaction_rate` is in bytes per second (0: unlimited).
        Raises StoreLocked if another process has the store open, OSError if the directory can't be created.
        """
        if mode not in MODES:
            raise ValueError(f"mode: {mode!r} is not one of {', '.join(MODES)}")
        self.mode = mode
        self.clock = clock
        files = RealFiles(path) if isinstance(path, (str, Path)) else path
        self.engine = Engine(
            files,
            salt=lambda: random.SystemRandom().getrandbits(32),
            rules=rules,
            segment_size=segment_size,
            reserve=reserve,
        )
        for finding in self.engine.findings:
            log.warning("store_finding %s", finding)
        maintenance_due = threading.Event()
        self._group_commit = GroupCommit(
            self.engine, clock, mode=mode, interval=interval, maintenance_due=maintenance_due
        )
        self._maintenance = Maintenance(self.engine, clock, compaction_rate, maintenance_due)
        if maintain:
            self._maintenance.start()

    # -- writing

    def submit(self, batch: Batch, done: ResultCallback) -> None:
        """Queues a batch. `done` is called in another thread with the batch's version, or a StoreError.

        Raises StoreQueueFull, StoreClosed.
        """
        self._group_commit.submit(batch, done)

    def write(self, batch: Batch) -> int:
        """Writes a batch and waits for its acknowledgement; returns its first operation's version.

        Raises StoreError.
        """
        return self._group_commit.write(batch)

    async def awrite(self, batch: Batch) -> int:
        """Like `write`, without blocking trio's event loop. Cancellation ends the wait, not the write.

        Raises StoreQueueFull instead of waiting for space in the queue.
        """
        return await self._group_commit.awrite(batch)

    def put(self, key: bytes, value: bytes, expires: int = 0) -> int:
        """Sets one key; returns its version. Raises StoreError."""
        return self.write(Batch().put(key, value, expires))

    def put_if(self, key: bytes, value: bytes, version: int, expires: int = 0) -> int:
        """Sets one key if its current version is `version` (0: absent). Raises Conflict, StoreError."""
        return self.write(Batch().require(key, version).put(key, value, expires))

    def delete(self, key: bytes) -> int:
        """Deletes one key; returns the version of the deletion. Raises StoreError."""
        return self.write(Batch().delete(key))

    # -- reading

    def get(self, key: bytes) -> bytes | None:
        """Returns the value of a key, None if it is absent or expired. Raises DamagedValue."""
        found = self.engine.get(key, self.clock())
        return None if found is None else found.value

    def find(self, key: bytes) -> VersionedValue | None:
        """Like `get`, but returns the value with its version and expiry."""
        return self.engine.get(key, self.clock())

    def scan(
        self,
        *,
        prefix: bytes = b"",
        start: bytes = b"",
        stop: bytes | None = None,
        reverse: bool = False,
    ) -> Iterator[tuple[bytes, bytes]]:
        """Yields keys and values in order; see `Engine.scan`."""
        for key, value, _, _ in self.engine.rows(self.clock(), prefix, start, stop, reverse):
            yield key, value

    def snapshot(self) -> Snapshot:
        """Returns a consistent view of the store at this moment; the caller closes it."""
        return self.engine.snapshot(self.clock())

    def stat(self) -> dict:
        """Returns figures and findings under the names that `yewrill store stat` prints; sizes in bytes."""
        return {
            **self.engine.stat(self.clock()),
            "mode": self.mode,
            "waiting": self._group_commit.queued,
        }

    # -- maintenance and closing

    def compact(self, on_progress: Callable[[int], None] = lambda size: None) -> int:
        """Compacts all segments now, without rate limit; returns the number of segments merged."""
        return self._maintenance.compact_everything(on_progress)

    def backup(
        self, target: str | Path | Files, on_progress: Callable[[int], None] = lambda size: None
    ) -> None:
        """Copies the store as of now to an empty directory. Raises StoreError, OSError."""
        files = RealFiles(target) if isinstance(target, (str, Path)) else target
        for size in self.engine.backup(files):
            on_progress(size)

    def close(self) -> None:
        """Writes queued batches, syncs, and unlocks the directory."""
        self._group_commit.close()
        self._maintenance.stop()
        self._group_commit.join()
        self._maintenance.join()
        self.engine.close()

    def __enter__(self) -> Store:
        return self

    def __exit__(self, *exc) -> None:
        self.close()
