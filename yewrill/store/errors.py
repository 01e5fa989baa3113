"""The errors that a store raises."""

from __future__ import annotations


class StoreError(Exception):
    """Base of all errors of a store."""


class StoreLocked(StoreError):
    """Another process has locked the directory; the message names it."""


class StoreFull(StoreError):
    """The disk is full. Nothing of the batch was written; later batches may succeed."""


class StorePoisoned(StoreError):
    """A sync failed, so it is unknown what is on disk: no further write is accepted. Reads still work."""


class StoreReadOnly(StoreError):
    """The directory is not writable. Reads still work."""


class StoreQueueFull(StoreError):
    """The queue of batches to be written is full."""


class StoreClosed(StoreError):
    """The store is closed."""


class Conflict(StoreError):
    """A batch requires a version that its key does not have; nothing of the batch was written."""

    def __init__(self, key: bytes, expected: int, found: int):
        super().__init__(f"{key!r}: expected version {expected}, found {found}")
        self.key, self.expected, self.found = key, expected, found


class DamagedValue(StoreError):
    """The stored bytes of a value fail their checksum."""

    def __init__(self, key: bytes, segment: str, offset: int):
        super().__init__(f"{key!r}: value damaged in {segment} at offset {offset}")
        self.key, self.segment, self.offset = key, segment, offset
