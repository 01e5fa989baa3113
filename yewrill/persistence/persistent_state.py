"""The dispatcher's side of its store: the operators' word, the list of workers, attempts that are out.

Order, where it matters: an attempt of a job that may not simply run twice is on disk before its first byte;
an operators' call before its answer; all else follows when it can.
"""

from __future__ import annotations

import hashlib
import itertools
import os
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import trio
import ujson

from yewrill.config.reading import StateConfig
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.request import Attempt, Request
from yewrill.net.discovery import REMEMBERED, EndpointList
from yewrill.observability.metrics import Metrics
from yewrill.persistence.attempts import (
    AttemptRecord,
    Clocks,
    EarlierAttempt,
    JobName,
    believed,
    least_age,
    window_of,
)
from yewrill.persistence.disk import Disk, Unreadable, log
from yewrill.policy.interface import NEVER_RAN, RequestClass
from yewrill.store import Batch, StoreError

OUT, BACK, LAME, LIST, SENT = b"out/", b"back/", b"lame", b"list", b"sent/"
TIDY = 0.5  # seconds between writes of what nobody waits for
LIST_PAUSE = 1.0  # seconds between writes of the list of workers
MOST_ENDED = 512  # ends that wait to be written; beyond that records end with their windows
MOST_REMEMBERED = 100_000  # attempts of earlier runs
FORGOTTEN_AT_ONCE = 64  # jobs of earlier runs looked at for their windows' ends, each time
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
# Windows are counted by the monotonic clock; the store's own expiry, by the wall clock, only bounds what
# nobody comes back for.
EXPIRY_MARGIN_MS = 24 * 3_600_000.0


def _boot() -> str:
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""  # no word on that here: the wall clock must do


def read_clocks(boot: str) -> Clocks:
    """The clocks as they stand now, in ms."""
    return Clocks(time.time() * 1000.0, time.monotonic() * 1000.0, boot)


@dataclass(frozen=True, slots=True)
class _Remembered:
    """An attempt of an earlier run, and the key that its record has in the store."""

    record: AttemptRecord
    key: bytes


@dataclass(slots=True)
class _Job:
    """What the keeper knows of an operation under way."""

    name: JobName
    window: float
    recalled: bool  # what earlier runs left was known when it came
    key: bytes = b""  # of its record: the first attempt that may have run, or the last one
    value: bytes = b""
    expires: int = 0
    sure: bool = False  # an attempt has ended that may have run


