"""An embedded, append-only key-value store for crash-safe state. It imports nothing else of yewrill.

Guarantees: in mode `always` an acknowledged write is on disk; a batch is written entirely or not at all;
opening a store never fails because of damaged files, and reports the damage. Limits: one process at a time
has a store open, all keys are in memory, and only snapshots can read a value after it was overwritten.

Structure: `Store` (store.py) runs a thread that commits (group_commit.py) and one that compacts
(maintenance.py). Both call `Engine` (engine.py), which has no threads and no clock. The engine writes frames
(format.py) to segment files through the `Files` protocol (files.py; simdisk.py implements it on a simulated
disk that can crash). The engine is made up of `KeyDirectory` (index, segments, entries that snapshots still
need), `Reader`, `Catalog` (manifest, segment numbers, whether writes are accepted), `SpaceReserve` and
`Compactor`, each in a module of its own. `recovery.py` rebuilds an engine's state from a directory,
`policy.py` chooses what to compact and when to sync, and `findings.py` describes damage.
`docs/store-format.md` specifies the file formats; `docs/store.md` is for operators.
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
