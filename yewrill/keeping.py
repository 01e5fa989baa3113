"""What this dispatcher keeps over a restart, in the embedded store: the operators' word, the pool config,
attempts out.

Imported only where `state_dir` is set. Order, where it matters: an attempt of a job that may not simply run
twice is on disk before its first byte; an operators' call before its answer; all else follows when it can.
A store that fails costs no answer: service goes on without, told in the log once and counted.
"""

from __future__ import annotations

import hashlib
import itertools
import logging
import os
import time
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import trio
import ujson

from yewrill.config import StateConfig
from yewrill.ending import Ending
from yewrill.facade import Operation, RouteStep
from yewrill.figures import Figures
from yewrill.interface import NEVER_RAN, JobClass
from yewrill.net.poolconfig import REMEMBERED, PoolConfig
from yewrill.remember import Clocks, Sent, believed, window_of
from yewrill.store import Batch, Store, StoreError, StoreHeld

log = logging.getLogger("yewrill.state")

OUT, BACK, LAME, LIST, SENT = b"out/", b"back/", b"lame", b"list", b"sent/"
TIDY = 0.5  # seconds between writes of what nobody waits for
LIST_PAUSE = 1.0  # seconds between writes of the pool config
MOST_ENDED = 512  # ends that wait to be written
MOST_REMEMBERED = 100_000  # attempts of earlier runs
AGAIN = 0.25  # seconds before the next try for a store that another run still has
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


def _boot() -> str:
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""  # no word on that here: the wall clock must do


@dataclass(slots=True)
class _Job:
    """What the keeper knows of an operation under way."""

    name: tuple[str, str, str]  # class, tenant and key
    window: float
    record: bytes = b""  # of the first attempt that may have run, or of the last one
    sure: bool = False  # an attempt has ended that may have run


