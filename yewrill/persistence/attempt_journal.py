"""Write-ahead records of attempts that must not simply run twice, by this run and by earlier ones.

The record of such an attempt is on disk before the attempt's first byte is sent. It is deleted once its
request is finished; that deletion is not waited for. What a run finds of earlier runs are therefore attempts
that were in flight when these died.
"""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass

import ujson

from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.request import Attempt, Request
from yewrill.net.endpoint_list import EndpointList
from yewrill.persistence.attempts import (
    AttemptRecord,
    Clocks,
    EarlierAttempt,
    RequestIdentity,
    estimate_earlier_attempt,
    min_age_ms,
    retention_window_ms,
)
from yewrill.persistence.clock import EXPIRY_MARGIN_MS
from yewrill.persistence.disk import Disk, Unreadable, log
from yewrill.policy.interface import NEVER_RAN, RequestClass
from yewrill.store import Batch

ATTEMPT_PREFIX = b"sent/"
MAX_FINISHED_KEYS = (
    512  # deletions that wait to be written; beyond it records end with their windows
)
MAX_RECOVERED_ATTEMPTS = 100_000
EXPIRY_CHECKS_PER_ROUND = 64  # requests of earlier runs checked for the end of their windows


@dataclass(frozen=True, slots=True)
class _RecoveredAttempt:
    """An attempt of an earlier run, and the key of its record in the store."""

    record: AttemptRecord
    key: bytes


@dataclass(slots=True)
class _TrackedRequest:
    """A request in progress that must not simply run twice."""

    identity: RequestIdentity
    window_ms: float
    earlier_runs_known: bool  # the records of earlier runs had been read when it arrived
    key: bytes = b""  # of its record: the first attempt that may have run, else the last one
    value: bytes = b""
    expires: int = 0  # wall clock, ms
    confirmed: bool = False  # an attempt that may have run has ended


