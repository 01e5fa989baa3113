"""Write-ahead records of attempts that are unsafe to repeat, of this run and of earlier ones.

A *run* is one process of this dispatcher. These attempts are those of requests that are not idempotent, or
idempotent only by key. The record of an attempt is on disk before the attempt's first byte is sent. It is
deleted in the background after its request has finished. The records that a new run finds are therefore of
attempts that were in flight when an earlier run died.
"""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Awaitable, Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass

import ujson

from yewrill.dispatch.attempt_register import (
    EarlierAttempt,
    RequestIdentity,
    idempotency_key,
    retention_window_ms,
)
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.request import Attempt, Request
from yewrill.net.endpoint_list import EndpointList
from yewrill.persistence.attempts import (
    AttemptRecord,
    Clocks,
    estimate_earlier_attempt,
    min_age_ms,
)
from yewrill.persistence.clock import EXPIRY_MARGIN_MS
from yewrill.persistence.disk import Disk, StoredRecord, Unreadable, log
from yewrill.policy.interface import NEVER_RAN, RequestClass
from yewrill.store import Batch

ATTEMPT_PREFIX = b"sent/"
# Bound on the queue of records to delete. Further records stay on disk until they expire.
MAX_PENDING_DELETIONS = 512
MAX_RECOVERED_ATTEMPTS = 100_000
# Number of requests of earlier runs that one call of expire_recovered checks.
EXPIRY_CHECKS_PER_ROUND = 64


@dataclass(frozen=True, slots=True)
class _RecoveredAttempt:
    """An attempt of a request that has ended, its retention window in ms, and the key of its record.

    The request is one of an earlier run, or one of this run whose client may not have the result.
    """

    record: AttemptRecord
    window_ms: float
    key: bytes


@dataclass(slots=True)
class _TrackedRequest:
    """A request in progress whose attempts are recorded."""

    identity: RequestIdentity
    window_ms: float
    # Whether all records of earlier runs had been read when the request arrived.
    earlier_runs_known: bool
    # Key of the request's only record, which is that of its first attempt that may have run, or of its last
    # attempt if none may have run.
    key: bytes = b""
    value: bytes = b""
    expires: int = 0  # when the record expires, in ms of the wall clock
    # Whether an attempt of the request has ended whose outcome doesn't rule out that the worker ran it.
    may_have_run: bool = False


