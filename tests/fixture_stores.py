"""Store directories with each kind of record: a dispatcher's state, a voter's log, a kept view, and one that
was compacted. All clocks stand in the year 2100, so that nothing in a fixture runs out."""

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
from fixture_messages import KEPT, VOTERS, applied_duties
from helper import SETTINGS

from yewrill.config.reading import read_config
from yewrill.config.schema import StateConfig, TopologyNames
from yewrill.dispatch.engine import DecisionEngine
from yewrill.dispatch.request import Attempt, Request
from yewrill.leases import disk as voters_disk
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

STATE, VOTER, KEPT_VIEW, COMPACTED = "state", "ownership_log", "views_kept", "compacted"
DIRECTORIES = (STATE, VOTER, KEPT_VIEW, COMPACTED)
OF_A_PROCESS = ("LOCK", "RESERVE")  # files that are no part of what is kept
WALL = 4_102_444_800_000.0  # 2100-01-01, in ms
BOOT = "0f1e2d3c-boot"
WRITTEN = Clocks(WALL, 50_000_000.0, BOOT)
LATER = Clocks(WALL + 2_000.0, 50_002_000.0, BOOT)
REBOOTED = Clocks(WALL + 40_000.0, 30_000.0, "another-boot")
RUN = "0123456789ab"


@contextmanager
def fixed_world() -> Iterator[None]:
    """The wall clock stands still, and the system's randomness comes from a seed. For the generator only."""
    clock, system = time.time, random.SystemRandom
    drawn = random.Random(11)
    time.time, random.SystemRandom = lambda: WALL / 1000.0, lambda: drawn
    try:
        yield
    finally:
        time.time, random.SystemRandom = clock, system


# -- a dispatcher's state


class FixedKeeper(PersistentState):
    """A keeper whose clocks stand still, and whose run has a known name."""

    def __init__(self, path: Path, pool: EndpointList, clocks: Clocks, run: str = RUN):
        figures = Metrics()
        figures.register_persistent_state()
        # With patience for a busy machine: what is not written in time is not in the fixture.
        super().__init__(
            StateConfig(str(path), patience_ms=10_000.0),
            pool,
            figures,
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
KNOWN = {"version": 7, "full": True, "servers": SERVERS}
JOBS = (  # class, key of the client, destination
    ("save", "k1", "d1"),
    ("once", "k2", "d2"),
    ("save", "", "d3"),
)
OTHER_RUN = AttemptRecord("once", "acme", "k3", "d0", 0, 0, WRITTEN)
OTHER_RUN_KEY = "sent/00ff/ffeeddccbbaa/1"
SPOOLED = b"\x1f\x8ba batch of records"


def _pool() -> tuple[EndpointList, dict[str, RequestClass]]:
    raw = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    settings = read_config(raw).settings
    pool = EndpointList(DecisionEngine(settings, 5), TopologyNames(("room",), ("std",)))
    pool.apply(KNOWN)
    return pool, {one.name: one for one in settings.classes}


def _operation(number: int, request_class: str, key: str) -> Request:
    headers = [(b"idempotency-key", key.encode())] if key else []
    payload = HttpRequest("POST", f"/{request_class}", headers)
    return Request(f"r{number}", 1, 1e9, payload=payload)


async def write_state(path: Path) -> None:
    """Each kind of record, by the calls that the service makes."""
    pool, classes = _pool()
    persistent_state = FixedKeeper(path, pool, WRITTEN)
    persistent_state.open_store()
    persistent_state.restore()
    await persistent_state.write_detached("d1")
    await persistent_state.write_detached("d2")
    await persistent_state.write_reattached("d2")
    await persistent_state.write_operator_drain(True)
    ended = _operation(9, "once", "k9")
    persistent_state.attempts.begin_request(ended, classes["once"], "acme")
    assert await persistent_state.attempts.record_attempt(Attempt(ended, 0, "d0", 1e9))
    persistent_state.attempts.request_finished(ended)  # its record goes with the next write
    for number, (request_class, key, destination) in enumerate(JOBS):
        operation = _operation(number, request_class, key)
        persistent_state.attempts.begin_request(operation, classes[request_class], "acme")
        assert await persistent_state.attempts.record_attempt(
            Attempt(operation, 0, destination, 1e9)
        )
    assert await persistent_state.attempts.write_forwarded_record(
        OTHER_RUN_KEY, ujson.dumps(OTHER_RUN.encode())
    )
    spool = StoreSpool(
        persistent_state.keep,
        persistent_state.first,
        persistent_state.drop,
        max_bytes=1000,
        prefix=SPOOL,
    )
    assert await spool.put(SPOOLED)
    unnamed = StoreSpool(
        persistent_state.keep,
        persistent_state.first,
        persistent_state.drop,
        max_bytes=1000,
        number=1,
    )
    assert await unnamed.put(SPOOLED)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(persistent_state.run)
        persistent_state.endpoint_list_changed()
        while persistent_state.first(b"list") is None:
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    persistent_state.close_store()


async def recover_state(path: Path, clocks: Clocks) -> list[Any]:
    """What a later run learns: its whole state, of each job what may have run, and the spool."""
    pool, classes = _pool()
    persistent_state = FixedKeeper(path, pool, clocks, "of a later run")
    persistent_state.open_store()
    try:
        state = persistent_state.restore().as_message()
        earlier = []
        for number, (request_class, key, _) in enumerate(
            (*JOBS, ("once", "k3", ""), ("once", "k9", ""))
        ):
            operation = _operation(number, request_class, key)
            persistent_state.attempts.begin_request(operation, classes[request_class], "acme")
            earlier.append([operation.ran_ago, operation.ran_zone, operation.ran_cell])
        held, number = persistent_state.usage_under(SPOOL)
        first = persistent_state.first(SPOOL)
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
    raft_types.Snapshot(3, 2, VOTERS, applied_duties().pack()),
)
INCARNATION = 1_700_000_000_123
FENCES = {"zones": 5, "calendar": 2**40}


