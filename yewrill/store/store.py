"""A store as the rest of a program uses it: group commit in one thread, compaction in another, with a
blocking and a trio interface.

The committing thread takes all queued batches, has the engine write and sync them as one, and notifies each
waiter of its result. In mode `always` that is after the sync. In `interval` a batch is acknowledged when the
system has it, and synced within the interval; in `never`, whenever the system likes. The maintaining thread
compacts, no faster than its rate allows, and writes hints.
"""

from __future__ import annotations

import errno
import logging
import random
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path

import trio

from yewrill.store import policy
from yewrill.store.engine import Engine
from yewrill.store.errors import StoreClosed, StoreError, StorePoisoned, StoreQueueFull
from yewrill.store.files import Files, RealFiles
from yewrill.store.format import Batch
from yewrill.store.reader import Found, Snapshot

log = logging.getLogger("yewrill.store")

MODES = ("always", "interval", "never")
MAX_QUEUED_BATCHES = 8192  # batches
MAX_QUEUED_BYTES = 128 * 1024 * 1024
MAX_GROUP_BATCHES = 1024  # batches in one commit
MAX_GROUP_BYTES = 16 * 1024 * 1024
MAINTENANCE_INTERVAL_SECONDS = 5.0  # seconds between looks for something to compact
MAINTENANCE_RETRY_SECONDS = 30.0  # seconds before maintenance tries again

Done = Callable[[int | StoreError], None]


def wall_clock() -> int:
    """Milliseconds since the epoch."""
    return int(time.time() * 1000.0)


class _Waiter:
    """A thread that waits for its batch; lighter than a future."""

    __slots__ = ("_lock", "_result")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._lock.acquire()
        self._result: int | StoreError = 0

    def done(self, result: int | StoreError) -> None:
        self._result = result
        self._lock.release()

    def result(self) -> int:
        self._lock.acquire()
        if isinstance(self._result, StoreError):
            raise self._result
        return self._result


class _TaskWaiter:
    """A trio task that waits for its batch."""

    __slots__ = ("token", "event", "value")

    def __init__(self, token: trio.lowlevel.TrioToken):
        self.token = token
        self.event = trio.Event()
        self.value: int | StoreError = 0

    def __call__(self, result: int | StoreError) -> None:
        self.value = result


