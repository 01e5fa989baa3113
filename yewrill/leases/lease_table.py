"""The lease table, a holder's own record of its lease, and the fence that refuses commands of earlier
holders. The lease table is the state machine of the replicated log. The module does no I/O and reads no
clock.

Leases expire by the log's own time: milliseconds that every entry carries, set by the leader that made it,
and never decreasing. So all voters that apply the same entries agree on the holder. The holder measures its
lease on its own clock, from the moment before it sent the request, and shortens it by a bound on that clock's
drift. If the clock drifts further, the members that execute the holder's commands still refuse those with a
fencing number below the highest that they have seen.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgpack

MAX_ROLES = 64
# Members whose last request is remembered, so that its repetition is recognised.
MAX_CLIENTS = 4096
MAX_CLOCK_DRIFT = 0.1  # largest fraction by which a holder's clock may run slow

CLAIM, RENEW, GIVE_UP = "claim", "renew", "give up"


@dataclass(frozen=True, slots=True)
class LeaseCommand:
    """A command about the lease on a role.

    `number` is the fencing number of the lease to renew or give up. `id` counts a member's requests, so that
    a duplicated request takes effect once.
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
    """The table of all leases. Deterministic: equal entries in the same order produce equal tables."""

    clock: int = 0
    # The highest fencing number granted for each role; these numbers only grow.
    highest_numbers: dict[str, int] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    # The id and result of each member's last request.
    last_requests: dict[str, tuple[int, LeaseResult]] = field(default_factory=dict)

    def view(self, role: str, at: int) -> LeaseResult:
        """Returns the lease on a role at a moment of the log's time; without a holder if it has expired."""
        lease = self.leases.get(role)
        if lease is None or lease.expires_at <= at:
            return LeaseResult(False, self.highest_numbers.get(role, 0))
        return LeaseResult(False, lease.number, lease.holder, lease.expires_at - at)

    def apply(self, at: int, command: LeaseCommand) -> LeaseResult:
        """Applies one entry of the log. A request that was applied before returns its earlier result."""
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

    def _apply(self, command: LeaseCommand) -> LeaseResult:
        current = self.view(command.role, self.clock)
        is_current = current.holder == command.holder and current.number == command.number
        if (
            command.action == CLAIM
            and not current.holder
            and (command.role in self.highest_numbers or len(self.highest_numbers) < MAX_ROLES)
        ):
            number = self.highest_numbers.get(command.role, 0) + 1
            self.highest_numbers[command.role] = number
        elif command.action == RENEW and is_current:
            number = command.number
        elif command.action == GIVE_UP and is_current:
            del self.leases[command.role]
            return LeaseResult(True, command.number)
        else:
            return current
        self.leases[command.role] = Lease(command.holder, number, self.clock + command.duration_ms)
        return LeaseResult(True, number, command.holder, command.duration_ms)

    # -- encoding

    def pack(self) -> bytes:
        """Returns the table as it is stored in a snapshot."""
        leases = {
            role: [lease.holder, lease.number, lease.expires_at]
            for role, lease in self.leases.items()
        }
        last_requests = {
            member: [id, r.ok, r.number, r.holder, r.remaining_ms]
            for member, (id, r) in self.last_requests.items()
        }
        return msgpack.packb([self.clock, self.highest_numbers, leases, last_requests])

    @classmethod
    def unpack(cls, data: bytes) -> LeaseTable:
        """Reads what `pack` returned; empty bytes stand for an empty table."""
        if not data:
            return cls()
        clock, highest_numbers, leases, last_requests = msgpack.unpackb(data)
        return cls(
            clock,
            highest_numbers,
            {role: Lease(*lease) for role, lease in leases.items()},
            {member: (id, LeaseResult(*r)) for member, (id, *r) in last_requests.items()},
        )


def pack_command(at: int, command: LeaseCommand) -> bytes:
    """Returns the data of a log entry: the log's time in milliseconds, and the command."""
    c = command
    return msgpack.packb([at, c.action, c.role, c.holder, c.id, c.number, c.duration_ms])


def unpack_command(data: bytes) -> tuple[int, LeaseCommand]:
    """Reads what `pack_command` returned."""
    at, *rest = msgpack.unpackb(data)
    return at, LeaseCommand(*rest)


@dataclass
class HeldLease:
    """A holder's own record of its lease, in seconds of its own monotonic clock."""

    role: str
    number: int
    expires_at: float

    @classmethod
    def from_result(cls, command: LeaseCommand, result: LeaseResult, asked_at: float) -> HeldLease:
        """Returns a lease that is measured from before its request was sent, on a clock that may be slow."""
        return cls(
            command.role,
            result.number,
            asked_at + command.duration_ms / 1000.0 * (1.0 - MAX_CLOCK_DRIFT),
        )

    def holds(self, now: float) -> bool:
        """Returns whether the lease is certain to hold at `now`."""
        return now < self.expires_at


@dataclass
class Fence:
    """Refuses commands of earlier lease holders, by the highest fencing number seen for each role.

    The caller stores that number before it executes the command.
    """

    highest: dict[str, int] = field(default_factory=dict)
    refused: int = 0

    def admits(self, role: str, number: int) -> bool:
        """Returns whether a command may be executed; remembers its fencing number as the highest if so."""
        if number < self.highest.get(role, 0):
            self.refused += 1
            return False
        if role in self.highest or len(self.highest) < MAX_ROLES:
            self.highest[role] = number
        return True
