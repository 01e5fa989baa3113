"""A keyed request that may have run is not sent after its window, however late its connection comes up.

All tests run the real program. Windows and times are in ms; a worker judges by the bytes that it received.
"""

from __future__ import annotations

import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
import trio
from fixture_late_connections import Play, QueueWorker, WorkerAttempt, keyed_settings, play
from helper import trio_test

from yewrill.net.worker_connections import UNNAMED_ANSWER_PAUSE_SECONDS

PROTOCOL_TOLERANCE_MS = 50.0  # each time limit of the rules is longer by this over sockets
# From the end of the window to the answer of a request that may not be sent again.
ANSWER_SLACK_MS = 100.0
FAILS_AFTER_SECONDS = 0.12
QUEUE_FULL_SECONDS = 0.6
SYN_RESENT_SECONDS = 1.0
LEFT_SLACK_SECONDS = 0.1  # from a client's close to the last moment at which an attempt may begin
READ_AFTER_SECONDS = 1.4
LARGE_BODY = b"x" * 60_000  # more than a worker's small receive buffer holds
SMALL_BUFFER_BYTES = 4096
RUN_SECONDS = 0.05
WINDOWS_MS = (300.0, 500.0, 1000.0)


def last_bytes_ms(attempts: list[WorkerAttempt]) -> list[float]:
    """Returns when the last byte of each attempt arrived, from the first attempt's first byte."""
    return [(each.last_byte - attempts[0].first_byte) * 1000.0 for each in attempts]


@dataclass
class Fleet:
    """Workers of one cell. The first attempt of each key fails, and no connection comes up from then on."""

    attempts: list[WorkerAttempt] = field(default_factory=list)
    workers: list[QueueWorker] = field(default_factory=list)
    running: Play | None = None
    fails_after: float = FAILS_AFTER_SECONDS

    def __post_init__(self) -> None:
        self.workers = [QueueWorker(f"d{i}", self.attempts, self.behave) for i in range(2)]

    async def behave(self, attempt: WorkerAttempt) -> None:
        if attempt.target == "/tour":
            await attempt.reject()
        elif attempt.number > 0:
            await trio.sleep(RUN_SECONDS)
            await attempt.done()
        else:
            await self.fail_first(attempt)

    async def fail_first(self, attempt: WorkerAttempt) -> None:
        for worker in self.workers:
            self.running.nursery.start_soon(worker.hold, self.fails_after + QUEUE_FULL_SECONDS)
            worker.forget_connections()
        self.running.discovery.publish({**attempt.worker.entry(), "state": "DRAINING"})
        await attempt.send_head()
        await trio.sleep(self.fails_after)
        attempt.reset()

    async def connect_all(self) -> None:
        """Has the dispatcher hold an idle connection to every worker."""
        await self.running.ask("/tour", "warm")
        assert {attempt.worker.name for attempt in self.attempts} == {w.name for w in self.workers}
        await trio.sleep(2 * UNNAMED_ANSWER_PAUSE_SECONDS)

    async def check_not_sent_again(
        self, window: float, id: str = "r1", began: float | None = None, body: bytes = b"{}"
    ) -> None:
        """Sends a request; it must be failed as the window ends, and nothing of it may arrive after that.

        `began`: when the window began, in seconds of the monotonic clock; None for now."""
        began = time.monotonic() if began is None else began
        reply = await self.running.ask("/save", id, "k1", body=body)
        answered_ms = (time.monotonic() - began) * 1000.0
        await trio.sleep(READ_AFTER_SECONDS)
        attempts = [attempt for attempt in self.attempts if attempt.key == "k1"]
        assert max(last_bytes_ms(attempts)) <= window + PROTOCOL_TOLERANCE_MS
        assert reply.status == 502
        assert answered_ms <= window + ANSWER_SLACK_MS


@pytest.mark.parametrize(
    "window, fails_after",
    [*((window, FAILS_AFTER_SECONDS) for window in WINDOWS_MS), (3000.0, 2.2)],
)
@pytest.mark.parametrize("kept", (True, False), ids=("kept_connection_breaks", "new_connection"))
@trio_test
async def test_a_keyed_retry_whose_connection_comes_up_after_the_window_is_not_sent(
    kept, window, fails_after, tmp_path
):
    """Guards against the incident: a retry sent 1.1 s after the first attempt, in a window of 1 s."""
    fleet = Fleet(fails_after=fails_after)
    async with play(tmp_path, fleet.workers, keyed_settings(window)) as fleet.running:
        if kept:
            await fleet.connect_all()
        await fleet.check_not_sent_again(window)
        log = fleet.running.processes[0].log()
        assert ("worker_connection_stale" in log) is kept


