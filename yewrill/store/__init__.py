"""An embedded key-value store for what must outlive a crash. It imports nothing else of yewrill.

Guarantees: in mode `always` an acknowledged write is on disk; a batch is whole or absent; an opening never
fails for what lies in the directory, and reports what was damaged. Not guaranteed: more than one process,
keys beyond memory, or an older version of a key once it is overwritten (but to a snapshot).

How the parts work together: `Store` (store.py) joins a committing thread (group_commit.py) and one that
compacts beside it (maintenance.py). Both call `Engine` (engine.py), which has no thread and no clock and
writes frames (format.py) to segments through a small protocol of files (files.py; simdisk.py crashes). The
engine joins `KeyDirectory` (index, segments, entries that snapshots see), `Reader`, `Catalog` (manifest,
numbers, whether writes are accepted), `SpaceReserve` and `Compactor`, each in a module of its own.
`recovery.py` turns a directory into an engine's state, `policy.py` chooses what to compact, `findings.py` has
what was damaged. `docs/store-format.md` has the bytes, `docs/store.md` is for operators.
"""

from yewrill.store.errors import (
    Conflict,
    DamagedValue,
    StoreClosed,
    StoreError,
    StoreFull,
    StoreLocked,
    StorePoisoned,
    StoreQueueFull,
    StoreReadOnly,
)
from yewrill.store.format import Batch
from yewrill.store.store import Store

__all__ = [
    "Batch",
    "Conflict",
    "DamagedValue",
    "Store",
    "StoreQueueFull",
    "StoreClosed",
    "StoreError",
    "StoreFull",
    "StoreLocked",
    "StorePoisoned",
    "StoreReadOnly",
]