class AttemptJournal:
    """Records attempts before they are sent, and holds the attempts that earlier runs left unfinished."""

    def __init__(
        self,
        disk: Disk,
        endpoints: EndpointList,
        *,
        non_idempotent_window_ms: float,
        write: Callable[[Batch], Awaitable[bool]],
        clocks: Callable[[], Clocks],
        run_id: str,
        request_classes: Callable[[], Sequence[RequestClass]] = tuple,
    ):
        """`write` returns whether a batch is on disk; the keys of this run's records contain `run_id`.

        `request_classes` returns the present settings of the request classes.
        """
        self._disk = disk
        self._endpoints = endpoints
        self._non_idempotent_window_ms = non_idempotent_window_ms
        self._write = write
        self._clocks = clocks
        self._run_id = run_id
        self._request_classes = request_classes
        self._keys_issued = 0
        self._recovered_attempts: dict[RequestIdentity, list[_RecoveredAttempt]] = {}
        self._requests: dict[Request, _TrackedRequest] = {}
        self._keys_to_delete: list[bytes] = []
        self.recovered = False  # all records of earlier runs were read
        # Asks the run that has the store open to write a record (key, value); None if there is no such run.
        self.forward_record: Callable[[str, str], Awaitable[bool]] | None = None

    # -- attempts of earlier runs

    @property
    def recovered_count(self) -> int:
        """The number of attempts of earlier runs that may have run."""
        return sum(map(len, self._recovered_attempts.values()))

    def recover(self) -> bool:
        """Reads the records of earlier runs; returns whether all were read. Blocks."""
        recovered = {
            identity: list(attempts)
            for identity, attempts in self._recovered_attempts.items()
            if f"/{self._run_id}/".encode() in attempts[0].key
        }
        count = 0
        try:
            for stored in self._disk.records(ATTEMPT_PREFIX):
                if f"/{self._run_id}/" in stored.name:
                    # A record of this run, written for it by the run that had the store open before.
                    continue
                with suppress(ValueError, TypeError, KeyError):
                    recovered_attempt = self._recovered_attempt(stored)
                    identity = recovered_attempt.record.identity
                    recovered.setdefault(identity, []).append(recovered_attempt)
                    count += 1
                if count == MAX_RECOVERED_ATTEMPTS:
                    log.warning("persistent_state_attempts_truncated attempts=%d", count)
                    break
        except Unreadable:
            return False
        self._recovered_attempts = recovered
        self.recovered = self._disk.store is not None
        return self.recovered

    def _recovered_attempt(self, stored: StoredRecord) -> _RecoveredAttempt:
        """Decodes a stored record. Raises KeyError, TypeError or ValueError.

        The record's expiry tells the window that its class had when the attempt was sent. The workers that
        got it may still detect duplicates by that window, or by the present one, so the longer one counts.
        """
        record = AttemptRecord.decode(stored.value)
        window_ms = max(
            stored.expires - EXPIRY_MARGIN_MS - record.at.wall,
            self._class_window_ms(record.request_class) or 0.0,
        )
        return _RecoveredAttempt(record, window_ms, ATTEMPT_PREFIX + stored.name.encode())

    def _class_window_ms(self, name: str) -> float | None:
        """Returns a class's present retention window in ms, None if the settings lack the class."""
        for request_class in self._request_classes():
            if request_class.name == name:
                return retention_window_ms(request_class, self._non_idempotent_window_ms)
        return None

    def expire_recovered(self) -> None:
        """Deletes earlier runs' attempts that are older than their retention windows, in memory and on disk.

        Each call checks up to EXPIRY_CHECKS_PER_ROUND requests.
        """
        now = self._clocks()
        oldest = list(itertools.islice(self._recovered_attempts, EXPIRY_CHECKS_PER_ROUND))
        for identity in oldest:
            attempts = self._recovered_attempts.pop(identity)
            if any(_within_window(recovered_attempt, now) for recovered_attempt in attempts):
                # Moves the request to the end, so that the next call checks other requests first.
                self._recovered_attempts[identity] = attempts
            else:
                self._queue_deletions(recovered_attempt.key for recovered_attempt in attempts)

    def _find_earlier_attempt(self, identity: RequestIdentity) -> EarlierAttempt | None:
        attempts = self._recovered_attempts.get(identity)
        if attempts is None:
            return None
        earlier = estimate_earlier_attempt(
            [recovered_attempt.record for recovered_attempt in attempts],
            self._clocks(),
            max(recovered_attempt.window_ms for recovered_attempt in attempts),
        )
        if earlier is None:
            del self._recovered_attempts[identity]
            self._queue_deletions(recovered_attempt.key for recovered_attempt in attempts)
        return earlier

    # -- requests of this run

    def begin_request(self, request: Request, spec: RequestClass, tenant: str) -> None:
        """Starts to track a request, once its class and tenant are known.

        Sets on the request the age, zone and cell of an attempt that an earlier run may have made of it.
        """
        window_ms = retention_window_ms(spec, self._non_idempotent_window_ms)
        if window_ms <= 0:
            return
        identity = RequestIdentity(spec.name, tenant, idempotency_key(request))
        self._requests[request] = _TrackedRequest(identity, window_ms, self.recovered)
        earlier = self._find_earlier_attempt(identity)
        if earlier is None:
            return
        request.earlier_attempt_age = earlier.age_ms
        request.earlier_attempt_zone = earlier.zone
        request.earlier_attempt_cell = earlier.cell
        log.info(
            "request_repeats_earlier_run request=%s age_ms=%.0f cell=%d",
            request.id,
            earlier.age_ms,
            earlier.cell,
        )

    async def record_attempt(self, attempt: Attempt) -> bool:
        """Writes an attempt's record; returns whether the attempt may be sent.

        It is awaited before the attempt's first byte is sent.
        """
        tracked = self._requests.get(attempt.request)
        if tracked is None or tracked.may_have_run:
            # The request keeps the record of its first attempt that may have run.
            return True
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
            return (
                False  # an earlier run, whose records are not all read, may have sent the request
            )
        return await self.write_with_pending_deletions(
            Batch().put(tracked.key, tracked.value, tracked.expires)
        )

    def _new_key(self, identity: RequestIdentity) -> bytes:
        self._keys_issued += 1
        digest = hashlib.blake2b("\0".join(identity).encode(), digest_size=16).hexdigest()
        return ATTEMPT_PREFIX + f"{digest}/{self._run_id}/{self._keys_issued}".encode()

    async def write_forwarded_record(self, key: str, value: str) -> bool:
        """Writes an attempt's record for another run of this dispatcher, which waits for the store.

        Returns False if the record is invalid or can't be written, or if an earlier run may have sent the
        request.
        """
        try:
            record = AttemptRecord.decode(ujson.loads(value))
        except (ValueError, TypeError, KeyError):
            return False
        if not self.recovered or not key.startswith(ATTEMPT_PREFIX.decode()):
            return False
        if self._find_earlier_attempt(record.identity) is not None:
            return False
        window_ms = self._class_window_ms(record.request_class)
        if window_ms is None:  # the other process has other settings
            window_ms = self._non_idempotent_window_ms
        return await self._write(
            Batch().put(key.encode(), value.encode(), _expiry(record, window_ms))
        )

    def attempt_finished(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Notes an attempt's outcome. If the attempt may have run, later ones don't replace its record."""
        tracked = self._requests.get(attempt.request)
        if tracked is not None and outcome.policy_outcome not in NEVER_RAN:
            tracked.may_have_run = True

    def request_finished(self, request: Request, *, settled: bool = True) -> None:
        """Ends the tracking of a request that has no attempt in flight, and queues its record for deletion.

        `settled`: its client has the result. Otherwise, and if an attempt may have run, the record is kept
        for its window, like those of earlier runs.
        """
        tracked = self._requests.pop(request, None)
        if tracked is None or not tracked.key:
            return
        if settled or not tracked.may_have_run:
            self._queue_deletions([tracked.key])
            return
        record = AttemptRecord.decode(ujson.loads(tracked.value))
        self._recovered_attempts.setdefault(tracked.identity, []).append(
            _RecoveredAttempt(record, tracked.window_ms, tracked.key)
        )

    # -- writing

    def put_records(self, batch: Batch) -> None:
        """Adds the records of all requests in progress to a batch."""
        for tracked in self._requests.values():
            if tracked.key:
                batch.put(tracked.key, tracked.value, tracked.expires)

    @property
    def has_pending_deletions(self) -> bool:
        """Whether deletions of records are pending."""
        return bool(self._keys_to_delete)

    def take_pending_deletions(self, batch: Batch) -> Batch:
        """Moves the pending deletions into a batch and returns it."""
        for key in self._keys_to_delete:
            batch.delete(key)
        self._keys_to_delete = []
        return batch

    async def write_with_pending_deletions(self, batch: Batch) -> bool:
        """Writes a batch together with the pending deletions; returns whether it is on disk."""
        keys = self._keys_to_delete
        written = await self._write(self.take_pending_deletions(batch))
        if not written:
            # Otherwise a later run would mistake the records still on disk for attempts that were in flight.
            self._queue_deletions(keys)
        return written

    def _queue_deletions(self, keys: Iterable[bytes]) -> None:
        self._keys_to_delete = [*self._keys_to_delete, *keys][:MAX_PENDING_DELETIONS]


def _within_window(recovered_attempt: _RecoveredAttempt, now: Clocks) -> bool:
    """Returns whether an attempt may still be within its retention window."""
    return min_age_ms(recovered_attempt.record.at, now) <= recovered_attempt.window_ms


def _expiry(record: AttemptRecord, window_ms: float) -> int:
    return int(record.at.wall + window_ms + EXPIRY_MARGIN_MS)
