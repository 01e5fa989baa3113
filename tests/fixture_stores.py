"""Store directories with each kind of record: a dispatcher's state, a voter's log, a persisted view, and one
that was compacted. All clocks are fixed in the year 2100, so that no record of a fixture expires."""

from __future__ import annotations

import random
import shutil
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec
import trio
import ujson
from fixture_files import DIRECTORY
from fixture_messages import PERSISTED_VIEW, VOTERS, applied_leases
from helper import SETTINGS

from yewrill.config.reading import read_config
from yewrill.config.schema import StateConfig, TopologyNames
from yewrill.dispatch.engine import DecisionEngine
from yewrill.dispatch.request import Attempt, Request
from yewrill.leases import disk as voter_disk
from yewrill.leases import raft_types
from yewrill.net.endpoint_list import EndpointList
from yewrill.net.http import HttpRequest
from yewrill.observability.metrics import Metrics
from yewrill.persistence import PersistentState
from yewrill.persistence.attempts import AttemptRecord, Clocks
from yewrill.policy.interface import RequestClass
from yewrill.service.tracing_hooks import SPOOL
from yewrill.store import Batch, Store
from yewrill.store import format as store_format
from yewrill.tracing.export import StoreSpool
from yewrill.views.config import ViewsConfig
from yewrill.views.facade import PERSISTED_KEY as VIEW_KEY
from yewrill.views.facade import Views
from yewrill.views.view import PersistedView

STATE, VOTER, VIEW, COMPACTED = "state", "ownership_log", "views_kept", "compacted"
DIRECTORIES = (STATE, VOTER, VIEW, COMPACTED)
PROCESS_FILES = ("LOCK", "RESERVE")  # files of the running process, without records
WALL = 4_102_444_800_000.0  # 2100-01-01, in ms
BOOT = "0f1e2d3c-boot"
WRITTEN = Clocks(WALL, 50_000_000.0, BOOT)
LATER = Clocks(WALL + 2_000.0, 50_002_000.0, BOOT)
REBOOTED = Clocks(WALL + 40_000.0, 30_000.0, "another-boot")
RUN = "0123456789ab"


@contextmanager
def fixed_clock_and_randomness() -> Iterator[None]:
    """Fixes the wall clock and seeds the system's randomness. For the generator of the fixtures only."""
    clock, system = time.time, random.SystemRandom
    drawn = random.Random(11)
    time.time, random.SystemRandom = lambda: WALL / 1000.0, lambda: drawn
    try:
        yield
    finally:
        time.time, random.SystemRandom = clock, system


# -- a dispatcher's state


class FixedClockState(PersistentState):
    """Persistent state with fixed clocks and a fixed id of the run."""

    def __init__(self, path: Path, endpoint_list: EndpointList, clocks: Clocks, run: str = RUN):
        metrics = Metrics()
        metrics.register_persistent_state()
        # The time limit is long, since a write that a busy machine delays would be missing in the fixture.
        super().__init__(
            StateConfig(str(path), patience_ms=10_000.0),
            endpoint_list,
            metrics,
            clocks=lambda: clocks,
            run_id=run,
        )


SERVERS = [
    {
        "id": f"d{i}",
        "addr": f"127.0.0.1:{9000 + i}",
        "zone": "room",
        "kind": "std",
        "cell": i // 2,
        "state": "SERVING",
        "weight": 1.5,
        "started_ms": 1_000.0 * i,
    }
    for i in range(4)
]
ENDPOINT_LIST = {"version": 7, "full": True, "servers": SERVERS}
REQUESTS = (  # class, idempotency key, worker
    ("save", "k1", "d1"),
    ("once", "k2", "d2"),
    ("save", "", "d3"),
)
OTHER_RUN = AttemptRecord("once", "acme", "k3", "d0", 0, 0, WRITTEN)
OTHER_RUN_KEY = "sent/00ff/ffeeddccbbaa/1"
SPOOLED = b"\x1f\x8ba batch of records"


