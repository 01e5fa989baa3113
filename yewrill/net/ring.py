"""A ring buffer of fixed capacity; a connection has one for its input.

Its memory is allocated when bytes arrive and freed when it is empty, so that an idle connection holds none.
"""

from __future__ import annotations

_NOTHING = memoryview(b"")


class RingBuffer:
    """Holds bytes between a socket and its reader. Its capacity never grows."""

    __slots__ = ("_capacity", "_view", "_head", "_size")

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._view: memoryview | None = None  # of all the memory; None while nothing is allocated
        self._head = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def room(self) -> int:
        """The number of free bytes."""
        return self._capacity - self._size

    def space(self) -> memoryview:
        """Returns the next contiguous free region; after writing into it, call `filled`, also with 0."""
        if self._view is None:
            self._view = memoryview(bytearray(self._capacity))
            return self._view
        tail = (self._head + self._size) % self._capacity
        return self._view[tail : tail + min(self.room, self._capacity - tail)]

    def filled(self, count: int) -> None:
        """Adds the bytes that were written into `space`."""
        self._size += count
        if not self._size:
            self._view = None

    def pending(self) -> memoryview:
        """Returns the oldest contiguous bytes; after reading them, call `used`."""
        if self._view is None:
            return _NOTHING
        return self._view[self._head : self._head + min(self._size, self._capacity - self._head)]

    def used(self, count: int) -> None:
        """Removes the bytes that were read from `pending`."""
        self._size -= count
        if self._size:
            self._head = (self._head + count) % self._capacity
        else:
            self._head = 0
            self._view = None

    def take(self) -> bytes:
        """Removes and returns all bytes."""
        first = bytes(self.pending())
        self.used(len(first))
        if self._size:
            second = bytes(self.pending())
            self.used(len(second))
            return first + second
        return first
