"""The configuration as the program uses it: one dataclass for each section of the operators' file.

The fields of `StateConfig`, `TracingConfig`, `MembersConfig`, `OwnershipConfig` and `ZonesConfig` are the
keys of their sections, so their names are part of the file's format.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from yewrill.config.values import read_integer
from yewrill.policy import interface as api

Address = tuple[str, int]  # IPv4 address and port
FRONTS = ("platform", "progress")
STATE_MODES = ("always", "interval", "never")


@dataclass(frozen=True, slots=True)
class TopologyNames:
    """The names that endpoint lists use for zones and machine kinds; the policy knows their positions."""

    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()

    @staticmethod
    def position(value: Any, names: tuple[str, ...], key: str) -> int:
        """The position of a name, or of an integer. A name that is not listed stands after the last."""
        if isinstance(value, str):
            return names.index(value) if value in names else len(names)
        return read_integer(value, key)


@dataclass(frozen=True, slots=True)
class Limits:
    """What the process may use."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


@dataclass(frozen=True, slots=True)
class StateConfig:
    """Persistent state: directory, durability mode, and times."""

    path: str
    mode: str = "always"
    unsafe_window_ms: float = 3_600_000.0  # how long attempts of non-idempotent requests are kept
    patience_ms: float = 250.0  # how long an attempt or a management call waits for the disk


@dataclass(frozen=True, slots=True)
class TracingConfig:
    """Tracing: sampling and destinations. Sizes in MiB.

    `honoured`: records a second kept for the caller's sampled flag.
    """

    share: float = 0.01
    queue: int = 10_000
    honoured: float = 10.0
    collector: str = ""
    file: str = ""
    file_mb: float = 64.0
    files: int = 4
    spool_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class MembersConfig:
    """Membership. `keys` hexadecimal, the first one signs; `bytes_per_s` each way; `interval` in seconds."""

    listen: Address
    peers: tuple[Address, ...]
    keys: tuple[str, ...]
    name: str
    zone: str = ""
    region: str = ""
    bytes_per_s: float = 20_000.0
    interval: float = 0.5


@dataclass(frozen=True, slots=True)
class OwnershipConfig:
    """Leases of roles: names of the voters, directory of log and fencing numbers.

    `span` is the lease duration in seconds; `trust_disk`: the disk never loses what it has synced.
    """

    voters: tuple[str, ...]
    dir: str
    span: float = 2.0
    trust_disk: bool = False


@dataclass(frozen=True, slots=True)
class ZonesConfig:
    """Zone failover. `hold`: hold-down time before the first trial of a zone that was left; `step`: minimum
    time between steps of the recovery ramp; `stands`: how long a plan binds without contact; all in seconds.
    `most_out`: maximum fraction of all capacity that may be left at once.
    """

    hold: float = 2.0
    step: float = 1.0
    most_out: float = 0.5
    stands: float = 10.0


@dataclass(frozen=True, slots=True)
class Config:
    """The whole configuration. Optional sections are None where the file does not have them."""

    listen: Address
    discovery: Address
    settings: api.Settings
    name: str = "yewrill"
    seed: int = 0
    limits: Limits = field(default_factory=Limits)
    topology: TopologyNames = field(default_factory=TopologyNames)
    known: Mapping[str, Any] | None = None
    stated: frozenset[str] = frozenset()  # paths of the keys that the file has
    inherited_fd: int | None = None  # listening socket for hot restarts
    link_dir: str | None = None  # where the processes of a hot restart find each other
    mgmt: Address | None = None  # management listener
    state: StateConfig | None = None
    tracing: TracingConfig | None = None
    members: MembersConfig | None = None
    ownership: OwnershipConfig | None = None
    zones: ZonesConfig | None = None
    views: Any = None  # yewrill.views.config.ViewsConfig, imported only where it is used
    front: str = "platform"
    answer_margin_ms: float = 20.0  # final answers are sent this long before the client's timeout
    linger_ms: float = 700.0  # after SIGTERM, how long new connections are accepted
    grace_ms: float = 3700.0  # after SIGTERM, when the process must have exited
    connect_timeout_ms: float = 150.0
    idle_close_ms: float = 10000.0
