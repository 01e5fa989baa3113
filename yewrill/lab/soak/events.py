"""Records of the events that the parties of a run saw. Times are monotonic seconds since the run began."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """The idempotency of a request class, with the values that the settings use."""

    IDEMPOTENT = "pure"
    IDEMPOTENT_BY_KEY = "token"
    NON_IDEMPOTENT = "side_effect"


class AttemptEnd(Enum):
    """The ways in which an attempt can end, as its worker sees it."""

    ANSWERED = "answered"
    REJECTED = "turned away"  # the worker's response says that the request has not run
    CLOSED = "closed by the dispatcher"
    BROKEN = "broken by the worker"


class RequestEnd(Enum):
    """The ways in which a request can end, as its client sees it."""

    ANSWERED = "answered"
    # The dispatcher closed the connection, or its process ended.
    CLOSED = "closed without an answer"
    TIMED_OUT = "no answer in time"
    LEFT = "its client left"
    NOT_TAKEN = "no connection came up"


@dataclass(slots=True)
class Request:
    """One request as its client saw it.

    `sent` is the time of its last byte. `reused_connection`: the request is not the first on its connection.
    A request may be sent several times under one id; `send_number` counts the sends and is in the body that
    the worker gets.
    """

    id: str
    key: str
    kind: str
    dispatcher: str
    client_timeout: float
    begun_at: float
    reused_connection: bool = False
    sent: float | None = None
    # Whether the request is valid; if not, the dispatcher must answer with an error or close the connection.
    well_formed: bool = True
    stalls: bool = False  # whether its client stops sending in the middle and keeps the connection
    end: RequestEnd | None = None
    finished: float = 0.0
    status: int = 0
    answers: int = 0
    send_number: int = 1


@dataclass(slots=True)
class Attempt:
    """One attempt as its worker saw it.

    `begun_at` is the time of its first byte, `received_at` the time at which its last one was read, and
    `arrived_at` the time at which that one arrived at the worker's machine. `send_number` is that of its
    request, 0 if the attempt was never received in full.
    """

    id: str
    key: str
    kind: str
    worker: str
    announced_timeout: float  # the worker's time limit in seconds, as the dispatcher sent it
    begun_at: float
    received_at: float | None = None
    finished: float | None = None
    end: AttemptEnd | None = None
    send_number: int = 0
    arrived_at: float = 0.0
    cell: int = 0  # the cell of its worker
    # Whether the dispatcher had closed the connection before the worker read the request.
    stale: bool = False


@dataclass(frozen=True, slots=True)
class SlowStart:
    """A restart of a worker, which is cold from then on."""

    worker: str
    at: float


class ProcessState(Enum):
    """A kind of event of a dispatcher's process."""

    STARTED = "started"
    READY = "ready"
    TERMINATED = "SIGTERM"
    KILLED = "SIGKILL"
    PAUSED = "SIGSTOP"
    RESUMED = "SIGCONT"
    RELOADED = "SIGHUP"
    EXITED = "exited"


@dataclass(frozen=True, slots=True)
class ProcessEvent:
    """An event of a dispatcher's process; `code` is the exit status of EXITED."""

    dispatcher: str
    pid: int
    state: ProcessState
    at: float
    code: int = 0


@dataclass(frozen=True, slots=True)
class Drain:
    """Discovery announced to a dispatcher that a worker drains or is gone."""

    dispatcher: str
    worker: str
    announced_timeout: float


@dataclass
class History:
    """All records of one run."""

    requests: list[Request] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    slow_starts: list[SlowStart] = field(default_factory=list)
    process_events: list[ProcessEvent] = field(default_factory=list)
    # Spans (begin, end) without a fault, which begin long enough after the last fault.
    calm_spans: list[tuple[float, float]] = field(default_factory=list)
    # Violations of their own rules that the dispatchers logged.
    violations: list[str] = field(default_factory=list)
    # Largest resident memory, in MB, that a process of each dispatcher had.
    peak_memory_mb: dict[str, float] = field(default_factory=dict)
    # Longest time, in seconds, by which the test's event loop was late or a dispatcher waited for a CPU.
    max_lateness: float = 0.0
    began: float = field(default_factory=time.monotonic)

    def now(self) -> float:
        """Returns the seconds since the run began."""
        return time.monotonic() - self.began