class PersistentState:
    """What outlasts this process. `open_store` first; it may block for long."""

    def __init__(self, config: StateConfig, endpoints: EndpointList, metrics: Metrics):
        self._config = config
        self._endpoints = endpoints
        self._metrics = metrics
        self._boot = _boot()
        self._disk = Disk(config)
        self._disk.on_reopened = self._write_again
        # Attempts of earlier runs whose end nobody saw, and whether all of them are known.
        self._remembered: dict[JobName, list[_Remembered]] = {}
        self._recalled = False
        self._jobs: dict[Request, _Job] = {}  # those that may not simply run twice
        self._ended: list[bytes] = []
        self._run = os.urandom(6).hex()  # part of the names of this run's records
        self._count = 0
        self._lame = False
        self._behind = False  # something that is to be kept could not be written yet
        self._list_changed = trio.Event()
        # While another run of this dispatcher has the store: asks it to keep a record. Whether it does.
        self.keep_elsewhere: Callable[[str, str], Awaitable[bool]] | None = None

    # -- begin and end

    def open_store(self) -> None:
        """Blocks. Raises StoreHeld while another run has it, OSError where there can be none."""
        self._disk.open()

    def close_store(self) -> None:
        """Write what waits and let the store go. Blocks."""
        self._disk.close(self._with_ended(Batch()))

    @property
    def held(self) -> bool:
        """Whether this run has the store."""
        return self._disk.store is not None

    async def wait_for_store(self) -> None:
        """Until the run that has it is gone."""
        await self._disk.wait_until_held()

    def restore(self) -> dict[str, Any]:
        """What the last run knew, in the form that a new run is told. Takes in the attempts that were out.
        Blocks."""
        state: dict[str, Any] = {"out": [], "back": {}, "lame": False, "list": None}
        with suppress(Unreadable):
            state["out"] = [name for name, _ in self._disk.rows(OUT)]
            state["back"] = dict(self._put_back_lately())
        store = self._disk.store
        with suppress(StoreError, ValueError, OSError):
            state["lame"] = self._lame = store.get(LAME) is not None
            if (known := store.get(LIST)) is not None:
                state["list"] = ujson.loads(known)
        self.recall_attempts()
        log.info(
            "state-restored out=%d back=%d lame=%s list=%s attempts=%d",
            len(state["out"]),
            len(state["back"]),
            state["lame"],
            len(state["list"]["servers"]) if state["list"] else 0,
            sum(map(len, self._remembered.values())),
        )
        return state

    def _put_back_lately(self) -> Iterator[tuple[str, float]]:
        """Workers that operators put back within `REMEMBERED`, and how long ago, in ms."""
        now = self.clocks()
        for name, value in self._disk.rows(BACK):
            with suppress(ValueError, TypeError, KeyError):
                ago = least_age(Clocks.decode(value), now)
                if ago < REMEMBERED * 1000.0:
                    yield name, ago

    def recall_attempts(self) -> bool:
        """Learn which attempts were out when earlier runs died; whether that is all known now. Blocks."""
        found: dict[JobName, list[_Remembered]] = {}
        count = 0
        try:
            for name, value in self._disk.rows(SENT):
                if f"/{self._run}/" in name:
                    continue  # our own, kept for us by the run before
                with suppress(ValueError, TypeError, KeyError):
                    record = AttemptRecord.decode(value)
                    found.setdefault(record.name, []).append(
                        _Remembered(record, SENT + name.encode())
                    )
                    count += 1
                if count == MOST_REMEMBERED:
                    log.warning("state-many attempts=%d: older ones are not looked at", count)
                    break
        except Unreadable:
            return False
        self._remembered = found
        self._recalled = self.held
        return self._recalled

    async def run(self) -> None:
        """Write what nobody waits for, and keep the store well."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_list)
            nursery.start_soon(self._disk.keep_well)
            while True:
                await trio.sleep(TIDY)
                if self.held and not self._recalled:
                    await trio.to_thread.run_sync(self.recall_attempts)
                self._forget()
                if self._behind and self.held:
                    await self._write_again()
                if self._ended and self.held:
                    await self._write_with_ended(Batch())

    def _forget(self) -> None:
        """Drop a few records that are past the longest window, here and on disk."""
        now = self.clocks()
        for name in list(itertools.islice(self._remembered, FORGOTTEN_AT_ONCE)):
            remembered = self._remembered.pop(name)
            if any(self._may_count(each.record, now) for each in remembered):
                self._remembered[name] = remembered  # to the end of the line
            else:
                self._end_records(each.key for each in remembered)

    def _may_count(self, record: AttemptRecord, now: Clocks) -> bool:
        return least_age(record.at, now) <= self._config.unsafe_window_ms

    async def _keep_list(self) -> None:
        while True:
            await self._list_changed.wait()
            self._list_changed = trio.Event()
            if self.held:
                snapshot = self._endpoints.snapshot()
                text = await trio.to_thread.run_sync(lambda s=snapshot: ujson.dumps(s).encode())
                if not await self._write(Batch().put(LIST, text)):
                    self._list_changed.set()
            await trio.sleep(LIST_PAUSE)

    def list_changed(self) -> None:
        """The list of workers is another one: it is written soon."""
        self._list_changed.set()

    async def _write_again(self) -> None:
        """Write all that is to be kept once more: the store was opened anew, or has failed a write."""
        batch = Batch()
        for key in await trio.to_thread.run_sync(self._operators_keys):
            batch.delete(key)
        for name in self._endpoints.out:
            _note_out(batch, name)
        for name, ago in self._endpoints.back.items():
            self._note_back(batch, name, ago)
        _note_lame(batch, self._lame)
        for job in self._jobs.values():
            if job.key:
                batch.put(job.key, job.value, job.expires)
        self._behind = not await self._write(batch)
        self.list_changed()

    def _operators_keys(self) -> list[bytes]:
        with suppress(Unreadable):
            return [
                prefix + name.encode()
                for prefix in (OUT, BACK)
                for name, _ in self._disk.rows(prefix)
            ]
        return []

    # -- what operators say

    async def taken_out(self, name: str) -> bool:
        """Whether it is on disk; an operators' call waits for that."""
        return await self._write_word(_note_out(Batch(), name).delete(BACK + name.encode()))

    async def put_back(self, name: str) -> bool:
        """As `taken_out`."""
        batch = Batch().delete(OUT + name.encode())
        return await self._write_word(self._note_back(batch, name, 0.0))

    async def operator_drain(self, on: bool) -> bool:
        """As `taken_out`."""
        self._lame = on
        return await self._write_word(_note_lame(Batch(), on))

    async def _write_word(self, batch: Batch) -> bool:
        kept = await self._write(batch)
        if not kept:
            self._behind = True  # it is tried again, though nobody waits for it any more
        return kept

    async def write_all(self, operator_drain: bool) -> None:
        """All that operators said, anew: another run had the store until now."""
        self._lame = operator_drain
        await self._write_again()

    def _note_back(self, batch: Batch, name: str, ago: float) -> Batch:
        now = self.clocks()
        at = Clocks(now.wall - ago, now.steady - ago, now.boot)
        expires = int(now.wall + REMEMBERED * 1000.0 + EXPIRY_MARGIN_MS)
        return batch.put(BACK + name.encode(), ujson.dumps(at.encode()).encode(), expires)

    # -- a spool's batches

    def held_under(self, prefix: bytes) -> tuple[int, int]:
        """The bytes of all values under a prefix, and the number that the last key ends with. Blocks."""
        held = number = 0
        if (store := self._disk.store) is not None:
            for key, value in store.scan(prefix=prefix):
                held, number = held + len(value), int(key[len(prefix) :], 16)
        return held, number

    def first(self, prefix: bytes) -> tuple[bytes, bytes] | None:
        """The first key under a prefix, and its value. Blocks."""
        if (store := self._disk.store) is None:
            return None
        try:
            return next(store.scan(prefix=prefix), None)
        except (StoreError, OSError) as error:
            log.error("state-unreadable records=%s: %s", prefix.decode(), error)
            return None

    async def keep(self, key: bytes, value: bytes) -> bool:
        """Put a value; whether it is on disk."""
        return await self._write(Batch().put(key, value))

    async def drop(self, key: bytes) -> bool:
        """Remove a value; whether that is on disk."""
        return await self._write(Batch().delete(key))

    # -- attempts

    def clocks(self) -> Clocks:
        """The clocks as they stand now."""
        return read_clocks(self._boot)

    def take(self, request: Request, spec: RequestClass, tenant: str) -> None:
        """An operation, in the moment that its class and tenant were looked up: what an earlier run may have
        done of it goes to the module with it."""
        window = window_of(spec, self._config.unsafe_window_ms)
        if window <= 0:
            return
        name = (spec.name, tenant, _key_of(request))
        self._jobs[request] = _Job(name, window, self._recalled)
        found = self._earlier(name, window)
        if found is None:
            return
        request.ran_ago = found.ago
        request.ran_zone = found.zone
        request.ran_cell = found.cell
        log.info(
            "repeat-of-earlier-run request=%s ago_ms=%.0f cell=%d",
            request.id,
            found.ago,
            found.cell,
        )

    def _earlier(self, name: JobName, window: float) -> EarlierAttempt | None:
        remembered = self._remembered.get(name)
        if remembered is None:
            return None
        found = believed([each.record for each in remembered], self.clocks(), window)
        if found is None:
            del self._remembered[name]
            self._end_records(each.key for each in remembered)
        return found

    async def record_attempt(self, attempt: Attempt) -> bool:
        """Before an attempt's first byte: should we die from here on, the next run knows that it was out.
        Whether it may be sent."""
        job = self._jobs.get(attempt.request)
        if job is None or job.sure:
            return True  # if sure, what stands is the first attempt that may have run
        worker = self._endpoints.get(attempt.worker)
        if worker is None:
            return False
        record = AttemptRecord(*job.name, attempt.worker, worker.zone, worker.cell, self.clocks())
        if not job.key:
            self._count += 1
            digest = hashlib.blake2b("\0".join(job.name).encode(), digest_size=16).hexdigest()
            job.key = SENT + f"{digest}/{self._run}/{self._count}".encode()
        job.value = ujson.dumps(record.encode()).encode()
        job.expires = int(record.at.wall + job.window + EXPIRY_MARGIN_MS)
        if not self.held and self.keep_elsewhere is not None:
            return await self.keep_elsewhere(job.key.decode(), job.value.decode())
        if not job.recalled:
            return (
                False  # an earlier run may have sent it, and nobody could read yet whether it did
            )
        return await self._write_with_ended(Batch().put(job.key, job.value, job.expires))

    async def keep_for_another(self, key: str, value: str) -> bool:
        """Keep an attempt's record for another run of this dispatcher, which waits for the store. False if it
        can't be kept, or if an earlier run may have sent that job."""
        try:
            record = AttemptRecord.decode(ujson.loads(value))
        except (ValueError, TypeError, KeyError):
            return False
        if not self._recalled or not key.startswith(SENT.decode()):
            return False
        if self._earlier(record.name, self._config.unsafe_window_ms) is not None:
            return False
        expires = int(record.at.wall + self._config.unsafe_window_ms + EXPIRY_MARGIN_MS)
        return await self._write(Batch().put(key.encode(), value.encode(), expires))

    def ended(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """An attempt is over; one that may have run stands for its operation from now on."""
        job = self._jobs.get(attempt.request)
        if job is not None and outcome.policy_outcome not in NEVER_RAN:
            job.sure = True

    def closed(self, request: Request) -> None:
        """The operation has its answer, and nothing of it is out."""
        job = self._jobs.pop(request, None)
        if job is not None and job.key:
            self._end_records([job.key])

    # -- inside

    def _end_records(self, keys: Iterator[bytes] | list[bytes]) -> None:
        self._ended = [*self._ended, *keys][:MOST_ENDED]

    def _with_ended(self, batch: Batch) -> Batch:
        for key in self._ended:
            batch.delete(key)
        self._ended = []
        return batch

    async def _write_with_ended(self, batch: Batch) -> bool:
        keys = self._ended
        kept = await self._write(self._with_ended(batch))
        if not kept:  # else they would look like attempts that nobody saw the end of
            self._end_records(keys)
        return kept

    async def _write(self, batch: Batch) -> bool:
        """Write, and wait for that a little. Whether it is on disk."""
        kept = await self._disk.write(batch) is None
        self._metrics.kept(kept)
        self._metrics.add({"state_reopened": self._disk.reopened})
        return kept


def _note_out(batch: Batch, name: str) -> Batch:
    return batch.put(OUT + name.encode(), b"{}")


def _note_lame(batch: Batch, on: bool) -> Batch:
    return batch.put(LAME, b"1") if on else batch.delete(LAME)


def _key_of(request: Request) -> str:
    """The name under which a client repeats a job: its key, else the request's own id."""
    return request.payload.one(b"idempotency-key") or request.id
