"""The checked configuration: one dataclass for each section of the configuration file.

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
    """Names of zones and machine kinds in endpoint lists. The policy module refers to them by position."""

    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()

    @staticmethod
    def position(value: Any, names: tuple[str, ...], key: str) -> int:
        """Returns the position of a name; an integer is its own position.

        All unlisted names share the position after the last. Raises ConfigError for other types.
        """
        if isinstance(value, str):
            return names.index(value) if value in names else len(names)
        return read_integer(value, key)


@dataclass(frozen=True, slots=True)
class Limits:
    """Resources that the process may use."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


@dataclass(frozen=True, slots=True)
class StateConfig:
    """Persistent state: directory, durability mode (one of STATE_MODES), and times."""

    path: str
    mode: str = "always"
    # How long the records of attempts of non-idempotent requests are kept.
    unsafe_window_ms: float = 3_600_000.0
    # How long an attempt or a management call waits for the disk.
    patience_ms: float = 250.0


@dataclass(frozen=True, slots=True)
class TracingConfig:
    """Tracing: sampling and export targets. Sizes in MiB.

    `share` is the fraction of ordinary records that are kept, `queue` the number of records that may wait
    for export, `honoured` the records a second kept because the caller's sampled flag is set.
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
    """Membership of the fleet.

    `keys` are hexadecimal, and the first one signs; `bytes_per_s` bounds the traffic in each direction;
    `interval` is the time between two probes, in seconds.
    """

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
    """Leases of roles: names of the voters, and the directory of the log and the fencing numbers.

    `span` is the lease duration in seconds; `trust_disk` says that the disk never loses synced data.
    """

    voters: tuple[str, ...]
    dir: str
    span: float = 2.0
    trust_disk: bool = False


@dataclass(frozen=True, slots=True)
class ZonesConfig:
    """Zone failover.

    In seconds: `hold` is the hold-down time before traffic is tried again in a zone that was left, `step` the
    minimum time between steps of the recovery ramp, `stands` how long a plan stays valid without contact.
    `most_out` is the maximum fraction of all capacity that may be left at once.
    """

    hold: float = 2.0
    step: float = 1.0
    most_out: float = 0.5
    stands: float = 10.0


@dataclass(frozen=True, slots=True)
class Config:
    """The whole configuration. Optional sections are None if the file lacks them."""

    listen: Address
    discovery: Address
    settings: api.Settings
    name: str = "yewrill"
    seed: int = 0
    limits: Limits = field(default_factory=Limits)
    topology: TopologyNames = field(default_factory=TopologyNames)
    known: Mapping[str, Any] | None = None
    stated: frozenset[str] = frozenset()  # paths of the keys present in the file
    inherited_fd: int | None = None  # descriptor of an inherited listening socket, for hot restarts
    link_dir: str | None = None  # directory of the socket between the processes of a hot restart
    mgmt: Address | None = None  # address of the management listener
    state: StateConfig | None = None
    tracing: TracingConfig | None = None
    members: MembersConfig | None = None
    ownership: OwnershipConfig | None = None
    zones: ZonesConfig | None = None
    views: Any = None  # a yewrill.views.config.ViewsConfig, which is imported only where it is used
    front: str = "platform"
    answer_margin_ms: float = 20.0  # final answers are sent this long before the client's timeout
    linger_ms: float = 700.0  # how long new connections are accepted after SIGTERM
    grace_ms: float = 3700.0  # how long after SIGTERM the process may take to exit
    connect_timeout_ms: float = 150.0
    idle_close_ms: float = 10000.0