def _endpoint_list() -> tuple[EndpointList, dict[str, RequestClass]]:
    raw = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    settings = read_config(raw).settings
    endpoint_list = EndpointList(DecisionEngine(settings, 5), TopologyNames(("room",), ("std",)))
    endpoint_list.apply(ENDPOINT_LIST)
    return endpoint_list, {one.name: one for one in settings.classes}


def _request(number: int, request_class: str, key: str) -> Request:
    headers = [(b"idempotency-key", key.encode())] if key else []
    payload = HttpRequest("POST", f"/{request_class}", headers)
    return Request(f"r{number}", 1, 1e9, payload=payload)


async def write_state(path: Path) -> None:
    """Writes each kind of record, by the same calls as the service."""
    endpoint_list, classes = _endpoint_list()
    persistent_state = FixedClockState(path, endpoint_list, WRITTEN)
    persistent_state.open_store()
    persistent_state.restore()
    await persistent_state.write_detached("d1")
    await persistent_state.write_detached("d2")
    await persistent_state.write_reattached("d2")
    await persistent_state.write_operator_drain(True)
    ended = _request(9, "once", "k9")
    persistent_state.attempts.begin_request(ended, classes["once"], "acme")
    assert await persistent_state.attempts.record_attempt(Attempt(ended, 0, "d0", 1e9))
    # The next write deletes the record of this attempt.
    persistent_state.attempts.request_finished(ended)
    for number, (request_class, key, worker) in enumerate(REQUESTS):
        request = _request(number, request_class, key)
        persistent_state.attempts.begin_request(request, classes[request_class], "acme")
        assert await persistent_state.attempts.record_attempt(Attempt(request, 0, worker, 1e9))
    assert await persistent_state.attempts.write_forwarded_record(
        OTHER_RUN_KEY, ujson.dumps(OTHER_RUN.encode())
    )
    spool = StoreSpool(
        persistent_state.put,
        persistent_state.first_item,
        persistent_state.delete,
        max_bytes=1000,
        prefix=SPOOL,
    )
    assert await spool.put(SPOOLED)
    unnamed = StoreSpool(
        persistent_state.put,
        persistent_state.first_item,
        persistent_state.delete,
        max_bytes=1000,
        number=1,
    )
    assert await unnamed.put(SPOOLED)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(persistent_state.run)
        persistent_state.endpoint_list_changed()
        while persistent_state.first_item(b"list") is None:
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    persistent_state.close_store()


async def recover_state(path: Path, clocks: Clocks) -> list[Any]:
    """Returns what a later run recovers: the state, which requests may have run, and the spool."""
    endpoint_list, classes = _endpoint_list()
    persistent_state = FixedClockState(path, endpoint_list, clocks, "of a later run")
    persistent_state.open_store()
    try:
        state = persistent_state.restore().as_message()
        earlier = []
        for number, (request_class, key, _) in enumerate(
            (*REQUESTS, ("once", "k3", ""), ("once", "k9", ""))
        ):
            request = _request(number, request_class, key)
            persistent_state.attempts.begin_request(request, classes[request_class], "acme")
            earlier.append(
                [
                    request.earlier_attempt_age,
                    request.earlier_attempt_zone,
                    request.earlier_attempt_cell,
                ]
            )
        held, number = persistent_state.prefix_usage(SPOOL)
        first = persistent_state.first_item(SPOOL)
        assert first is not None
        return [state, earlier, [held, number, first[0].hex(), first[1].hex()]]
    finally:
        persistent_state.close_store()


# -- a voter's log

DISK_BEFORE = raft_types.PersistentRaftState(
    3,
    "d00",
    tuple(raft_types.LogEntry(2, raft_types.COMMAND, b"order %d" % at) for at in range(4)),
    raft_types.Snapshot(0, 0, VOTERS),
)
DISK = raft_types.PersistentRaftState(
    4,
    "d01",
    (
        raft_types.LogEntry(3, raft_types.NO_OP),
        raft_types.LogEntry(4, raft_types.COMMAND, b"order"),
        raft_types.LogEntry(4, raft_types.VOTERS, b"", (*VOTERS, "d03")),
        raft_types.LogEntry(4, "state", b"for a machine"),
    ),
    raft_types.Snapshot(3, 2, VOTERS, applied_leases().pack()),
)
INCARNATION = 1_700_000_000_123
FENCES = {"zones": 5, "calendar": 2**40}


