"""Who holds which role: the state machine of the replicated log, and the views of holder and resource. Pure.

The log's own time counts here: milliseconds that every entry carries, set by the leader that made it, never
backwards. A lease expires by it, so all who apply the same entries agree on the holder. The holder counts its
lease from before it asked, by its own clock, shortened by a bound on that clock's drift. Should the clock
exceed that bound, whoever executes a command refuses a number below the highest it has seen (`Fence`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgpack

MAX_ROLES = 64
MAX_CLIENTS = 4096  # whose last request is retained
MAX_CLOCK_DRIFT = 0.1  # the fraction by which a holder's clock may be slow

CLAIM, RENEW, GIVE_UP = "claim", "renew", "give up"


@dataclass(frozen=True, slots=True)
class LeaseCommand:
    """A command about the lease on a role.

    `number` is the fencing number of the lease to renew or give up. `id` counts a member's requests, so that
    one that arrives twice takes effect once.
    """

    action: str
    role: str
    holder: str
    id: int
    number: int = 0
    duration_ms: int = 0


@dataclass(frozen=True, slots=True)
class Lease:
    """The lease on a role; `number` is its fencing number."""

    holder: str
    number: int
    expires_at: int  # milliseconds of the log's time


@dataclass(frozen=True, slots=True)
class LeaseResult:
    """The result of a command, and the lease that holds now: its number, holder and remaining time."""

    ok: bool
    number: int = 0
    holder: str = ""
    remaining_ms: int = 0


@dataclass
class LeaseTable:
    """All leases. Deterministic: equal entries in equal order make equal tables."""

    clock: int = 0
    # The highest fencing number of each role; they only grow.
    highest_numbers: dict[str, int] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    # The id and result of each member's last request.
    last_requests: dict[str, tuple[int, LeaseResult]] = field(default_factory=dict)

    def view(self, role: str, at: int) -> LeaseResult:
        """The holder of a role at a moment of the log's time."""
        lease = self.leases.get(role)
        if lease is None or lease.expires_at <= at:
            return LeaseResult(False, self.highest_numbers.get(role, 0))
        return LeaseResult(False, lease.number, lease.holder, lease.expires_at - at)

    def apply(self, at: int, command: LeaseCommand) -> LeaseResult:
        """Apply one entry of the log. A request that was applied before returns its earlier result."""
        self.clock = max(self.clock, at)
        last = self.last_requests.get(command.holder)
        if last is not None and command.id <= last[0]:
            return last[1] if command.id == last[0] else LeaseResult(False)
        result = self._apply(command)
        self.last_requests.pop(command.holder, None)
        self.last_requests[command.holder] = command.id, result
        if len(self.last_requests) > MAX_CLIENTS:
            del self.last_requests[next(iter(self.last_requests))]
        return result

    def _apply(self, c: LeaseCommand) -> LeaseResult:
        now = self.view(c.role, self.clock)
        mine = now.holder == c.holder and now.number == c.number
        if (
            c.action == CLAIM
            and not now.holder
            and (c.role in self.highest_numbers or len(self.highest_numbers) < MAX_ROLES)
        ):
            number = self.highest_numbers.get(c.role, 0) + 1
            self.highest_numbers[c.role] = number
        elif c.action == RENEW and mine:
            number = c.number
        elif c.action == GIVE_UP and mine:
            del self.leases[c.role]
            return LeaseResult(True, c.number)
        else:
            return now
        self.leases[c.role] = Lease(c.holder, number, self.clock + c.duration_ms)
        return LeaseResult(True, number, c.holder, c.duration_ms)

    # -- as bytes

    def pack(self) -> bytes:
        """The table as stored in a snapshot."""
        leases = {role: [h.holder, h.number, h.expires_at] for role, h in self.leases.items()}
        last_requests = {
            who: [id, r.ok, r.number, r.holder, r.remaining_ms]
            for who, (id, r) in self.last_requests.items()
        }
        return msgpack.packb([self.clock, self.highest_numbers, leases, last_requests])

    @classmethod
    def unpack(cls, data: bytes) -> LeaseTable:
        """Read what `pack` returned; no bytes are an empty table."""
        if not data:
            return cls()
        clock, highest_numbers, leases, last_requests = msgpack.unpackb(data)
        return cls(
            clock,
            highest_numbers,
            {role: Lease(*h) for role, h in leases.items()},
            {who: (id, LeaseResult(*r)) for who, (id, *r) in last_requests.items()},
        )


def pack_command(at: int, command: LeaseCommand) -> bytes:
    """The data of a log entry: the log's time in milliseconds, and the command."""
    c = command
    return msgpack.packb([at, c.action, c.role, c.holder, c.id, c.number, c.duration_ms])


def unpack_command(data: bytes) -> tuple[int, LeaseCommand]:
    """Read what `pack_command` returned."""
    at, *rest = msgpack.unpackb(data)
    return at, LeaseCommand(*rest)


@dataclass
class HeldLease:
    """The holder's view of its lease, in seconds of its own monotonic clock."""

    role: str
    number: int
    expires_at: float

    @classmethod
    def from_result(cls, command: LeaseCommand, result: LeaseResult, asked_at: float) -> HeldLease:
        """Count from before the request was sent, by a clock that may be slow."""
        return cls(
            command.role,
            result.number,
            asked_at + command.duration_ms / 1000.0 * (1.0 - MAX_CLOCK_DRIFT),
        )

    def holds(self, now: float) -> bool:
        """Whether the lease is certain to hold at `now`."""
        return now < self.expires_at


@dataclass
class Fence:
    """The highest number of each role that a command came with; stored before the command is executed."""

    highest: dict[str, int] = field(default_factory=dict)
    refused: int = 0

    def admits(self, role: str, number: int) -> bool:
        """Whether a command with this number may be executed; lower ones are refused from here on."""
        if number < self.highest.get(role, 0):
            self.refused += 1
            return False
        if role in self.highest or len(self.highest) < MAX_ROLES:
            self.highest[role] = number
        return True
