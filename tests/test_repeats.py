"""A request that may have run does not run again when it comes a second time."""

from __future__ import annotations

import socket
from dataclasses import dataclass

import pytest
import trio
import ujson
from helper import RejectingScript, ScriptedWorker, done, running_service, trio_test
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from yewrill.dispatch.attempt_register import AttemptRegister, RequestIdentity, SentAttempt
from yewrill.net.connection import Connection
from yewrill.policy.interface import Idempotency, RequestClass
from yewrill.policy.repeat_window import NEVER, NO_LIMIT
from yewrill.service.attempt_exchange import AttemptExchange
from yewrill.service.hot_restart import HotRestart, _Link
from yewrill.store import Store

WINDOW = 1000.0
MARGIN = 100.0  # what is left of a window for the longest hold-up of a process
MAX_ENTRIES = 6


@dataclass(eq=False)
class Sender:
    """A request, by its identity alone."""

    identity: RequestIdentity


class RegisterMachine(RuleBasedStateMachine):
    """Compares the register with a list of all attempts that were sent and their ends."""

    def __init__(self) -> None:
        super().__init__()
        self.register = AttemptRegister(MAX_ENTRIES)
        self.now = 0.0
        self.in_flight: dict[Sender, SentAttempt] = {}
        self.may_have_run: dict[RequestIdentity, SentAttempt] = {}

    @rule(step=st.floats(0.0, WINDOW / 3))
    def pass_time(self, step):
        self.now += step

    @rule(name=st.sampled_from("abcdefgh"), cell=st.integers(0, 2), by_key=st.booleans())
    def send(self, name, cell, by_key):
        sender = Sender(RequestIdentity("c", "t", name))
        kind = Idempotency.IDEMPOTENT_BY_KEY if by_key else Idempotency.NON_IDEMPOTENT
        spec = RequestClass("c", 1.0, 1.0, idempotency=kind, group="cell", window=WINDOW)
        known = self.register.find(sender.identity, self.now)
        until = self.register.send_until(sender.identity, sender, spec, WINDOW, 0, cell)
        if known is None:
            assert until == NO_LIMIT
        elif by_key and known.cell == cell:
            assert until == pytest.approx(self.now - known.age_ms + WINDOW - MARGIN)
        else:
            assert until == NEVER
        if self.now < until:
            attempt = SentAttempt(self.now, self.now + WINDOW, 0, cell)
            self.register.add(sender.identity, sender, attempt)
            self.register.first_byte(sender.identity, self.now)
            self.in_flight[sender] = attempt

    @rule(at=st.integers(0, 5), ran=st.booleans())
    def end(self, at, ran):
        if at < len(self.in_flight):
            sender = list(self.in_flight)[at]
            attempt = self.in_flight.pop(sender)
            self.register.ended(sender.identity, sender, ran=ran)
            if ran:
                self.may_have_run.setdefault(sender.identity, attempt)

    @invariant()
    def what_may_have_run_is_known_until_its_window_ends(self):
        assert len(self.register) <= MAX_ENTRIES
        for identity, attempt in self.may_have_run.items():
            if attempt.until >= self.now and not self.register.forgotten:
                assert self.register.find(identity, self.now) is not None


RegisterMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
TestRegister = RegisterMachine.TestCase


def test_a_full_register_forgets_what_ends_next_and_counts_it():
    """Guards against memory that grows with the clients that leave, and against silent forgetting."""
    register = AttemptRegister(3)
    identities = [RequestIdentity("c", "t", str(i)) for i in range(5)]
    for i, identity in enumerate(identities):
        register.add(identity, identity, SentAttempt(float(i), 100.0 + i, 0, 0))
    assert len(register) == 3 and register.forgotten == 2
    assert [register.find(identity, 5.0) is not None for identity in identities] == [False] * 2 + [
        True
    ] * 3
    for i in range(1000):  # removed entries leave no trace
        sender = object()
        register.add(
            RequestIdentity("c", "t", f"never ran {i}"), sender, SentAttempt(6.0, 200.0, 0, 0)
        )
        register.ended(RequestIdentity("c", "t", f"never ran {i}"), sender, ran=False)
    assert len(register._ends) <= 2 * 3 + 1


async def leave(harness, worker_exchanges: list, target: str, **headers) -> None:
    """Sends a request and leaves once a worker has it."""
    client, before = await harness.client(), len(worker_exchanges)
    await client.send(target, **headers)
    await harness.wait_until(lambda: len(worker_exchanges) > before)
    await client.stream.aclose()