def write_voter(path: Path) -> None:
    with Store(path) as store:
        store.write(voters_disk.state_batch(None, DISK_BEFORE, INCARNATION - 1))
        store.write(voters_disk.state_batch(DISK_BEFORE, DISK, INCARNATION))
        for duty, number in FENCES.items():
            store.write(voters_disk.fence_batch(duty, number))


def recover_voter(path: Path) -> tuple[raft_types.PersistentRaftState, int, dict[str, int]]:
    with Store(path) as store:
        return *voters_disk.read(store, ("of", "the", "file")), voters_disk.read_fences(store)


# -- the view that a member kept


async def write_kept_view(path: Path) -> None:
    views = Views(ViewsConfig(("d00",), str(path)))
    assert await views._persist(KEPT)
    await views._close_store()


def recover_kept_view(path: Path) -> PersistedView | None:
    with Store(path) as store:
        found = store.get(VIEW_KEY)
        return None if found is None else msgspec.msgpack.decode(found, type=PersistedView)


# -- a store that was compacted


def write_compacted(path: Path) -> None:
    """Two segments with a hint each, of which one replaces others, and one without."""
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
    """Key, value, version and expiry of everything in a store."""
    with Store(path, maintain=False, clock=lambda: int(WALL)) as store:
        found = []
        for key, _ in store.scan():
            row = store.find(key)
            found.append([key.hex(), row.value.hex(), row.version, row.expires])
        return found


def keep_directory(path: Path, name: str) -> None:
    """Make a directory's files a fixture."""
    target = DIRECTORY / name
    shutil.rmtree(target, ignore_errors=True)
    target.mkdir(parents=True)
    for file in sorted(path.iterdir()):
        if file.name not in OF_A_PROCESS:
            shutil.copy(file, target / file.name)


def copy_directory(name: str, path: Path) -> Path:
    """A fixture's directory, where a test may open it."""
    return shutil.copytree(DIRECTORY / name, path / name)


def written_again(file: Path) -> bytes:
    """A file read to values and written from these."""
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
