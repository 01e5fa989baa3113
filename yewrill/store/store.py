"""A store as the rest of a program uses it: the engine with its threads, a blocking and a trio interface.

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
from yewrill.store.group_commit import Done, GroupCommit
from yewrill.store.maintenance import Maintenance
from yewrill.store.reader import Found, Snapshot

log = logging.getLogger("yewrill.store")

MODES = ("always", "interval", "never")


def wall_clock() -> int:
    """Milliseconds since the epoch."""
    return int(time.time() * 1000.0)


class Store:
    """Opens a directory and locks it until `close`. Every method may be called from any thread."""

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
        rules: policy.Rules | None = None,
        maintain: bool = True,
    ):
        """`interval` in seconds; sizes in bytes, `compaction_rate` in bytes a second (0: unbounded).
        Raises StoreLocked if another process has the directory, OSError if there can be none."""
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

    def submit(self, batch: Batch, done: Done) -> None:
        """Queue a batch; `done` is called in another thread with its version, or with what went wrong.

        Raises StoreQueueFull, StoreClosed.
        """
        self._group_commit.submit(batch, done)

    def write(self, batch: Batch) -> int:
        """Write a batch and wait for its acknowledgement: its first operation's version; or StoreError."""
        return self._group_commit.write(batch)

    async def awrite(self, batch: Batch) -> int:
        """As `write`, without blocking trio's event loop. Cancellation ends the wait, not the write."""
        return await self._group_commit.awrite(batch)

    def put(self, key: bytes, value: bytes, expires: int = 0) -> int:
        """Put one value; return its version. Raises StoreError."""
        return self.write(Batch().put(key, value, expires))

    def put_if(self, key: bytes, value: bytes, version: int, expires: int = 0) -> int:
        """Put only over this version (0: only if absent). Raises Conflict."""
        return self.write(Batch().require(key, version).put(key, value, expires))

    def delete(self, key: bytes) -> int:
        """Delete one key; return the deletion's version. Raises StoreError."""
        return self.write(Batch().delete(key))

    # -- reading

    def get(self, key: bytes) -> bytes | None:
        """A key's value, None if it has none or its time is over. Raises DamagedValue."""
        found = self.engine.get(key, self.clock())
        return None if found is None else found.value

    def find(self, key: bytes) -> Found | None:
        """A key's value with its version and expiry."""
        return self.engine.get(key, self.clock())

    def scan(
        self,
        *,
        prefix: bytes = b"",
        start: bytes = b"",
        stop: bytes | None = None,
        reverse: bool = False,
    ) -> Iterator[tuple[bytes, bytes]]:
        """Keys and values in order; see `Engine.scan`."""
        for key, value, _, _ in self.engine.rows(self.clock(), prefix, start, stop, reverse):
            yield key, value

    def snapshot(self) -> Snapshot:
        """Return the store as it is at this moment, for as long as the snapshot is open."""
        return self.engine.snapshot(self.clock())

    def stat(self) -> dict:
        """Return the store's state as `yewrill store stat` prints it; sizes in bytes."""
        return {
            **self.engine.stat(self.clock()),
            "mode": self.mode,
            "waiting": self._group_commit.queued,
        }

    # -- maintenance and end

    def compact(self, on_progress: Callable[[int], None] = lambda size: None) -> int:
        """Compact now, as far as that frees anything, and unpaced; return how many segments were merged."""
        return self._maintenance.compact_everything(on_progress)

    def backup(
        self, target: str | Path | Files, on_progress: Callable[[int], None] = lambda size: None
    ) -> None:
        """Copy the store as it is at this moment into an empty directory. Raises StoreError, OSError."""
        files = RealFiles(target) if isinstance(target, (str, Path)) else target
        for size in self.engine.backup(files):
            on_progress(size)

    def close(self) -> None:
        """Write what is queued, sync, and unlock the directory."""
        self._group_commit.close()
        self._maintenance.stop()
        self._group_commit.join()
        self._maintenance.join()
        self.engine.close()

    def __enter__(self) -> Store:
        return self

    def __exit__(self, *exc) -> None:
        self.close()