@pytest.mark.parametrize("state_dir", (False, True))
@pytest.mark.parametrize("target", ("/once", "/save"))
@trio_test
async def test_a_request_that_comes_again_after_its_client_has_left_runs_once(
    target, state_dir, tmp_path
):
    """Guards against an id, or a key, that runs twice because its first request has ended with its client."""
    finish, ran = trio.Event(), []

    def script(cell: int):
        async def run(exchange) -> None:
            ran.append((cell, exchange.headers.get("idempotency-key") or exchange.id))
            await finish.wait()
            await exchange.done()

        return run

    workers = [ScriptedWorker(f"d{i}", script(i), cell=i) for i in range(4)]
    state = {"state_dir": str(tmp_path), "state": {"patience_ms": 5000}} if state_dir else {}
    async with running_service(*workers, **state) as harness:
        for i in range(6):
            key = {"Idempotency_Key": f"k{i}"} if target == "/save" else {}
            await leave(harness, ran, target, X_Request_ID=f"r{i}", **key)
        finish.set()
        await harness.wait_until(lambda: not harness.service.open_requests.ids)
        first, ran[:] = list(ran), []
        for i in range(6):
            key = {"Idempotency_Key": f"k{i}"} if target == "/save" else {}
            again = f"again{i}" if target == "/save" else f"r{i}"
            reply = await harness.ask(target, X_Request_ID=again, **key)
            assert reply.status == (200 if target == "/save" else 502)
        assert ran == (first if target == "/save" else [])
        if state_dir:
            # The records stay on disk, as the clients have no result.
            store = harness.service.persistent_state._disk.store
            assert len(list(store.scan(prefix=b"sent/"))) >= 6
            assert isinstance(store, Store)


@pytest.mark.parametrize("group", ("zone", "cell"))
def test_what_two_processes_sent_to_several_places_is_sent_nowhere(group):
    """Guards against a third attempt where one of two others is not detected."""
    register = AttemptRegister()
    identity = RequestIdentity("c", "t", "k")
    register.add(identity, "own", SentAttempt(0.0, WINDOW, 0, 0))
    register.merge(identity, "peer", SentAttempt(0.0, WINDOW, 1, 1))
    kind = Idempotency.IDEMPOTENT_BY_KEY
    spec = RequestClass("c", 1.0, 1.0, idempotency=kind, group=group, window=WINDOW)
    for place in (0, 1):
        assert register.send_until(identity, "third", spec, WINDOW, place, place) == NEVER


def test_an_entry_lives_as_long_as_the_last_attempt_that_counts():
    """Guards against forgetting a key while a repeat of it, sent late in the window, is in flight."""
    register = AttemptRegister()
    identity = RequestIdentity("c", "t", "k")
    register.add(identity, "first", SentAttempt(0.0, WINDOW, 0, 0))
    register.add(identity, "repeat", SentAttempt(0.7 * WINDOW, 1.7 * WINDOW, 0, 0))
    register.ended(identity, "repeat", ran=True)
    assert register.find(identity, 1.6 * WINDOW) is not None
    assert register.find(identity, 1.8 * WINDOW) is None


@trio_test
async def test_a_request_that_was_turned_away_everywhere_may_come_again_at_once():
    """Guards against a memory of attempts that never ran."""
    script = RejectingScript()

    async with running_service(ScriptedWorker("d1", script)) as harness:
        assert (await harness.ask("/once", X_Request_ID="r")).status == 503
        await harness.wait_until(lambda: not harness.service.open_requests.ids)
        script.rejects = False
        assert not len(harness.service.repeat_guard.register)
        assert (await harness.ask("/once", X_Request_ID="r")).status == 200


@trio_test
async def test_a_second_request_with_the_key_of_one_in_flight_is_not_sent():
    """Guards against two requests of one key that are sent side by side."""
    finish, worker = trio.Event(), ScriptedWorker("d1", done)

    async def run(exchange) -> None:
        await finish.wait()
        await exchange.done()

    worker.script = run
    async with running_service(worker, ScriptedWorker("d2", run, cell=1)) as harness:
        await leave(harness, worker.exchanges, "/tour", X_Request_ID="warm")
        async with trio.open_nursery() as nursery:

            async def first() -> None:
                assert (
                    await harness.ask("/once", X_Request_ID="a", Idempotency_Key="k")
                ).status == 200

            nursery.start_soon(first)
            await harness.wait_until(lambda: len(harness.service.repeat_guard.register))
            assert (await harness.ask("/once", X_Request_ID="b", Idempotency_Key="k")).status == 502
            finish.set()


@trio_test
async def test_the_other_process_is_told_of_an_attempt_before_its_first_byte(tmp_path):
    """Guards against an attempt that a process has begun and, killed in that instant, told nobody of."""
    peer, own = socket.socketpair()
    hot_restart = HotRestart(tmp_path / "link", None)
    hot_restart._links.add(_Link(Connection(own), old_process=False))
    exchange = AttemptExchange(AttemptRegister(), lambda: 0.0, hot_restart)
    exchange.sent(RequestIdentity("once", "acme", "k"), SentAttempt(0.0, WINDOW, 0, 0))
    own.close()  # as in a process that is killed now
    assert ujson.loads(peer.recv(4096))["attempts"][0][:3] == ["once", "acme", "k"]
    peer.close()
