"""Keys of records that are to be deleted later. No I/O, no clock: times are passed in, in ms."""

from __future__ import annotations

from heapq import heappop, heappush


class DelayedDeletions:
    """Keys by the time from which they may be deleted. Not thread-safe."""

    def __init__(self, max_keys: int):
        self._max_keys = max_keys
        self._keys: list[tuple[float, bytes]] = []  # a heap

    def __len__(self) -> int:
        return len(self._keys)

    def add(self, key: bytes, due: float) -> None:
        """Adds a key. Without room for it, its record stays until it expires on disk."""
        if len(self._keys) < self._max_keys:
            heappush(self._keys, (due, key))

    def take_due(self, now: float) -> list[bytes]:
        """Removes and returns the keys that are due."""
        due = []
        while self._keys and self._keys[0][0] <= now:
            due.append(heappop(self._keys)[1])
        return due
