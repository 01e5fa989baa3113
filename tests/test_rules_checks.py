"""The safety rules in `yewrill.dispatch.safety`, and how the running service applies them."""

import pytest
from helper import ScriptedWorker, done, mock_clock_test, running_service, trio_test

from yewrill.dispatch.safety import (
    AttemptFacts,
    HeldBack,
    Rule,
    SendFacts,
    check_attempt,
    check_timeout,
    may_send,
)
from yewrill.policy import interface as api
from yewrill.policy.repeat_window import NEVER


@pytest.mark.parametrize(
    "facts, expected",
    [
        (SendFacts(10.0, 20.0, worker_available=True, client_gone=False), None),
        (SendFacts(20.0, 20.0, True, False), HeldBack.DEADLINE_PASSED),
        (SendFacts(10.0, 20.0, False, False), HeldBack.WORKER_UNAVAILABLE),
        (SendFacts(10.0, 20.0, True, True), HeldBack.CLIENT_GONE),
        (SendFacts(10.0, 20.0, True, False, record_kept=False), HeldBack.RECORD_NOT_KEPT),
        (SendFacts(10.0, 20.0, True, False, send_until=NEVER), HeldBack.REPEATS_ANOTHER),
        (SendFacts(10.0, 20.0, True, False, send_until=10.0), HeldBack.WINDOW_OVER),
        (SendFacts(10.0, 20.0, True, False, send_until=10.1), None),
    ],
)
def test_may_send_returns_the_reason_that_holds_an_attempt_back(facts, expected):
    assert may_send(facts) is expected


@pytest.mark.parametrize(
    "idempotency, out, ran_at, expected",
    [
        (api.Idempotency.IDEMPOTENT, False, None, None),
        (api.Idempotency.IDEMPOTENT, False, 1.0, None),
        (api.Idempotency.IDEMPOTENT, True, None, Rule.OVERLAP),
        (api.Idempotency.NON_IDEMPOTENT, False, None, None),
        (api.Idempotency.NON_IDEMPOTENT, False, 1.0, Rule.UNSAFE_REPEAT),
        (api.Idempotency.IDEMPOTENT_BY_KEY, False, 9000.0, None),
        (api.Idempotency.IDEMPOTENT_BY_KEY, False, 4000.0, Rule.WINDOW_OVER),
    ],
)
def test_check_attempt_returns_the_rule_that_a_repeat_would_violate(
    idempotency, out, ran_at, expected
):
    facts = AttemptFacts(10_000.0, idempotency, 5000.0, attempt_out=out, ran_at=ran_at)
    assert check_attempt(facts) is expected


def test_check_timeout_finds_a_timeout_longer_than_the_time_that_is_left():
    assert check_timeout(900, 0.0, 1000.0) is None
    assert check_timeout(1, 1000.0, 1000.0) is None
    assert check_timeout(1200, 0.0, 1000.0) is Rule.TOLD_TOO_LONG


@mock_clock_test
async def test_an_attempt_that_would_violate_a_rule_is_counted_logged_and_not_sent(
    caplog, monkeypatch
):
    async def reset_connection(exchange):
        exchange.reset()

    scripted_workers = [ScriptedWorker("d1", reset_connection), ScriptedWorker("d2", done)]
    async with running_service(*scripted_workers) as harness:
        # Simulates a bug in the decision module: it forgets that a non-idempotent request may have run.
        monkeypatch.setattr(
            "yewrill.policy.requests.PendingRequest.must_not_repeat", lambda job, now: False
        )
        monkeypatch.setattr(
            "yewrill.policy.requests.PendingRequest.may_repeat_at", lambda job, worker, now: True
        )
        for number in range(6):
            assert (await harness.ask("/once", X_Request_ID=f"r{number}")).status in (200, 502, 503)
        ids = [e.id for scripted_worker in scripted_workers for e in scripted_worker.exchanges]
        assert len(ids) == len(set(ids))
        assert harness.service.engine.violations.counts[Rule.UNSAFE_REPEAT] > 0
        assert "rule_violation rule=unsafe_repeat request=r" in caplog.text


@trio_test
async def test_a_close_without_an_answer_is_counted_as_a_violation(caplog, monkeypatch):
    async with running_service(ScriptedWorker("d1", done), mgmt="127.0.0.1:0") as harness:

        async def no_answer(client, request, carried, closing):
            await carried()
            return False

        monkeypatch.setattr(harness.service.front, "respond", no_answer)
        client = await harness.client()
        await client.send(X_Request_ID="r1")
        assert await client.stream.receive_some() == b""
        await harness.wait_until(lambda: not harness.service.listener.clients)
        assert harness.service.engine.violations.counts[Rule.CLOSED_UNANSWERED] == 1
        metrics_text = (await harness.call("GET /_vars")).body.decode()
        assert "app.rule_violations_total:1|c" in metrics_text
        assert "app.closed.last_answer:1|c" in metrics_text
