"""Background maintenance: compaction at a bounded rate, hints, the space reserve."""

from __future__ import annotations

import errno
import logging
import threading
import time
from collections.abc import Callable, Iterator

from yewrill.store import policy
from yewrill.store.engine import Engine

log = logging.getLogger("yewrill.store")

MAINTENANCE_INTERVAL_SECONDS = 5.0  # between checks for something to compact
MAINTENANCE_RETRY_SECONDS = 30.0  # before the next try after a fault
PACER_BURST_SECONDS = 0.25  # of work at the full rate that may be done at once


class Maintenance:
    """Compacts on demand, and in a thread of its own once `start` was called."""

    def __init__(self, engine: Engine, clock: Callable[[], int], rate: float, due: threading.Event):
        """`rate` in bytes a second (0: unbounded); `due` is set by others when there may be work."""
        self._engine = engine
        self._clock = clock
        self._rate = rate
        self._due = due
        self._stop = threading.Event()
        self._lock = threading.Lock()  # one compaction at a time
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Begin the background work."""
        self._thread = threading.Thread(target=self._run, name="store-maintain", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the background work, in the middle of a compaction if need be; `join` waits for that."""
        self._stop.set()
        self._due.set()

    def join(self) -> None:
        """Wait for the end of the thread, if it was started."""
        if self._thread is not None:
            self._thread.join()

    def compact_everything(self, on_progress: Callable[[int], None]) -> int:
        """Compact now, as far as that frees anything, and unpaced; return how many segments were merged."""
        engine, merged = self._engine, 0
        with self._lock:
            engine.seal()
            while numbers := engine.choose(self._clock(), everything=True):
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
        if engine.short:
            engine.restore_reserve()
        burst = self._rate * PACER_BURST_SECONDS
        pacer = policy.Pacer(self._rate, burst, at=time.monotonic())
        while (numbers := engine.choose(self._clock())) and not engine.short:
            before = engine.compactions
            if not self._paced(engine.compact(numbers, self._clock()), pacer):
                return
            if engine.compactions == before:
                break
            log.info("store_compacted segments=%d", len(numbers))
        if engine.short and (numbers := engine.choose(self._clock())):
            self._paced(engine.compact(numbers, self._clock()), pacer)
        self._paced(engine.write_hints(), pacer)

    def _paced(self, work: Iterator[int], pacer: policy.Pacer) -> bool:
        """Do work at the pacer's rate; whether it came to its end."""
        for size in work:
            if self._stop.wait(pacer.spend(size, time.monotonic())):
                work.close()
                return False
        return True
