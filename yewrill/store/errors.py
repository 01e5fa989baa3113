"""The errors of a store."""

from __future__ import annotations


class StoreError(Exception):
    """Base of all errors of a store."""


class StoreLocked(StoreError):
    """Another process has locked the directory; the text names it."""


class StoreFull(StoreError):
    """The disk is full. Nothing of the batch was written; later ones may succeed."""


class StorePoisoned(StoreError):
    """A sync failed, so it is unknown what is on disk: no further write is accepted. Reads work."""


class StoreReadOnly(StoreError):
    """The directory can't be written. Reads work."""


class StoreQueueFull(StoreError):
    """The queue of batches is full."""


class StoreClosed(StoreError):
    """The store was closed."""


class Conflict(StoreError):
    """A batch's condition does not hold; nothing of it was written."""

    def __init__(self, key: bytes, expected: int, found: int):
        super().__init__(f"{key!r}: expected version {expected}, found {found}")
        self.key, self.expected, self.found = key, expected, found


class DamagedValue(StoreError):
    """The bytes of this value are not what was written."""

    def __init__(self, key: bytes, segment: str, offset: int):
        super().__init__(f"{key!r}: damaged in {segment} at {offset}")
        self.key, self.segment, self.offset = key, segment, offset