class Keeper:
    """The dispatcher's side of its store. `open_store` first; it may block for long."""

    def __init__(self, config: StateConfig, pool: PoolConfig, figures: Figures):
        self._config = config
        self._pool = pool
        self._figures = figures
        self._boot = _boot()
        self._store: Store | None = None
        self._troubled = False
        # By class, tenant and key: attempts of earlier runs whose end nobody saw.
        self._remembered: dict[tuple[str, str, str], list[Sent]] = {}
        self._jobs: dict[Operation, _Job] = {}  # those that may not simply run twice
        self._ended: list[bytes] = []
        self._run, self._count = (
            os.urandom(6).hex(),
            0,
        )  # names of records: this run's, and a number
        self._list_changed = trio.Event()

    # -- begin and end

    def open_store(self) -> None:
        """Blocks. Raises StoreHeld while another run has it, OSError where there can be none."""
        self._store = Store(
            self._config.path,
            mode=self._config.mode,
            segment_size=4 * 1024 * 1024,
            reserve=4 * 1024 * 1024,
            compaction_rate=4 * 1024 * 1024,
        )

    def close_store(self) -> None:
        """Blocks."""
        if self._store is not None:
            store, self._store = self._store, None
            with suppress(StoreError):
                self._flush(store)
            store.close()

    @property
    def held(self) -> bool:
        return self._store is not None

    async def wait_for_store(self) -> None:
        """Until the run that has it is gone."""
        while True:
            try:
                await trio.to_thread.run_sync(self.open_store)
                return
            except (StoreHeld, OSError):
                await trio.sleep(AGAIN)

    def restore(self) -> dict[str, Any]:
        """What the last run knew, in the form that an heir is told. Attempts out are taken in here."""
        store, now = self._store, self.clocks()
        oldest = now.wall - REMEMBERED * 1000.0
        back = {}
        for key, value in self._read(BACK):
            with suppress(ValueError, TypeError, KeyError):
                if oldest < (at := float(value["at"])) <= now.wall:
                    back[key] = at
        state = {
            "out": [key for key, _ in self._read(OUT)],
            "back": back,
            "lame": False,
            "list": None,
        }
        with suppress(StoreError, ValueError, OSError):
            state["lame"] = store.get(LAME) is not None
            if (known := store.get(LIST)) is not None:
                state["list"] = ujson.loads(known)
        self.recall_sent()
        log.info(
            "state-restored out=%d back=%d lame=%s list=%s attempts=%d",
            len(state["out"]),
            len(back),
            state["lame"],
            len(state["list"]["servers"]) if state["list"] else 0,
            sum(map(len, self._remembered.values())),
        )
        return state

    def recall_sent(self) -> None:
        """Learn which attempts were out when earlier runs died."""
        count = 0
        for _, value in self._read(SENT):
            with suppress(ValueError, TypeError, KeyError):
                sent = Sent.decode(value)
                self._remembered.setdefault(sent.name, []).append(sent)
                count += 1
                if count == MOST_REMEMBERED:
                    log.warning("state-many attempts=%d: older ones are not looked at", count)
                    return

    def _read(self, prefix: bytes) -> Iterator[tuple[str, Any]]:
        """Records of one sort; what can't be read is left out, and told."""
        scan = self._store.scan(prefix=prefix)
        try:
            for key, value in scan:
                with suppress(ValueError):
                    yield key[len(prefix) :].decode(errors="replace"), ujson.loads(value)
        except (StoreError, OSError) as error:
            log.error("state-unreadable records=%s: %s", prefix.decode(), error)

    async def run(self) -> None:
        """Write what nobody waits for."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_list)
            while True:
                await trio.sleep(TIDY)
                if self._ended:
                    await self._write(self._with_ended(Batch()))
                if self._remembered:
                    self._forget()

    def _forget(self) -> None:
        """Drop a few records that are past the longest window; the store's own expiry sees to the rest."""
        now = self.clocks().wall
        for name in list(itertools.islice(self._remembered, 64)):
            sent = self._remembered.pop(name)
            if any(now < each.at.wall + self._config.unsafe_window_ms for each in sent):
                self._remembered[name] = sent  # to the end of the line

    async def _keep_list(self) -> None:
        while True:
            await self._list_changed.wait()
            self._list_changed = trio.Event()
            if self._store is not None:
                snapshot = self._pool.snapshot()
                text = await trio.to_thread.run_sync(lambda s=snapshot: ujson.dumps(s).encode())
                await self._write(Batch().put(LIST, text))
            await trio.sleep(LIST_PAUSE)

    def list_changed(self) -> None:
        self._list_changed.set()

    # -- what operators say

    async def taken_out(self, name: str) -> bool:
        """Whether it is on disk; an operators' call waits for that."""
        return await self._write(_note_out(Batch(), name).delete(BACK + name.encode()))

    async def put_back(self, name: str, at: float) -> bool:
        return await self._write(_note_back(Batch().delete(OUT + name.encode()), name, at))

    async def lame(self, on: bool) -> bool:
        return await self._write(Batch().put(LAME, b"1") if on else Batch().delete(LAME))

    async def write_all(self, out: list[str], back: dict[str, float], lame: bool) -> None:
        """Everything anew: another run had the store until now."""
        batch = Batch()
        for key, _ in [*self._read(OUT), *self._read(BACK)]:
            batch.delete(OUT + key.encode()).delete(BACK + key.encode())
        for name in out:
            _note_out(batch, name)
        for name, at in back.items():
            _note_back(batch, name, at)
        batch.put(LAME, b"1") if lame else batch.delete(LAME)
        await self._write(batch)
        self.list_changed()

    # -- a spool's batches

    def held_under(self, prefix: bytes) -> tuple[int, int]:
        """The bytes of all values under a prefix, and the number that the last key ends with. Blocks."""
        held = number = 0
        if self._store is not None:
            for key, value in self._store.scan(prefix=prefix):
                held, number = held + len(value), int(key[len(prefix) :], 16)
        return held, number

    def first(self, prefix: bytes) -> tuple[bytes, bytes] | None:
        """The first key under a prefix, and its value. Blocks."""
        if self._store is None:
            return None
        try:
            return next(self._store.scan(prefix=prefix), None)
        except StoreError as error:
            log.error("state-unreadable records=%s: %s", prefix.decode(), error)
            return None

    async def keep(self, key: bytes, value: bytes) -> bool:
        return await self._write(Batch().put(key, value))

    async def drop(self, key: bytes) -> bool:
        return await self._write(Batch().delete(key))

    # -- attempts

    def clocks(self) -> Clocks:
        return Clocks(time.time() * 1000.0, time.monotonic() * 1000.0, self._boot)

    def take(self, operation: Operation, spec: JobClass, tenant: str) -> None:
        """An operation, in the moment that its class and tenant were looked up: what an earlier run may have
        done of it goes to the module with it."""
        window = window_of(spec, self._config.unsafe_window_ms)
        if window <= 0:
            return
        name = (spec.name, tenant, _key_of(operation))
        self._jobs[operation] = _Job(name, window)
        if (sent := self._remembered.get(name)) is None:
            return
        found = believed(sent, self.clocks(), window)
        if found is None:
            del self._remembered[name]
            return
        operation.ran_ago, operation.ran_zone, operation.ran_cell = (
            found.ago,
            found.zone,
            found.cell,
        )
        log.info(
            "repeat-of-earlier-run operation=%s ago_ms=%.0f cell=%d",
            operation.id,
            found.ago,
            found.cell,
        )

    async def promise(self, step: RouteStep) -> None:
        """Before an attempt's first byte: should we die from here on, the next run knows that it was out."""
        job = self._jobs.get(step.operation)
        destination = self._pool.get(step.destination)
        if job is None or job.sure or destination is None:
            return  # if sure, what stands is the first attempt that may have run
        sent = Sent(*job.name, step.destination, destination.zone, destination.cell, self.clocks())
        if not job.record:
            self._count += 1
            digest = hashlib.blake2b("\0".join(job.name).encode(), digest_size=16).hexdigest()
            job.record = f"sent/{digest}/{self._run}/{self._count}".encode()
        batch = Batch().put(
            job.record, ujson.dumps(sent.encode()).encode(), int(sent.at.wall + job.window)
        )
        await self._write(self._with_ended(batch))

    def ended(self, step: RouteStep, ending: Ending) -> None:
        """An attempt is over; one that may have run stands for its operation from now on."""
        job = self._jobs.get(step.operation)
        if job is not None and ending.outcome not in NEVER_RAN:
            job.sure = True

    def closed(self, operation: Operation) -> None:
        """The operation has its answer, and nothing of it is out."""
        job = self._jobs.pop(operation, None)
        if job is not None and job.record and len(self._ended) < MOST_ENDED:
            self._ended.append(job.record)  # beyond that they end with their windows

    # -- inside

    def _with_ended(self, batch: Batch) -> Batch:
        ended, self._ended = self._ended, []
        for name in ended:
            batch.delete(name)
        return batch

    def _flush(self, store: Store) -> None:
        if self._ended:
            store.write(self._with_ended(Batch()))

    async def _write(self, batch: Batch) -> bool:
        """Write, and wait for that a little. Whether it is on disk."""
        if self._store is None:
            self._figures.kept(False)
            return False
        reason = "slow disk"
        with trio.move_on_after(self._config.patience_ms / 1000.0):
            try:
                await self._store.awrite(batch)
                reason = ""
            except (StoreError, OSError) as error:
                reason = str(error)
        self._figures.kept(not reason)
        if reason and not self._troubled:
            log.error("state-failed %s: service goes on without", reason)
        elif not reason and self._troubled:
            log.info("state-back")
        self._troubled = bool(reason)
        return not reason


def _note_out(batch: Batch, name: str) -> Batch:
    return batch.put(OUT + name.encode(), b"{}")


def _note_back(batch: Batch, name: str, at: float) -> Batch:
    return batch.put(
        BACK + name.encode(), ujson.dumps({"at": at}).encode(), int(at + REMEMBERED * 1000.0)
    )


def _key_of(operation: Operation) -> str:
    """The name under which a client repeats a job: its key, else the request's own id."""
    return operation.payload.one(b"idempotency-key") or operation.id