@trio_test
async def test_a_connection_that_comes_up_too_late_for_a_repeat_is_kept_for_other_requests(
    tmp_path,
):
    """Guards against paying for a connection that is thrown away as it comes up."""
    fleet = Fleet()
    async with play(tmp_path, fleet.workers, keyed_settings(300.0)) as fleet.running:
        assert (await fleet.running.ask("/save", "r1", "k1")).status == 502
        drained = fleet.attempts[0].worker
        [other] = [worker for worker in fleet.workers if worker is not drained]
        await trio.sleep(SYN_RESENT_SECONDS + QUEUE_FULL_SECONDS)
        assert other.open_connections == 1
        other.behavior = WorkerAttempt.done
        assert (await fleet.running.ask("/tour", "r2")).status == 200
        assert [attempt.worker for attempt in fleet.attempts] == [drained, other]
        assert other.open_connections == 1


@pytest.mark.parametrize("window", (300.0, 500.0))
@trio_test
async def test_a_request_that_waits_for_its_connection_is_not_sent_after_another_of_its_key(
    window, tmp_path
):
    """Guards against the window of a key that begins with another request, while this one waits."""
    attempts: list[WorkerAttempt] = []
    late, ready = (QueueWorker(name, attempts, WorkerAttempt.done) for name in ("d0", "d1"))
    replies, times = {}, {}
    async with play(tmp_path, [late], keyed_settings(window), mgmt="127.0.0.1:0") as running:
        await running.nursery.start(ready.serve)
        running.nursery.start_soon(late.hold, QUEUE_FULL_SECONDS)
        await trio.sleep(0.05)

        async def ask(id: str) -> None:
            replies[id] = await running.ask("/save", id, "k1")
            times[id] = time.monotonic()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "first")
            await trio.sleep(0.05)
            running.discovery.publish(ready.entry())
            await trio.sleep(0.05)
            nursery.start_soon(ask, "second")
        assert attempts[0].id == "second"
        assert max(last_bytes_ms(attempts)) <= window + PROTOCOL_TOLERANCE_MS
        assert replies["second"].status == 200
        assert replies["first"].status in (200, 502)
        answered_ms = (times["first"] - attempts[0].first_byte) * 1000.0
        assert answered_ms <= window + ANSWER_SLACK_MS
        await trio.sleep(QUEUE_FULL_SECONDS)
        assert max(last_bytes_ms(attempts)) <= window + PROTOCOL_TOLERANCE_MS


@asynccontextmanager
async def unread_worker(tmp_path) -> AsyncIterator[tuple[Play, QueueWorker]]:
    """Runs a dispatcher and a worker that does not read, with a buffer too small for a large body."""
    worker = QueueWorker("d0", [], WorkerAttempt.done, receive_buffer=SMALL_BUFFER_BYTES)
    async with play(tmp_path, [worker], keyed_settings(1000.0)) as running:
        worker.reading = trio.Event()
        yield running, worker


async def check_nothing_arrives(worker: QueueWorker) -> None:
    """Lets a worker read; no attempt may come out of what has been sent to it."""
    worker.reading.set()
    await trio.sleep(QUEUE_FULL_SECONDS)
    assert not worker.attempts


@trio_test
async def test_the_bytes_of_an_attempt_that_was_given_up_do_not_arrive_later(tmp_path):
    """Guards against a request that runs after its final answer, since its bytes were with the kernel."""
    async with unread_worker(tmp_path) as (running, worker):
        client = await running.client()
        headers = {**running.headers("r1", "k1"), "X_Timeout_Ms": "900"}
        reply = await client.ask("/save", body=LARGE_BODY, **headers)
        assert reply.status in (502, 503)
        await check_nothing_arrives(worker)


@dataclass
class LateReaders(Fleet):
    """Workers whose machines take the bytes of a repeat late, after the kernel has got all of them."""

    def __post_init__(self) -> None:
        super().__post_init__()
        for worker in self.workers:
            worker.receive_buffer = SMALL_BUFFER_BYTES

    async def fail_first(self, attempt: WorkerAttempt) -> None:
        for worker in self.workers:
            worker.reading = trio.Event()
        self.running.nursery.start_soon(self.read_later)
        await attempt.send_head()
        await trio.sleep(FAILS_AFTER_SECONDS)
        attempt.reset()

    async def read_later(self) -> None:
        await trio.sleep(READ_AFTER_SECONDS)
        for worker in self.workers:
            worker.reading.set()


@pytest.mark.parametrize("window", WINDOWS_MS)
@trio_test
async def test_a_keyed_retry_whose_last_byte_would_arrive_after_the_window_is_withdrawn(
    window, tmp_path
):
    """Guards against judging a repeat by its first byte: it counts once its last one has arrived."""
    fleet = LateReaders()
    async with play(tmp_path, fleet.workers, keyed_settings(window)) as fleet.running:
        await fleet.check_not_sent_again(window, body=LARGE_BODY)


@pytest.mark.parametrize("window", WINDOWS_MS)
@trio_test
async def test_a_keyed_retry_without_a_worker_is_answered_when_its_window_ends(window, tmp_path):
    """Guards against a request that waits for a worker of its cell when it may not be sent any more."""
    fleet = Fleet()
    fleet.workers.pop()
    async with play(tmp_path, fleet.workers, keyed_settings(window)) as fleet.running:
        await fleet.check_not_sent_again(window)
        assert len(fleet.attempts) == 1