def write_voter(path: Path) -> None:
    with Store(path) as store:
        store.write(voter_disk.state_batch(None, DISK_BEFORE, INCARNATION - 1))
        store.write(voter_disk.state_batch(DISK_BEFORE, DISK, INCARNATION))
        for role, number in FENCES.items():
            store.write(voter_disk.fence_batch(role, number))


def recover_voter(path: Path) -> tuple[raft_types.PersistentRaftState, int, dict[str, int]]:
    with Store(path) as store:
        return *voter_disk.read(store, ("of", "the", "file")), voter_disk.read_fences(store)


# -- the persisted view of a member


async def write_persisted_view(path: Path) -> None:
    views = Views(ViewsConfig(("d00",), str(path)))
    assert await views._persist(PERSISTED_VIEW)
    await views._close_store()


def recover_persisted_view(path: Path) -> PersistedView | None:
    with Store(path) as store:
        found = store.get(VIEW_KEY)
        return None if found is None else msgspec.msgpack.decode(found, type=PersistedView)


# -- a store that was compacted


def write_compacted(path: Path) -> None:
    """Writes two segments with hints, one of them a result of compaction, and one without a hint."""
    with Store(path, maintain=False) as store:
        for number in range(20):
            store.put(b"key %02d" % number, b"first value %d" % number)
        store.engine.seal()
        for number in range(0, 20, 2):
            store.put(b"key %02d" % number, b"second value")
        for number in range(0, 20, 5):
            store.delete(b"key %02d" % number)
        store.compact()
        store.write(Batch().put(b"runs out", b"later", int(WALL) + 1).put(b"batched", b""))
        store.engine.seal()
        for _ in store.engine.write_hints():
            pass
        store.put_if(b"last", b"\x00\xff", 0)


# -- directories as files and as rows


def rows_of(path: Path) -> list[list[Any]]:
    """Returns key, value, version and expiry of every row of a store."""
    with Store(path, maintain=False, clock=lambda: int(WALL)) as store:
        found = []
        for key, _ in store.scan():
            row = store.find(key)
            found.append([key.hex(), row.value.hex(), row.version, row.expires])
        return found


def save_directory(path: Path, name: str) -> None:
    """Copies the files of a store to the fixtures."""
    target = DIRECTORY / name
    shutil.rmtree(target, ignore_errors=True)
    target.mkdir(parents=True)
    for file in sorted(path.iterdir()):
        if file.name not in PROCESS_FILES:
            shutil.copy(file, target / file.name)


def copy_directory(name: str, path: Path) -> Path:
    """Copies a fixture to a directory in which a test may open it."""
    return shutil.copytree(DIRECTORY / name, path / name)


def reencoded(file: Path) -> bytes:
    """Decodes a file and encodes it again."""
    data = file.read_bytes()
    if file.name == "MANIFEST":
        return store_format.encode_manifest(store_format.decode_manifest(data))
    name = store_format.segment_name(file.name)
    if file.suffix == ".hint":
        size = file.with_suffix(".seg").stat().st_size
        entries = list(store_format.decode_hint(data, size))
        writer = store_format.HintWriter(size)
        body = writer.add(store_format.encode_hint_entries(entries), len(entries))
        return writer.header + body + writer.end()
    replaced, at = store_format.decode_segment_header(data, name)
    found = store_format.encode_segment_header(name, replaced)
    while at < len(data):
        head = store_format.decode_frame_header(data, at, name.salt)
        start = at + store_format.FRAME_HEADER_BYTES
        body = data[start : start + head.length]
        operations = store_format.decode_body(body, head, name.salt, start)
        found += store_format.encode_frame(operations, name.salt, head.time)
        at = start + head.length
    return found
