"""Who has which duty: the state that the replicated log makes, and what an owner and its resource know. Pure.

The log's own time counts here: milliseconds that every entry carries, set by the leader that made it, never
backwards. A grant ends by it, so all who apply the same entries agree on who owns what. The owner counts its
grant from before it asked, by its own clock and less a bound on that clock's drift; and should that bound
lie, whoever carries out an order refuses a number below the highest it has seen (`Fence`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgpack

MAX_ROLES = 64
MAX_CLIENTS = 4096  # whose last request is remembered
MAX_CLOCK_DRIFT = 0.1  # part by which a member's clock may be slow while it owns something

CLAIM, RENEW, GIVE_UP = "claim", "renew", "give up"


@dataclass(frozen=True, slots=True)
class LeaseCommand:
    """One wish about a duty. `span` in milliseconds; `number`: of the grant it is about; `id` counts a
    member's requests, so that one that comes twice takes effect once."""

    what: str
    duty: str
    owner: str
    id: int
    number: int = 0
    span: int = 0


@dataclass(frozen=True, slots=True)
class Lease:
    owner: str
    number: int
    until: int  # by the log's time


@dataclass(frozen=True, slots=True)
class LeaseResult:
    """What came of a command: `ok`, the number of the grant that holds now, its owner, how long it lasts."""

    ok: bool
    number: int = 0
    owner: str = ""
    left: int = 0


@dataclass
class LeaseTable:
    clock: int = 0
    numbers: dict[str, int] = field(
        default_factory=dict
    )  # the highest of each duty; they only grow
    held: dict[str, Lease] = field(default_factory=dict)
    done: dict[str, tuple[int, LeaseResult]] = field(
        default_factory=dict
    )  # each member's last request

    def view(self, duty: str, at: int) -> LeaseResult:
        """Who has a duty at a moment of the log's time."""
        held = self.held.get(duty)
        if held is None or held.until <= at:
            return LeaseResult(False, self.numbers.get(duty, 0))
        return LeaseResult(False, held.number, held.owner, held.until - at)

    def apply(self, at: int, command: LeaseCommand) -> LeaseResult:
        """Take one entry of the log."""
        self.clock = max(self.clock, at)
        last = self.done.get(command.owner)
        if last is not None and command.id <= last[0]:
            return last[1] if command.id == last[0] else LeaseResult(False)
        result = self._apply(command)
        self.done.pop(command.owner, None)
        self.done[command.owner] = command.id, result
        if len(self.done) > MAX_CLIENTS:
            del self.done[next(iter(self.done))]
        return result

    def _apply(self, c: LeaseCommand) -> LeaseResult:
        now = self.view(c.duty, self.clock)
        mine = now.owner == c.owner and now.number == c.number
        if (
            c.what == CLAIM
            and not now.owner
            and (c.duty in self.numbers or len(self.numbers) < MAX_ROLES)
        ):
            number = self.numbers.get(c.duty, 0) + 1
            self.numbers[c.duty] = number
        elif c.what == RENEW and mine:
            number = c.number
        elif c.what == GIVE_UP and mine:
            del self.held[c.duty]
            return LeaseResult(True, c.number)
        else:
            return now
        self.held[c.duty] = Lease(c.owner, number, self.clock + c.span)
        return LeaseResult(True, number, c.owner, c.span)

    # -- as bytes

    def pack(self) -> bytes:
        held = {duty: [h.owner, h.number, h.until] for duty, h in self.held.items()}
        done = {who: [id, r.ok, r.number, r.owner, r.left] for who, (id, r) in self.done.items()}
        return msgpack.packb([self.clock, self.numbers, held, done])

    @classmethod
    def unpack(cls, data: bytes) -> LeaseTable:
        if not data:
            return cls()
        clock, numbers, held, done = msgpack.unpackb(data)
        return cls(
            clock,
            numbers,
            {duty: Lease(*h) for duty, h in held.items()},
            {who: (id, LeaseResult(*r)) for who, (id, *r) in done.items()},
        )


def pack_command(at: int, command: LeaseCommand) -> bytes:
    c = command
    return msgpack.packb([at, c.what, c.duty, c.owner, c.id, c.number, c.span])


def unpack_command(data: bytes) -> tuple[int, LeaseCommand]:
    at, *rest = msgpack.unpackb(data)
    return at, LeaseCommand(*rest)


@dataclass
class HeldLease:
    """An owner's own view of what it holds, by its own steady clock, in seconds."""

    duty: str
    number: int
    until: float

    @classmethod
    def of(cls, command: LeaseCommand, result: LeaseResult, asked_at: float) -> HeldLease:
        """What was granted counts from before it was asked for, by a clock that may be slow."""
        return cls(
            command.duty, result.number, asked_at + command.span / 1000.0 * (1.0 - MAX_CLOCK_DRIFT)
        )

    def holds(self, now: float) -> bool:
        return now < self.until


@dataclass
class Fence:
    """The highest number of each duty that an order came with. Kept on disk before the order is obeyed."""

    highest: dict[str, int] = field(default_factory=dict)
    refused: int = 0

    def admits(self, duty: str, number: int) -> bool:
        """Whether an order is to be obeyed; the number counts from here on."""
        if number < self.highest.get(duty, 0):
            self.refused += 1
            return False
        if duty in self.highest or len(self.highest) < MAX_ROLES:
            self.highest[duty] = number
        return True