def _wake_tasks(waiters: list[_TaskWaiter]) -> None:
    for waiter in waiters:
        waiter.event.set()


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
        self._interval = interval
        self._rate = compaction_rate
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
        self._queue: deque[tuple[Batch, Done]] = deque()
        self._queued_bytes = 0
        self._queue_changed = threading.Condition()
        self._committing = threading.Lock()
        self._closing = False
        self._dirty_since = 0.0
        self._stop = threading.Event()
        self._maintenance_due = threading.Event()
        self._maintaining = threading.Lock()  # one compaction at a time
        self._threads = [
            threading.Thread(target=self._commit_loop, name="store-commit", daemon=True)
        ]
        if maintain:
            self._threads.append(
                threading.Thread(target=self._maintain_loop, name="store-maintain", daemon=True)
            )
        for thread in self._threads:
            thread.start()

    # ----------------------------------------------------------------------------------------------- writing

    def submit(self, batch: Batch, done: Done) -> None:
        """Queue a batch; `done` is called in another thread with its version, or with what went wrong.
        Raises StoreBusy when too much waits."""
        self._enqueue(batch, done, wake=True)

    def _enqueue(self, batch: Batch, done: Done, wake: bool) -> None:
        with self._queue_changed:
            if self._closing:
                raise StoreClosed("the store is closed")
            if len(self._queue) >= MAX_QUEUED_BATCHES or (
                self._queue and self._queued_bytes + batch.size > MAX_QUEUED_BYTES
            ):
                raise StoreQueueFull(f"{len(self._queue)} batches wait already")
            self._queue.append((batch, done))
            self._queued_bytes += batch.size
            if wake:
                self._queue_changed.notify_all()

    def write(self, batch: Batch) -> int:
        """Write a batch and wait for its acknowledgement: its first operation's version; or StoreError."""
        waiter = _Waiter()
        while True:
            try:
                self._enqueue(batch, waiter.done, wake=False)
                break
            except StoreQueueFull:
                with self._queue_changed:
                    self._queue_changed.wait(0.1)
        # If no thread is committing, this one does, which spares two changes of threads. The lock is released
        # before the queue is checked for batches that came meanwhile, so that none stays unnoticed.
        if self._committing.acquire(blocking=False):
            try:
                self._commit_waiting()
            finally:
                self._committing.release()
            with self._queue_changed:
                if self._queue or (self.engine.dirty and self.mode == "interval"):
                    self._queue_changed.notify_all()
        return waiter.result()

    async def awrite(self, batch: Batch) -> int:
        """As `write`, without blocking trio's event loop. Cancellation ends the wait, not the write."""
        waiter = _TaskWaiter(trio.lowlevel.current_trio_token())
        self.submit(batch, waiter)
        await waiter.event.wait()
        if isinstance(waiter.value, StoreError):
            raise waiter.value
        return waiter.value

    def put(self, key: bytes, value: bytes, expires: int = 0) -> int:
        """Put one value; return its version. Raises StoreError."""
        return self.write(Batch().put(key, value, expires))

    def put_if(self, key: bytes, value: bytes, version: int, expires: int = 0) -> int:
        """Put only over this version (0: only if absent). Raises Conflict."""
        return self.write(Batch().require(key, version).put(key, value, expires))

    def delete(self, key: bytes) -> int:
        """Delete one key; return the deletion's version. Raises StoreError."""
        return self.write(Batch().delete(key))

    # ----------------------------------------------------------------------------------------------- reading

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
        return {**self.engine.stat(self.clock()), "mode": self.mode, "waiting": len(self._queue)}

    # ------------------------------------------------------------------------------------------- maintenance

    def compact(self, on_progress: Callable[[int], None] = lambda size: None) -> int:
        """Compact now, as far as that gives anything, and unpaced. How many segments were merged."""
        merged = 0
        with self._maintaining:
            self.engine.seal()
            while numbers := self.engine.choose(self.clock(), everything=True):
                for size in self.engine.compact(numbers, self.clock()):
                    on_progress(size)
                merged += len(numbers)
                if len(numbers) == 1 or len(self.engine.sealed()) <= 1:
                    break
        return merged

    def backup(
        self, target: str | Path | Files, on_progress: Callable[[int], None] = lambda size: None
    ) -> None:
        """Copy the store as it is at this moment into an empty directory. Raises StoreError, OSError."""
        files = RealFiles(target) if isinstance(target, (str, Path)) else target
        for size in self.engine.backup(files):
            on_progress(size)

    def close(self) -> None:
        """Write what is queued, sync, and unlock the directory."""
        with self._queue_changed:
            self._closing = True
            self._queue_changed.notify_all()
        self._stop.set()
        self._maintenance_due.set()
        for thread in self._threads:
            thread.join()
        self.engine.close()

    def __enter__(self) -> Store:
        return self

    def __exit__(self, *exc) -> None:
        self.close()

    # ------------------------------------------------------------------------------------------- the threads

    def _commit_loop(self) -> None:
        while True:
            with self._queue_changed:
                while not self._queue and not self._closing:
                    due = self._sync_due()
                    if due is not None and due <= 0:
                        break
                    self._queue_changed.wait(due)
                if not self._queue and self._closing:
                    return
            with self._committing:
                self._commit_waiting()
            due = self._sync_due()
            if due is not None and due <= 0:
                try:
                    self.engine.sync()
                except StorePoisoned as error:
                    log.error("store_poisoned %s", error)

    def _sync_due(self) -> float | None:
        dirty = self.engine.dirty and self.engine.poison is None
        return policy.sync_due(
            self.mode, dirty, self._dirty_since, time.monotonic(), self._interval
        )

    def _commit_waiting(self) -> None:
        with self._queue_changed:
            group = self._take_group()
        if group:
            self._commit(group)

    def _take_group(self) -> list[tuple[Batch, Done]]:
        group, size = [], 0
        while self._queue and len(group) < MAX_GROUP_BATCHES:
            batch = self._queue[0][0]
            if group and size + batch.size > MAX_GROUP_BYTES:
                break
            size += batch.size
            group.append(self._queue.popleft())
        if len(self._queue) + len(group) >= MAX_QUEUED_BATCHES or size > MAX_GROUP_BYTES // 2:
            self._queue_changed.notify_all()
        self._queued_bytes -= size
        return group

    def _commit(self, group: list[tuple[Batch, Done]]) -> None:
        clean, poisoned = not self.engine.dirty, self.engine.poison is not None
        segments = self.engine.sealed_count
        try:
            results = self.engine.commit(
                [batch for batch, _ in group], self.clock(), self.mode == "always"
            )
        except Exception as error:  # an internal fault: those who wait must be notified
            log.exception("store_commit_fault")
            results = [StoreError(f"internal fault: {error!r}")] * len(group)
        if clean and self.engine.dirty:
            self._dirty_since = time.monotonic()
        if self.engine.poison is not None and not poisoned:
            log.error("store_poisoned %s", self.engine.poison)
        tasks: dict[trio.lowlevel.TrioToken, list[_TaskWaiter]] = {}
        for (_, done), result in zip(group, results, strict=True):
            done(result)
            if type(done) is _TaskWaiter:
                tasks.setdefault(done.token, []).append(done)
        for (
            token,
            waiters,
        ) in tasks.items():  # one call into each loop, however many of its tasks wait
            with suppress(trio.RunFinishedError):  # nobody waits there any more
                token.run_sync_soon(_wake_tasks, waiters)
        if self.engine.sealed_count != segments or self.engine.short:
            self._maintenance_due.set()

    def _maintain_loop(self) -> None:
        pause = 0.0
        while not self._stop.is_set():
            self._maintenance_due.wait(MAINTENANCE_INTERVAL_SECONDS)
            self._maintenance_due.clear()
            if self._stop.wait(pause):
                return
            pause = 0.0
            try:
                with self._maintaining:
                    self._maintain()
            except Exception as error:
                if isinstance(error, OSError) and error.errno == errno.ENOSPC:
                    log.warning(
                        "store_compaction_lacks_space retry_in_s=%g", MAINTENANCE_RETRY_SECONDS
                    )
                else:
                    log.exception("store_maintenance_fault")
                pause = MAINTENANCE_RETRY_SECONDS

    def _maintain(self) -> None:
        engine = self.engine
        if engine.short:
            engine.restore_reserve()
        pacer = policy.Pacer(self._rate, self._rate / 4.0, at=time.monotonic())

        def paced(work: Iterator[int]) -> bool:
            """Whether it came to its end."""
            for size in work:
                if self._stop.wait(pacer.spend(size, time.monotonic())):
                    work.close()
                    return False
            return True

        while (numbers := engine.choose(self.clock())) and not engine.short:
            before = engine.compactions
            if not paced(engine.compact(numbers, self.clock())):
                return
            if engine.compactions == before:
                break
            log.info("store_compacted segments=%d", len(numbers))
        if engine.short and (numbers := engine.choose(self.clock())):
            paced(engine.compact(numbers, self.clock()))
        paced(engine.write_hints())
