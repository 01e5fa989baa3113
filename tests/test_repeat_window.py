"""The window of a keyed request is asked for with a margin that covers a hold-up of the process."""

from __future__ import annotations

import time

import pytest
import trio
from fixture_late_connections import Play, keyed_settings
from helper import ScriptedWorker, done, running_service

from yewrill.policy.repeat_window import MAX_HOLD_UP_MS, PROTOCOL_TOLERANCE_MS

HOLD_UP_SECONDS = 0.14  # less than the time that the rules allow for


class FailingFirst:
    """Has a keyed request fail its first attempt, on two workers of one cell. Times are ms."""

    def __init__(self, window: float, fails_after: float, hold_up_seconds: float = 0.0):
        self.window = window
        self.first_bytes: list[float] = []
        self._fails_after = fails_after
        self._hold_up_seconds = hold_up_seconds

    async def _script(self, exchange) -> None:
        self.first_bytes.append(trio.current_time() * 1000.0)
        if len(self.first_bytes) > 1:
            await done(exchange)
            return
        await exchange.send_message("started")
        await trio.sleep(self._fails_after / 1000.0)
        exchange.reset()

    def _hold_up_retries(self, codec) -> None:
        encode = codec.encode_request

        def held_up(attempt, wait_ms):
            if attempt.number > 0:
                time.sleep(self._hold_up_seconds)
            return encode(attempt, wait_ms)

        codec.encode_request = held_up

    async def status(self) -> int:
        """Returns the status of the request's answer."""
        workers = [ScriptedWorker(f"d{i}", self._script) for i in range(2)]
        async with running_service(*workers, settings=keyed_settings(self.window)) as harness:
            self._hold_up_retries(harness.service.front)
            reply = await harness.ask("/save", **Play.headers("r1", "k"))
        return reply.status


@pytest.mark.parametrize("window", (300.0, 400.0, 500.0))
def test_a_retry_chosen_late_in_the_window_is_not_sent_after_it_by_a_held_up_process(window):
    """Guards against a margin that is a fraction of the window: the hold-up is as long in a short one."""
    play = FailingFirst(window, 0.86 * window, HOLD_UP_SECONDS)
    status = trio.run(play.status)
    after = [at - play.first_bytes[0] for at in play.first_bytes]
    assert max(after) <= window + PROTOCOL_TOLERANCE_MS
    assert status == (502 if len(after) == 1 else 200)


@pytest.mark.parametrize("window", (300.0, 500.0, 1000.0, 3000.0))
def test_a_retry_is_sent_as_long_as_a_hold_up_ends_within_the_window(window):
    """Guards against a margin that gives up retries which could still be sent."""
    spare = 40.0
    play = FailingFirst(window, window + PROTOCOL_TOLERANCE_MS - MAX_HOLD_UP_MS - spare)
    assert trio.run(play.status) == 200
    assert len(play.first_bytes) == 2
