"""Bounds the bytes that all requests of clients hold together, from their first byte until their answer.

A bound for each connection does not add up to a bound for the process: its number of connections times the
size of a request may exceed its memory. A request that would exceed the budget takes the place of the
unfinished request that began first, which is most likely one whose client has stopped sending.
"""

from __future__ import annotations

from collections.abc import Callable

# An unfinished request that holds fewer bytes is not worth evicting.
MIN_EVICTABLE_BYTES = 4096


class BudgetExhausted(Exception):
    """There is no room for more input, and no unfinished request can be evicted."""


class InputBudget:
    """The bytes that requests hold. Not thread-safe."""

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.evictions = 0  # number of unfinished requests that were evicted or refused
        # Unfinished requests, in the order in which they began.
        self._unfinished: dict[HeldInput, None] = {}

    def request(self, on_evicted: Callable[[], None]) -> HeldInput:
        """Returns the account of a new request. `on_evicted` ends the reading of it."""
        held = HeldInput(self, on_evicted)
        self._unfinished[held] = None
        return held

    def _make_room(self, newcomer: HeldInput, count: int) -> None:
        while self.held_bytes + count > self.max_bytes:
            victim = next(
                (held for held in self._unfinished if held.bytes >= MIN_EVICTABLE_BYTES), newcomer
            )
            self.evictions += 1
            victim.release()
            if victim is newcomer:
                raise BudgetExhausted
            victim.on_evicted()


class HeldInput:
    """The bytes that one request holds."""

    __slots__ = ("_budget", "_released", "bytes", "on_evicted")

    def __init__(self, budget: InputBudget, on_evicted: Callable[[], None]):
        self._budget = budget
        self._released = False
        self.bytes = 0
        self.on_evicted = on_evicted

    def add(self, count: int) -> None:
        """Charges received bytes. Raises BudgetExhausted, also if the request was evicted."""
        if self._released:
            raise BudgetExhausted
        self._budget._make_room(self, count)
        self.bytes += count
        self._budget.held_bytes += count

    def finish(self) -> None:
        """Notes that the request is complete, so that it can no longer be evicted."""
        self._budget._unfinished.pop(self, None)

    def release(self) -> None:
        """Gives all bytes back; further calls do nothing."""
        if not self._released:
            self._released = True
            self._budget.held_bytes -= self.bytes
            self.finish()
