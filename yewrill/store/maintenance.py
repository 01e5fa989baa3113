"""Background maintenance: rate-limited compaction, missing hint files and the space reserve."""

from __future__ import annotations

import errno
import logging
import threading
import time
from collections.abc import Callable, Iterator

from yewrill.store import policy
from yewrill.store.engine import Engine

log = logging.getLogger("yewrill.store")

# Time between checks for segments to compact.
MAINTENANCE_INTERVAL_SECONDS = 5.0
# Pause of the background work after an error.
MAINTENANCE_RETRY_SECONDS = 30.0
# Background work that may be done without a pause, in seconds of work at the full rate.
PACER_BURST_SECONDS = 0.25


class Maintenance:
    """Compacts on demand, and in a background thread once `start` was called."""

    def __init__(self, engine: Engine, clock: Callable[[], int], rate: float, due: threading.Event):
        """`rate` in bytes per second (0: unlimited); setting `due` wakes the background thread."""
        self._engine = engine
        self._clock = clock
        self._rate = rate
        self._due = due
        self._stop = threading.Event()
        self._lock = threading.Lock()  # one compaction at a time
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Starts the background thread."""
        self._thread = threading.Thread(target=self._run, name="store-maintain", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stops the background thread, even in the middle of a compaction; `join` waits for its end."""
        self._stop.set()
        self._due.set()

    def join(self) -> None:
        """Waits for the end of the background thread, if it was started."""
        if self._thread is not None:
            self._thread.join()

    def compact_everything(self, on_progress: Callable[[int], None]) -> int:
        """Compacts all segments now, without rate limit; returns the number of segments merged.

        `on_progress` is called with the bytes of each step.
        """
        engine, merged = self._engine, 0
        with self._lock:
            engine.seal()
            while numbers := engine.choose_segments(self._clock(), everything=True):
                for size in engine.compact(numbers, self._clock()):
                    on_progress(size)
                merged += len(numbers)
                if len(numbers) == 1 or len(engine.sealed()) <= 1:
                    break
        return merged

    def _run(self) -> None:
        pause = 0.0
        while not self._stop.is_set():
            self._due.wait(MAINTENANCE_INTERVAL_SECONDS)
            self._due.clear()
            if self._stop.wait(pause):
                return
            pause = 0.0
            try:
                with self._lock:
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
        engine = self._engine
        if engine.low_on_space:
            engine.restore_reserve()
        burst = self._rate * PACER_BURST_SECONDS
        pacer = policy.Pacer(self._rate, burst, updated_at=time.monotonic())
        while (numbers := engine.choose_segments(self._clock())) and not engine.low_on_space:
            before = engine.compactions
            if not self._paced(engine.compact(numbers, self._clock()), pacer):
                return
            if engine.compactions == before:
                break
            log.info("store_compacted segments=%d", len(numbers))
        if engine.low_on_space and (numbers := engine.choose_segments(self._clock())):
            self._paced(engine.compact(numbers, self._clock()), pacer)
        self._paced(engine.write_hints(), pacer)

    def _paced(self, work: Iterator[int], pacer: policy.Pacer) -> bool:
        """Does work at the rate of the pacer (the rate limit); returns False if `stop` ended it early."""
        for size in work:
            if self._stop.wait(pacer.spend(size, time.monotonic())):
                work.close()
                return False
        return True
