"""Operators' settings as records of the store: detached and reattached workers, the operator drain."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import ujson

from yewrill.net.endpoint_list import REATTACHED_RETENTION_SECONDS
from yewrill.persistence.attempts import Clocks, min_age_ms
from yewrill.persistence.clock import EXPIRY_MARGIN_MS
from yewrill.persistence.disk import Disk, Unreadable
from yewrill.store import Batch, StoreError

DETACHED_PREFIX = b"out/"
REATTACHED_PREFIX = b"back/"
OPERATOR_DRAIN_KEY = b"lame"
ENDPOINT_LIST_KEY = b"list"
REATTACHED_RETENTION_MS = REATTACHED_RETENTION_SECONDS * 1000.0


@dataclass(slots=True)
class RestoredState:
    """The state that the last run (process) of this dispatcher stored, without its attempts."""

    detached: list[str] = field(default_factory=list)
    # Maps a worker to the time since it was reattached, in ms.
    reattached: dict[str, float] = field(default_factory=dict)
    operator_drain: bool = False
    # The endpoint list in the format of discovery responses.
    endpoint_list: dict[str, Any] | None = None

    def as_message(self) -> dict[str, Any]:
        """Returns the message in which the old process of a hot restart sends this state to the new one."""
        return {
            "out": self.detached,
            "back": self.reattached,
            "lame": self.operator_drain,
            "list": self.endpoint_list,
        }


def read_state(disk: Disk, now: Clocks) -> RestoredState:
    """Reads the state. Unreadable parts keep their defaults. Blocks."""
    state = RestoredState()
    with suppress(Unreadable):
        state.detached = [name for name, _ in disk.records(DETACHED_PREFIX)]
        state.reattached = dict(_recently_reattached(disk, now))
    store = disk.store
    with suppress(StoreError, ValueError, OSError):
        state.operator_drain = store.get(OPERATOR_DRAIN_KEY) is not None
        if (endpoint_list := store.get(ENDPOINT_LIST_KEY)) is not None:
            state.endpoint_list = ujson.loads(endpoint_list)
    return state


def _recently_reattached(disk: Disk, now: Clocks) -> Iterator[tuple[str, float]]:
    for name, value in disk.records(REATTACHED_PREFIX):
        with suppress(ValueError, TypeError, KeyError):
            age_ms = min_age_ms(Clocks.decode(value), now)
            if age_ms < REATTACHED_RETENTION_MS:
                yield name, age_ms


def stored_worker_keys(disk: Disk) -> list[bytes]:
    """Returns the keys of all detached and reattached workers, an empty list if a read fails. Blocks."""
    with suppress(Unreadable):
        return [
            prefix + name.encode()
            for prefix in (DETACHED_PREFIX, REATTACHED_PREFIX)
            for name, _ in disk.records(prefix)
        ]
    return []


def put_detached(batch: Batch, name: str) -> Batch:
    """Adds the record of a detached worker."""
    return batch.put(DETACHED_PREFIX + name.encode(), b"{}")


def put_reattached(batch: Batch, name: str, age_ms: float, now: Clocks) -> Batch:
    """Adds the record of a worker that was reattached `age_ms` before `now`."""
    at = Clocks(now.wall - age_ms, now.monotonic - age_ms, now.boot)
    expires = int(now.wall + REATTACHED_RETENTION_MS + EXPIRY_MARGIN_MS)
    return batch.put(REATTACHED_PREFIX + name.encode(), ujson.dumps(at.encode()).encode(), expires)


def put_operator_drain(batch: Batch, on: bool) -> Batch:
    """Adds the record of the operator drain, or the deletion of that record."""
    return batch.put(OPERATOR_DRAIN_KEY, b"1") if on else batch.delete(OPERATOR_DRAIN_KEY)
