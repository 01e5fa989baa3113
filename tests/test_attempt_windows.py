"""Records of attempts are kept for the window of their own class, whatever the other settings are."""

from __future__ import annotations

import gc
from dataclasses import replace
from pathlib import Path

import pytest
import ujson
from fixture_stores import _endpoint_list, _request
from helper import trio_test

from yewrill.config.schema import StateConfig
from yewrill.dispatch.attempt_register import MAX_ENTRIES
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.request import Attempt
from yewrill.observability.metrics import Metrics
from yewrill.persistence import PersistentState
from yewrill.persistence.attempts import AttemptRecord, Clocks
from yewrill.persistence.clock import EXPIRY_MARGIN_MS
from yewrill.policy.interface import RequestClass
from yewrill.store import Batch

WINDOW_MS = 5000.0  # of the class `save`
WALL_MS = 4_102_444_800_000.0  # in the year 2100: the store must not expire the records


class Run:
    """One run of a dispatcher's persistent state, on a clock that a test sets."""

    def __init__(self, path: Path, run_id: str, *, unsafe_window_ms=0.0, save: dict | None = None):
        endpoints, classes = _endpoint_list()
        self.classes: dict[str, RequestClass] = {
            **classes,
            "save": replace(classes["save"], **(save or {})),
        }
        self.now = 0.0
        metrics = Metrics()
        metrics.register_persistent_state()
        self.state = PersistentState(
            StateConfig(str(path), unsafe_window_ms=unsafe_window_ms, patience_ms=10_000.0),
            endpoints,
            metrics,
            clocks=lambda: Clocks(WALL_MS + self.now, self.now, "boot"),
            run_id=run_id,
            request_classes=lambda: tuple(self.classes.values()),
        )
        self.state.open_store()
        self.state.restore()

    async def send(self, request_class: str, key: str) -> Attempt:
        request = _request(1, request_class, key)
        self.state.attempts.begin_request(request, self.classes[request_class], "acme")
        attempt = Attempt(request, 0, "d1", 1e9)
        assert await self.state.attempts.record_attempt(attempt)
        return attempt

    def end_unsettled(self, attempt: Attempt) -> None:
        """Ends a request whose attempt may have run and whose client has left."""
        self.state.attempts.attempt_finished(attempt, AttemptOutcome.CANCELLED)
        self.state.attempts.request_finished(attempt.request, settled=False)

    def knows_until_its_window_ends(self, request_class: str, key: str) -> bool:
        """Whether an attempt sent at time 0 is known for WINDOW_MS, not less and not longer."""
        known = self.knows(request_class, key, at=WINDOW_MS - 1.0)
        return known and not self.knows(request_class, key, at=WINDOW_MS + 1.0)

    def knows(self, request_class: str, key: str, at: float) -> bool:
        self.now = at
        self.state.attempts.expire_recovered()
        request = _request(2, request_class, key)
        self.state.attempts.begin_request(request, self.classes[request_class], "acme")
        return request.earlier_attempt_age >= 0

    def close(self) -> None:
        self.state.close_store()


@pytest.mark.parametrize("unsafe_window_ms", (0.0, 1000.0))
@trio_test
async def test_a_keyed_attempt_of_an_earlier_run_is_known_for_its_class_window(
    tmp_path, unsafe_window_ms
):
    """Guards against forgetting it after the window of side-effect requests, as review/3 showed."""
    first = Run(tmp_path, "first", unsafe_window_ms=unsafe_window_ms)
    await first.send("save", "k")
    first.close()
    second = Run(tmp_path, "second", unsafe_window_ms=unsafe_window_ms)
    assert second.knows_until_its_window_ends("save", "k")
    second.close()


@trio_test
async def test_a_forwarded_record_stays_on_disk_for_its_class_window(tmp_path):
    """Guards against a record of a hot restart that expires after the window of side-effect requests."""
    run = Run(tmp_path, "old")
    written: list[Batch] = []

    async def write(batch: Batch) -> bool:
        written.append(batch)
        return True

    run.state.attempts._write = write
    record = AttemptRecord("save", "acme", "k", "d1", 0, 0, Clocks(WALL_MS, 0.0, "boot"))
    value = ujson.dumps(record.encode())
    assert await run.state.attempts.write_forwarded_record("sent/0/new/1", value)
    assert written[0].ops[0].expires == int(WALL_MS + WINDOW_MS + EXPIRY_MARGIN_MS)
    run.close()


