"""Group commit: batches of many threads and tasks are written and synced as one.

The committing thread takes all queued batches, has the engine write and sync them as one, and notifies each
waiter of its result. In mode `always` that is after the sync. In `interval` a batch is acknowledged when the
system has it, and synced within the interval; in `never`, whenever the system likes.
"""

from __future__ import annotations

import logging
import threading
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress

import trio

from yewrill.store import policy
from yewrill.store.engine import Engine
from yewrill.store.errors import StoreClosed, StoreError, StorePoisoned, StoreQueueFull
from yewrill.store.format import Batch

log = logging.getLogger("yewrill.store")

MAX_QUEUED_BATCHES = 8192
MAX_QUEUED_BYTES = 128 * 1024 * 1024
MAX_GROUP_BATCHES = 1024  # in one commit
MAX_GROUP_BYTES = 16 * 1024 * 1024
FULL_QUEUE_RETRY_SECONDS = 0.1

Done = Callable[[int | StoreError], None]


class _ThreadWaiter:
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


class GroupCommit:
    """The queue of batches, and the thread that commits them. Methods may be called from any thread."""

    def __init__(
        self,
        engine: Engine,
        clock: Callable[[], int],
        *,
        mode: str,
        interval: float,
        maintenance_due: threading.Event,
    ):
        """`interval` in seconds; `maintenance_due` is set when a commit gives compaction work to do."""
        self._engine = engine
        self._clock = clock
        self._mode = mode
        self._interval = interval
        self._maintenance_due = maintenance_due
        self._queue: deque[tuple[Batch, Done]] = deque()
        self._queued_bytes = 0
        self._queue_changed = threading.Condition()
        self._committing = threading.Lock()
        self._closing = False
        self._dirty_since = 0.0  # monotonic seconds
        self._thread = threading.Thread(target=self._run, name="store-commit", daemon=True)
        self._thread.start()

    @property
    def queued(self) -> int:
        """The number of queued batches."""
        return len(self._queue)

    def submit(self, batch: Batch, done: Done) -> None:
        """Queue a batch; `done` is called in another thread with its version, or with what went wrong.

        Raises StoreQueueFull, StoreClosed.
        """
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
        waiter = _ThreadWaiter()
        while True:
            try:
                self._enqueue(batch, waiter.done, wake=False)
                break
            except StoreQueueFull:
                with self._queue_changed:
                    self._queue_changed.wait(FULL_QUEUE_RETRY_SECONDS)
        # If no thread is committing, this one does, which spares two changes of threads. The lock is released
        # before the queue is checked for batches that came meanwhile, so that none stays unnoticed.
        if self._committing.acquire(blocking=False):
            try:
                self._commit_queued()
            finally:
                self._committing.release()
            with self._queue_changed:
                if self._queue or (self._engine.dirty and self._mode == "interval"):
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

    def close(self) -> None:
        """Accept no further batch. `join` waits until the queued ones are written."""
        with self._queue_changed:
            self._closing = True
            self._queue_changed.notify_all()

    def join(self) -> None:
        """Wait for the end of the committing thread, after `close`."""
        self._thread.join()

    # -- the committing thread

    def _run(self) -> None:
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
                self._commit_queued()
            self._sync_if_due()

    def _sync_due(self) -> float | None:
        dirty = self._engine.dirty and self._engine.poison is None
        return policy.sync_due(
            self._mode, dirty, self._dirty_since, time.monotonic(), self._interval
        )

    def _sync_if_due(self) -> None:
        due = self._sync_due()
        if due is not None and due <= 0:
            try:
                self._engine.sync()
            except StorePoisoned as error:
                log.error("store_poisoned %s", error)

    def _commit_queued(self) -> None:
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
        engine = self._engine
        clean, poisoned = not engine.dirty, engine.poison is not None
        segments = engine.sealed_count
        try:
            results = engine.commit(
                [batch for batch, _ in group], self._clock(), self._mode == "always"
            )
        except Exception as error:  # an internal fault: those who wait must be notified
            log.exception("store_commit_fault")
            results = [StoreError(f"internal fault: {error!r}")] * len(group)
        if clean and engine.dirty:
            self._dirty_since = time.monotonic()
        if engine.poison is not None and not poisoned:
            log.error("store_poisoned %s", engine.poison)
        _notify(group, results)
        if engine.sealed_count != segments or engine.short:
            self._maintenance_due.set()


def _notify(group: list[tuple[Batch, Done]], results: list[int | StoreError]) -> None:
    """Give each waiter its result, with one call into each event loop, however many of its tasks wait."""
    tasks: dict[trio.lowlevel.TrioToken, list[_TaskWaiter]] = {}
    for (_, done), result in zip(group, results, strict=True):
        done(result)
        if type(done) is _TaskWaiter:
            tasks.setdefault(done.token, []).append(done)
    for token, waiters in tasks.items():
        with suppress(trio.RunFinishedError):  # the loop has ended, and its tasks with it
            token.run_sync_soon(_wake_tasks, waiters)
