"""Keeps the registers of attempts of the two processes of a hot restart alike.

Each process tells the other what it holds when they connect, and then each attempt before its first byte is
sent. What was told stays known after the other process has ended. A process of an earlier version ignores the
messages. Times are sent on the monotonic clock, which all processes of a machine share.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from itertools import islice
from typing import Any

from yewrill.dispatch.attempt_register import AttemptRegister, RequestIdentity, SentAttempt
from yewrill.service.hot_restart import HotRestart

# Keys of the messages: attempts that were sent, and an identity of which no attempt has run.
SENT_KEY = "attempts"
NEVER_RAN_KEY = "unsent"
ATTEMPTS_PER_MESSAGE = 256


class AttemptExchange:
    """Sends and receives changes of the register."""

    def __init__(
        self, register: AttemptRegister, now: Callable[[], float], hot_restart: HotRestart
    ):
        """`now`: the register's clock, in ms."""
        self._register = register
        self._now = now
        self._hot_restart = hot_restart
        self._peer = object()  # stands for the requests of the other process

    def sent(self, identity: RequestIdentity, attempt: SentAttempt) -> None:
        """Tells of an attempt that is about to be sent."""
        self._hot_restart.send({SENT_KEY: [self._encode(identity, attempt)]})

    def never_ran(self, identity: RequestIdentity) -> None:
        """Tells that no attempt of an identity has run."""
        self._hot_restart.send({NEVER_RAN_KEY: list(identity)})

    def messages(self) -> Iterator[dict[str, Any]]:
        """Yields the messages that tell of all attempts."""
        rows = (self._encode(*item) for item in list(self._register.items(self._now())))
        while batch := list(islice(rows, ATTEMPTS_PER_MESSAGE)):
            yield {SENT_KEY: batch}

    def receive(self, message: dict[str, Any]) -> None:
        """Applies a message. Raises TypeError or ValueError if it has another form."""
        for row in message.get(SENT_KEY, ()):
            identity, attempt = self._decode(row)
            if attempt.until >= self._now():
                self._register.merge(identity, self._peer, attempt)
        if NEVER_RAN_KEY in message:
            request_class, tenant, key = map(str, message[NEVER_RAN_KEY])
            identity = RequestIdentity(request_class, tenant, key)
            self._register.ended(identity, self._peer, ran=False)

    def _encode(self, identity: RequestIdentity, attempt: SentAttempt) -> list[Any]:
        offset = _monotonic_ms() - self._now()
        return [
            *identity,
            attempt.zone,
            attempt.cell,
            round(attempt.sent_at + offset, 3),
            round(attempt.until + offset, 3),
        ]

    def _decode(self, row: list[Any]) -> tuple[RequestIdentity, SentAttempt]:
        request_class, tenant, key, zone, cell, sent_at, until = row
        offset = self._now() - _monotonic_ms()
        identity = RequestIdentity(str(request_class), str(tenant), str(key))
        attempt = SentAttempt(float(sent_at) + offset, float(until) + offset, int(zone), int(cell))
        return identity, attempt


def _monotonic_ms() -> float:
    return time.monotonic() * 1000.0