class AttemptJournal:
    """Records attempts before they are sent, and knows those that earlier runs left unfinished."""

    def __init__(
        self,
        disk: Disk,
        endpoints: EndpointList,
        *,
        non_idempotent_window_ms: float,
        write: Callable[[Batch], Awaitable[bool]],
        clocks: Callable[[], Clocks],
        run_id: str,
    ):
        """`write` tells whether a batch is on disk; `run_id` is a part of the keys of this run's records."""
        self._disk = disk
        self._endpoints = endpoints
        self._non_idempotent_window_ms = non_idempotent_window_ms
        self._write = write
        self._clocks = clocks
        self._run_id = run_id
        self._key_count = 0
        self._recovered_attempts: dict[RequestIdentity, list[_RecoveredAttempt]] = {}
        self._requests: dict[Request, _TrackedRequest] = {}
        self._finished_keys: list[bytes] = []
        self.recovered = False  # all records of earlier runs have been read
        # While another run of this dispatcher has the store: asks it to write a record (key, value).
        self.forward_record: Callable[[str, str], Awaitable[bool]] | None = None

    # -- attempts of earlier runs

    @property
    def recovered_count(self) -> int:
        """The number of attempts of earlier runs that may still have run."""
        return sum(map(len, self._recovered_attempts.values()))

    def recover(self) -> bool:
        """Read the records of earlier runs; whether all of them are known now. Blocks."""
        recovered: dict[RequestIdentity, list[_RecoveredAttempt]] = {}
        count = 0
        try:
            for name, value in self._disk.records(ATTEMPT_PREFIX):
                if f"/{self._run_id}/" in name:
                    continue  # this run's own, written by the run that had the store before
                with suppress(ValueError, TypeError, KeyError):
                    record = AttemptRecord.decode(value)
                    recovered.setdefault(record.identity, []).append(
                        _RecoveredAttempt(record, ATTEMPT_PREFIX + name.encode())
                    )
                    count += 1
                if count == MAX_RECOVERED_ATTEMPTS:
                    log.warning("persistent_state_attempts_truncated attempts=%d", count)
                    break
        except Unreadable:
            return False
        self._recovered_attempts = recovered
        self.recovered = self._disk.store is not None
        return self.recovered

    def expire_recovered(self) -> None:
        """Drop some of the recovered attempts that are past the longest window, in memory and on disk."""
        now = self._clocks()
        oldest = list(itertools.islice(self._recovered_attempts, EXPIRY_CHECKS_PER_ROUND))
        for identity in oldest:
            attempts = self._recovered_attempts.pop(identity)
            if any(
                min_age_ms(each.record.at, now) <= self._non_idempotent_window_ms
                for each in attempts
            ):
                self._recovered_attempts[identity] = attempts  # checked again after all others
            else:
                self._finish(each.key for each in attempts)

    def _find_earlier(self, identity: RequestIdentity, window_ms: float) -> EarlierAttempt | None:
        attempts = self._recovered_attempts.get(identity)
        if attempts is None:
            return None
        records = [each.record for each in attempts]
        earlier = estimate_earlier_attempt(records, self._clocks(), window_ms)
        if earlier is None:
            del self._recovered_attempts[identity]
            self._finish(each.key for each in attempts)
        return earlier

    # -- requests of this run

    def begin_request(self, request: Request, spec: RequestClass, tenant: str) -> None:
        """Track a request, as soon as its class and tenant are known, and note on it what an earlier run
        may have done of it."""
        window_ms = retention_window_ms(spec, self._non_idempotent_window_ms)
        if window_ms <= 0:
            return
        identity = RequestIdentity(spec.name, tenant, _idempotency_key(request))
        self._requests[request] = _TrackedRequest(identity, window_ms, self.recovered)
        earlier = self._find_earlier(identity, window_ms)
        if earlier is None:
            return
        request.ran_ago = earlier.age_ms
        request.ran_zone = earlier.zone
        request.ran_cell = earlier.cell
        log.info(
            "request_repeats_earlier_run request=%s age_ms=%.0f cell=%d",
            request.id,
            earlier.age_ms,
            earlier.cell,
        )

    async def record_attempt(self, attempt: Attempt) -> bool:
        """Write an attempt's record; whether the attempt may be sent. To be awaited before its first byte."""
        tracked = self._requests.get(attempt.request)
        if tracked is None or tracked.confirmed:
            return (
                True  # a confirmed request keeps the record of its first attempt that may have run
            )
        worker = self._endpoints.get(attempt.worker)
        if worker is None:
            return False
        record = AttemptRecord(
            *tracked.identity, attempt.worker, worker.zone, worker.cell, self._clocks()
        )
        if not tracked.key:
            tracked.key = self._new_key(tracked.identity)
        tracked.value = ujson.dumps(record.encode()).encode()
        tracked.expires = _expiry(record, tracked.window_ms)
        if self._disk.store is None and self.forward_record is not None:
            return await self.forward_record(tracked.key.decode(), tracked.value.decode())
        if not tracked.earlier_runs_known:
            return False  # an earlier run may have sent it; its records could not be read yet
        return await self.write_with_finished(
            Batch().put(tracked.key, tracked.value, tracked.expires)
        )

    def _new_key(self, identity: RequestIdentity) -> bytes:
        self._key_count += 1
        digest = hashlib.blake2b("\0".join(identity).encode(), digest_size=16).hexdigest()
        return ATTEMPT_PREFIX + f"{digest}/{self._run_id}/{self._key_count}".encode()

    async def write_forwarded_record(self, key: str, value: str) -> bool:
        """Write an attempt's record for another run of this dispatcher, which waits for the store.

        False if it can't be written, or if an earlier run may have sent that request.
        """
        try:
            record = AttemptRecord.decode(ujson.loads(value))
        except (ValueError, TypeError, KeyError):
            return False
        if not self.recovered or not key.startswith(ATTEMPT_PREFIX.decode()):
            return False
        window_ms = self._non_idempotent_window_ms
        if self._find_earlier(record.identity, window_ms) is not None:
            return False
        return await self._write(
            Batch().put(key.encode(), value.encode(), _expiry(record, window_ms))
        )

    def attempt_finished(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Note an attempt's outcome; the record of one that may have run is not replaced any more."""
        tracked = self._requests.get(attempt.request)
        if tracked is not None and outcome.policy_outcome not in NEVER_RAN:
            tracked.confirmed = True

    def request_finished(self, request: Request) -> None:
        """Note that a request has its answer and no attempt in flight: its record is deleted soon."""
        tracked = self._requests.pop(request, None)
        if tracked is not None and tracked.key:
            self._finish([tracked.key])

    # -- writing

    def put_records(self, batch: Batch) -> None:
        """Add the records of all requests in progress to a batch."""
        for tracked in self._requests.values():
            if tracked.key:
                batch.put(tracked.key, tracked.value, tracked.expires)

    @property
    def has_finished(self) -> bool:
        """Whether records of finished requests wait to be deleted."""
        return bool(self._finished_keys)

    def take_finished(self, batch: Batch) -> Batch:
        """Move the deletions that wait into a batch."""
        for key in self._finished_keys:
            batch.delete(key)
        self._finished_keys = []
        return batch

    async def write_with_finished(self, batch: Batch) -> bool:
        """Write a batch together with the deletions that wait; whether it is on disk."""
        keys = self._finished_keys
        written = await self._write(self.take_finished(batch))
        if not written:  # else a later run would take them for attempts in flight
            self._finish(keys)
        return written

    def _finish(self, keys: Iterable[bytes]) -> None:
        self._finished_keys = [*self._finished_keys, *keys][:MAX_FINISHED_KEYS]


def _expiry(record: AttemptRecord, window_ms: float) -> int:
    return int(record.at.wall + window_ms + EXPIRY_MARGIN_MS)


def _idempotency_key(request: Request) -> str:
    """Return the name under which a client repeats a request: its key, else the request's own id."""
    return request.payload.single_header(b"idempotency-key") or request.id
