"""Group commit: batches of many threads and tasks share one write and one sync.

The committing thread takes the queued batches, has the engine write and sync them together, and notifies
each waiter of its result. In mode `always` a batch is acknowledged after the sync. In `interval` it is
acknowledged after the write and synced within the interval. In `never` the operating system decides when to
sync.
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
# Bounds on the batches written together in one commit.
MAX_GROUP_BATCHES = 1024
MAX_GROUP_BYTES = 16 * 1024 * 1024
FULL_QUEUE_RETRY_SECONDS = 0.1

ResultCallback = Callable[[int | StoreError], None]


class _ThreadWaiter:
    """A thread that waits for the result of its batch. Cheaper than a `concurrent.futures.Future`."""

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
    """A trio task that waits for the result of its batch."""

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
    """The queue of batches and the thread that commits them. Any thread may call its methods."""

    def __init__(
        self,
        engine: Engine,
        clock: Callable[[], int],
        *,
        mode: str,
        interval: float,
        maintenance_due: threading.Event,
    ):
        """`interval`: seconds between syncs in mode `interval`. Sets `maintenance_due` when there may be
        segments to compact."""
        self._engine = engine
        self._clock = clock
        self._mode = mode
        self._interval = interval
        self._maintenance_due = maintenance_due
        self._queue: deque[tuple[Batch, ResultCallback]] = deque()
        self._queued_bytes = 0
        self._queue_changed = threading.Condition()
        self._committing = threading.Lock()
        self._closing = False
        # When the oldest unsynced write was made, in monotonic seconds.
        self._dirty_since = 0.0
        self._thread = threading.Thread(target=self._run, name="store-commit", daemon=True)
        self._thread.start()

    @property
    def queued(self) -> int:
        """The number of queued batches."""
        return len(self._queue)

    def submit(self, batch: Batch, done: ResultCallback) -> None:
        """Queues a batch. `done` is called in another thread with the batch's version, or a StoreError.

        Raises StoreQueueFull, StoreClosed.
        """
        self._enqueue(batch, done, wake=True)

    def _enqueue(self, batch: Batch, done: ResultCallback, wake: bool) -> None:
        with self._queue_changed:
            if self._closing:
                raise StoreClosed("the store is closed")
            if len(self._queue) >= MAX_QUEUED_BATCHES or (
                self._queue and self._queued_bytes + batch.size > MAX_QUEUED_BYTES
            ):
                raise StoreQueueFull(f"{len(self._queue)} batches are queued already")
            self._queue.append((batch, done))
            self._queued_bytes += batch.size
            if wake:
                self._queue_changed.notify_all()

    def write(self, batch: Batch) -> int:
        """Writes a batch and waits for its acknowledgement; returns its first operation's version.

        Raises StoreError. Waits while the queue is full.
        """
        waiter = _ThreadWaiter()
        while True:
            try:
                self._enqueue(batch, waiter.done, wake=False)
                break
            except StoreQueueFull:
                with self._queue_changed:
                    self._queue_changed.wait(FULL_QUEUE_RETRY_SECONDS)
        # If no thread is committing, the calling thread commits the queue itself, which saves two context
        # switches. It releases the lock before it checks for batches queued meanwhile, so that no batch is
        # overlooked.
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
        """Like `write`, without blocking trio's event loop. Cancellation ends the wait, not the write.

        Raises StoreQueueFull instead of waiting for space in the queue.
        """
        waiter = _TaskWaiter(trio.lowlevel.current_trio_token())
        self.submit(batch, waiter)
        await waiter.event.wait()
        if isinstance(waiter.value, StoreError):
            raise waiter.value
        return waiter.value

    def close(self) -> None:
        """Rejects further batches. `join` waits until the queued ones are written."""
        with self._queue_changed:
            self._closing = True
            self._queue_changed.notify_all()

    def join(self) -> None:
        """Waits for the end of the committing thread, after `close`."""
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
        dirty = self._engine.dirty and self._engine.poisoned_by is None
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

    def _take_group(self) -> list[tuple[Batch, ResultCallback]]:
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

    def _commit(self, group: list[tuple[Batch, ResultCallback]]) -> None:
        engine = self._engine
        clean, poisoned = not engine.dirty, engine.poisoned_by is not None
        segments = engine.sealed_count
        try:
            results = engine.commit(
                [batch for batch, _ in group], self._clock(), self._mode == "always"
            )
        except Exception as error:  # a bug in the engine must not leave the waiters waiting
            log.exception("store_commit_fault")
            results = [StoreError(f"internal error: {error!r}")] * len(group)
        if clean and engine.dirty:
            self._dirty_since = time.monotonic()
        if engine.poisoned_by is not None and not poisoned:
            log.error("store_poisoned %s", engine.poisoned_by)
        _notify(group, results)
        if engine.sealed_count != segments or engine.low_on_space:
            self._maintenance_due.set()


def _notify(group: list[tuple[Batch, ResultCallback]], results: list[int | StoreError]) -> None:
    """Gives each waiter its result. Each event loop is called once, however many of its tasks wait."""
    tasks: dict[trio.lowlevel.TrioToken, list[_TaskWaiter]] = {}
    for (_, done), result in zip(group, results, strict=True):
        done(result)
        if type(done) is _TaskWaiter:
            tasks.setdefault(done.token, []).append(done)
    for token, waiters in tasks.items():
        with suppress(
            trio.RunFinishedError
        ):  # the event loop has ended, and with it the waiting tasks
            token.run_sync_soon(_wake_tasks, waiters)
