"""Fault injection: failing file system calls, and a wall clock that is stepped."""

from __future__ import annotations

import os
import time


class FaultyDisk:
    """Makes the named functions of `os` raise OSError while `error` is a non-zero errno."""

    def __init__(self, monkeypatch, calls):
        self.error = 0
        for name in calls:
            monkeypatch.setattr(os, name, self._failing(getattr(os, name)))

    def _failing(self, real):
        def call(*args):
            if self.error:
                raise OSError(self.error, os.strerror(self.error))
            return real(*args)

        return call


class SteppedClock:
    """Steps the wall clock by `offset` seconds; the monotonic clock is unaffected."""

    def __init__(self, monkeypatch):
        self.offset = 0.0
        real = time.time
        monkeypatch.setattr(time, "time", lambda: real() + self.offset)