@trio_test
async def test_a_window_that_a_reload_shortens_holds_for_a_repeat_that_waits_for_its_connection(
    tmp_path,
):
    """Guards against a permission granted under settings that are replaced before it is used."""
    fleet = Fleet()
    shorter = 500.0
    async with play(tmp_path, fleet.workers, keyed_settings(3000.0)) as fleet.running:
        [process] = fleet.running.processes

        async def reload() -> None:
            await trio.sleep(2 * FAILS_AFTER_SECONDS)
            process.config = {**process.config, "settings": keyed_settings(shorter)}
            process.write_config()
            process.signal(signal.SIGHUP)

        fleet.running.nursery.start_soon(reload)
        await fleet.check_not_sent_again(shorter)
        assert " reloaded " in process.log()


@pytest.mark.parametrize("state_dir", (False, True))
@trio_test
async def test_a_key_that_comes_again_after_its_window_is_not_sent_while_its_client_may_repeat_it(
    state_dir, tmp_path
):
    """Guards against a second run of a key that workers have forgotten, and its client has not."""
    window, deadline = 300.0, 2000.0
    attempts: list[WorkerAttempt] = []
    workers = [QueueWorker(f"d{i}", attempts, WorkerAttempt.done, cell=i) for i in range(2)]
    state = {"state_dir": str(tmp_path / "state")} if state_dir else {}
    settings = keyed_settings(window, deadline=deadline, aim=500.0)
    async with play(tmp_path, workers, settings, **state) as running:
        assert (await running.ask("/save", "r1", "k1", X_Timeout_Ms="500")).status == 200
        await trio.sleep(0.5 * deadline / 1000.0)
        assert (await running.ask("/save", "r2", "k1", X_Timeout_Ms="500")).status == 502
        assert len(attempts) == 1
        await trio.sleep(0.6 * deadline / 1000.0)
        assert (await running.ask("/save", "r3", "k1", X_Timeout_Ms="500")).status == 200


class Leavers(Fleet):
    """A fleet whose first attempts hang, and whose clients leave."""

    async def fail_first(self, attempt: WorkerAttempt) -> None:
        self.running.discovery.publish({**attempt.worker.entry(), "state": "DRAINING"})
        await trio.sleep_forever()

    async def leave(self) -> None:
        """Sends a request and leaves once a worker has it."""
        client = await self.running.client()
        await client.send("/save", **self.running.headers("r1", "k1"))
        while not self.attempts:
            await trio.sleep(0.005)
        await client.stream.aclose()

    async def repeat_late(self, after: float, window: float) -> None:
        """Sends the key again; no connection comes up for a while. Checks attempts and answer."""
        first_byte = self.attempts[0].first_byte
        await trio.sleep(first_byte + after - time.monotonic())
        for worker in self.workers:
            self.running.nursery.start_soon(worker.hold, QUEUE_FULL_SECONDS)
        await trio.sleep(0.02)
        await self.check_not_sent_again(window, id="r2", began=first_byte)


@pytest.mark.parametrize("state_dir", (False, True))
@pytest.mark.parametrize("window", WINDOWS_MS)
@trio_test
async def test_a_repeat_of_a_client_that_left_is_not_sent_after_the_window_of_its_first_request(
    window, state_dir, tmp_path
):
    """Guards against a window that ends while the repeat waits for its connection."""
    fleet = Leavers()
    state = {"state_dir": str(tmp_path / "state")} if state_dir else {}
    async with play(tmp_path, fleet.workers, keyed_settings(window), **state) as fleet.running:
        await fleet.leave()
        await fleet.repeat_late(0.45 * window / 1000.0, window)


@trio_test
async def test_a_repeat_at_the_new_process_of_a_hot_restart_is_not_sent_after_the_window(tmp_path):
    """Guards against a window that began in the old process and ends while the new one connects."""
    fleet, window = Leavers(), 3000.0
    async with play(tmp_path, fleet.workers, keyed_settings(window)) as fleet.running:
        [old] = fleet.running.processes
        await fleet.leave()
        new = await fleet.running.start_dispatcher()
        old.signal(signal.SIGTERM)
        await fleet.repeat_late(2.2, window)
        assert "request=r2" in new.log()


@trio_test
async def test_the_bytes_of_an_attempt_whose_client_has_left_do_not_arrive_later(tmp_path):
    """Guards against an attempt that begins at its worker after its client has gone."""
    async with unread_worker(tmp_path) as (running, worker):
        client = await running.client()
        await client.send("/save", body=LARGE_BODY, **running.headers("r1", "k1"))
        await trio.sleep(FAILS_AFTER_SECONDS)
        await client.stream.aclose()
        await trio.sleep(LEFT_SLACK_SECONDS)
        await check_nothing_arrives(worker)
