"""Requests whose deadline passes before the decision module sees them, for example in the listener's backlog.

The engine must reject such a request if a retry is safe, and fail it if an earlier attempt may have run.
"""

import logging

import pytest
import trio
from helper import SETTINGS

from yewrill.config.settings import read_settings
from yewrill.dispatch.engine import DecisionEngine
from yewrill.dispatch.request import Failure, Rejection, Request

IDEMPOTENT, BY_KEY, NON_IDEMPOTENT = range(3)  # indexes of the request classes in helper.SETTINGS
RAN_AGO_MS = 100.0


@pytest.mark.parametrize(
    "request_class, earlier_attempt_age, answer",
    [
        (IDEMPOTENT, -1.0, Rejection),
        (BY_KEY, -1.0, Rejection),
        (NON_IDEMPOTENT, -1.0, Rejection),
        (IDEMPOTENT, RAN_AGO_MS, Rejection),
        (BY_KEY, RAN_AGO_MS, Failure),
        (NON_IDEMPOTENT, RAN_AGO_MS, Failure),
    ],
)
def test_an_expired_request_is_rejected_unless_a_retry_is_unsafe(
    request_class, earlier_attempt_age, answer, caplog
):
    async def pick_expired_request():
        engine = DecisionEngine(read_settings(SETTINGS), 1)
        deadline = engine.now() - 50.0  # the request waited in the backlog past its deadline
        request = Request("late", request_class, deadline, earlier_attempt_age=earlier_attempt_age)
        assert isinstance(await engine.pick(request), answer)
        # The module receives the request at the next tick.
        assert engine.pending == 1 and request.closed
        engine.tick()
        assert engine.pending == 0

    with caplog.at_level(logging.INFO):
        trio.run(pick_expired_request)
    assert not caplog.records  # the module is not at fault, so nothing is logged as an error
