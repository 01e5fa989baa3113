"""A ring buffer of fixed size; a connection has one per direction."""

from __future__ import annotations


class RingBuffer:
    """Holds bytes between a socket and its reader or writer. Its capacity never grows."""

    __slots__ = ("_data", "_view", "_head", "_size")

    def __init__(self, capacity: int):
        self._data = bytearray(capacity)
        self._view = memoryview(self._data)
        self._head = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def room(self) -> int:
        """The number of free bytes."""
        return len(self._data) - self._size

    def space(self) -> memoryview:
        """Returns the next contiguous free region; after writing into it, call `filled`."""
        capacity = len(self._data)
        tail = (self._head + self._size) % capacity
        return self._view[tail : tail + min(self.room, capacity - tail)]

    def filled(self, count: int) -> None:
        """Adds the bytes that were written into `space`."""
        self._size += count

    def pending(self) -> memoryview:
        """Returns the oldest contiguous bytes; after reading them, call `used`."""
        return self._view[self._head : self._head + min(self._size, len(self._data) - self._head)]

    def used(self, count: int) -> None:
        """Removes the bytes that were read from `pending`."""
        self._size -= count
        self._head = (self._head + count) % len(self._data) if self._size else 0

    def put(self, data: bytes | memoryview) -> int:
        """Copies in as many bytes as fit; returns their number."""
        done = 0
        while done < len(data) and self.room:
            space = self.space()
            count = min(len(space), len(data) - done)
            space[:count] = data[done : done + count]
            self.filled(count)
            done += count
        return done

    def take(self) -> bytes:
        """Removes and returns all bytes."""
        first = bytes(self.pending())
        self.used(len(first))
        if self._size:
            second = bytes(self.pending())
            self.used(len(second))
            return first + second
        return first