@trio_test
async def test_a_record_is_kept_for_its_own_window_after_the_settings_have_shortened_it(tmp_path):
    """Guards against judging an attempt by settings that came after it, by reload or at a later start."""
    first = Run(tmp_path, "first")
    await first.send("save", "k")
    first.close()
    second = Run(tmp_path, "second", save={"window": 1000.0})
    assert second.knows_until_its_window_ends("save", "k")
    second.close()


@trio_test
async def test_a_record_that_expires_too_early_on_disk_is_kept_for_its_class_window(tmp_path):
    """Guards against forgetting early what an earlier version wrote for the new process of a hot restart."""
    first = Run(tmp_path, "first")
    record = AttemptRecord("save", "acme", "k", "d1", 0, 0, Clocks(WALL_MS, 0.0, "boot"))
    value = ujson.dumps(record.encode()).encode()
    expires = int(WALL_MS + EXPIRY_MARGIN_MS)  # a window of 0
    first.state._disk.store.put(b"sent/0/earlier/1", value, expires)
    first.close()
    second = Run(tmp_path, "second")
    assert second.knows_until_its_window_ends("save", "k")
    second.close()


def count_records() -> int:
    """The number of attempt records in memory."""
    return sum(isinstance(item, AttemptRecord) for item in gc.get_objects())


async def accept_write(_batch: Batch) -> bool:
    return True


@trio_test
async def test_a_request_that_ends_while_the_records_are_read_is_known(tmp_path):
    """Guards against records read in a thread that replace what the event loop has added meanwhile."""
    run = Run(tmp_path, "new")
    attempt = await run.send("save", "k")

    def records(_prefix):
        run.end_unsettled(attempt)
        yield from ()

    run.state._disk.records = records
    assert run.state.attempts.recover()
    assert run.knows_until_its_window_ends("save", "k")
    run.close()


@pytest.mark.parametrize("keys", (1, MAX_ENTRIES + 500))
@trio_test
async def test_attempts_whose_clients_left_are_held_in_bounded_memory(tmp_path, keys):
    """Guards against a list of ended requests that grows for as long as the longest window."""
    run = Run(tmp_path, "run")
    run.state.attempts._write = accept_write
    before = count_records()
    for number in range(MAX_ENTRIES + 500):
        run.end_unsettled(await run.send("save", f"k{number % keys}"))
    assert count_records() - before <= min(keys, MAX_ENTRIES)
    assert run.knows("save", "k0", at=WINDOW_MS - 1.0)
    run.close()


@pytest.mark.parametrize("request_class", ("save", "once"))
@trio_test
async def test_a_result_that_was_sent_as_its_client_left_is_known_after_a_restart(
    request_class, tmp_path
):
    """Guards against a second run after a restart: sent is not received, and the client repeats it."""
    first = Run(tmp_path, "first", unsafe_window_ms=60_000.0)
    deadline = first.classes[request_class].deadline
    attempt = await first.send(request_class, "k")
    first.state.attempts.attempt_finished(attempt, AttemptOutcome.SERVED)
    first.state.attempts.request_finished(attempt.request, settled=True)
    await first.state._write_pending()
    first.close()
    second = Run(tmp_path, "second", unsafe_window_ms=60_000.0)
    assert second.knows(request_class, "k", at=deadline - 1.0)
    second.close()


@trio_test
async def test_the_record_of_a_result_that_was_sent_is_deleted_once_no_client_repeats_it(tmp_path):
    """Guards against a store that grows with the requests that were served."""
    first = Run(tmp_path, "first", unsafe_window_ms=60_000.0)
    attempt = await first.send("once", "k")
    first.state.attempts.attempt_finished(attempt, AttemptOutcome.SERVED)
    first.state.attempts.request_finished(attempt.request, settled=True)
    first.now = first.classes["once"].deadline + 1.0
    await first.state._write_pending()
    assert not list(first.state._disk.store.scan(prefix=b"sent/"))
    first.close()
