"""The one place where configuration is read, checked and given defaults. Every error names its key."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

import ujson

from yewrill.dispatch.endpoint import Endpoint
from yewrill.policy import interface as api
from yewrill.policy.settings_codec import SettingsError, decode_settings

ENV_CONFIG = "BALANCER_CONFIG"
FRONTS = ("platform", "progress")
# Environment variables that stand in for the file's own keys.
ENV_KEYS = {
    "name": "BALANCER_NAME",
    "listen": "BALANCER_LISTEN",
    "discovery": "BALANCER_DISCOVERY",
    "mgmt": "BALANCER_MGMT",
}
ENV_INHERITED = (
    "BALANCER_INHERITED_FD"  # the clients' listening socket, where the platform holds it
)
ENV_TEMPORARY = "TMPDIR"  # shared by the runs of one dispatcher
_STATES = {
    "SERVING": api.WorkerState.RUNNING,
    "DRAINING": api.WorkerState.DRAINING,
    "DELETED": api.WorkerState.REMOVED,
}
STATE_WORDS = {state: word for word, state in _STATES.items()}


class ConfigError(Exception):
    """Configuration or a list that can't be used; the text begins with the faulty key."""


@dataclass(frozen=True, slots=True)
class TopologyNames:
    """The names that lists use for zones and machine kinds; the module knows their positions."""

    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()

    @staticmethod
    def position(value: Any, names: tuple[str, ...], key: str) -> int:
        """A name's position; one that the settings don't list stands past their end, as somewhere else."""
        if isinstance(value, str):
            return names.index(value) if value in names else len(names)
        return _whole(value, key)


@dataclass(frozen=True, slots=True)
class Limits:
    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


STATE_MODES = ("always", "interval", "never")


@dataclass(frozen=True, slots=True)
class StateConfig:
    """Where, and how surely, the dispatcher keeps what must outlast it."""

    path: str
    mode: str = "always"
    unsafe_window_ms: float = 3_600_000.0  # for which attempts of side-effect jobs are remembered
    patience_ms: float = 250.0  # for which an attempt or an operators' call waits for the disk


@dataclass(frozen=True, slots=True)
class TracingConfig:
    """What is traced, how much of it is kept, and where it goes. Sizes in MiB, `honoured` a second."""

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
    """Membership of dispatchers; `keys` hexadecimal, the first signs. Bytes a second each way, seconds."""

    listen: tuple[str, int]
    peers: tuple[tuple[str, int], ...]
    keys: tuple[str, ...]
    name: str
    zone: str = ""
    region: str = ""
    bytes_per_s: float = 20_000.0
    interval: float = 0.5


@dataclass(frozen=True, slots=True)
class OwnershipConfig:
    """One owner for each duty: the voting members' names, where log and fences are kept, seconds."""

    voters: tuple[str, ...]
    dir: str
    span: float = 2.0  # of a grant
    trust_disk: bool = False  # what a disk has called synced is never lost


@dataclass(frozen=True, slots=True)
class ZonesConfig:
    """The fleet's plan of zones; seconds, and the part of all capacity that may be left at once."""

    hold: float = 2.0
    step: float = 1.0
    most_out: float = 0.5
    stands: float = 10.0


@dataclass(frozen=True, slots=True)
class Config:
    listen: tuple[str, int]
    discovery: tuple[str, int]
    settings: api.Settings
    name: str = "yewrill"
    seed: int = 0
    limits: Limits = field(default_factory=Limits)
    topology: TopologyNames = field(default_factory=TopologyNames)
    known: Mapping[str, Any] | None = None
    stated: frozenset[str] = frozenset()  # the keys that the file has
    inherited_fd: int | None = (
        None  # listen on this descriptor; two runs may then serve beside each other
    )
    link_dir: str | None = None  # where they find each other
    mgmt: tuple[str, int] | None = (
        None  # where operators call; without it there is no management listener
    )
    state: StateConfig | None = None  # without it nothing is kept
    tracing: TracingConfig | None = None  # without it nothing is traced
    members: MembersConfig | None = None  # without it no other dispatcher is known
    ownership: OwnershipConfig | None = None  # without it no duty has an owner
    zones: ZonesConfig | None = None  # without it no zone is left by plan
    views: Any = (
        None  # yewrill.views.config.ViewsConfig; without it each goes by its own list of members
    )
    front: str = "platform"
    answer_margin_ms: float = 20.0  # final answers leave this long before the client gives up
    linger_ms: float = 700.0  # after SIGTERM, how long new connections are still taken
    grace_ms: float = 3700.0  # after SIGTERM, when the program must be gone
    connect_timeout_ms: float = 150.0
    idle_close_ms: float = 10000.0


# Where the file has what is named otherwise here.
_KEY_OF = {
    "topology": "settings.areas or settings.kinds",
    "connect_timeout_ms": "settings.limits.connect_timeout",
    "idle_close_ms": "settings.limits.idle_close",
    "answer_margin_ms": "timing.answer_margin_ms",
    "state": "state_dir or state",
    "linger_ms": "timing.linger_ms",
    "grace_ms": "timing.grace_ms",
}


# ------------------------------------------------------------------------------------------- checked values


def _number(
    value: Any, key: str, low: float = 0.0, high: float = 1e18, *, open_low: bool = False
) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ConfigError(f"{key}: a number is needed, not {_show(value)}")
    if not low <= value <= high or (open_low and value == low):
        raise ConfigError(
            f"{key}: {value} is not {'above' if open_low else 'at least'} {low:g}"
            + (f" and at most {high:g}" if high < 1e18 else "")
        )
    return value


def _whole(value: Any, key: str, low: int = 0, high: int = 2**53) -> int:
    number = _number(value, key, low, high)
    if number != int(number):
        raise ConfigError(f"{key}: a whole number is needed, not {number}")
    return int(number)


def _text(value: Any, key: str) -> str:
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{key}: a text is needed, not {_show(value)}")
    return value


def _object(value: Any, key: str) -> Mapping[str, Any]:
    if not isinstance(value, Mapping):
        raise ConfigError(f"{key}: an object is needed, not {_show(value)}")
    return value


def _list(value: Any, key: str) -> list:
    if not isinstance(value, list):
        raise ConfigError(f"{key}: a list is needed, not {_show(value)}")
    return value


def _show(value: Any) -> str:
    text = ujson.dumps(value) if value is not None else "nothing"
    return text if len(text) <= 60 else text[:57] + "..."


def _one_of(value: Any, key: str, words: tuple[str, ...]) -> str:
    if value not in words:
        raise ConfigError(f"{key}: {_show(value)} is not one of {', '.join(words)}")
    return value


def read_address(value: Any, key: str, *, any_port: bool = False) -> tuple[str, int]:
    """`host:port` with an IPv4 address; there is no DNS where this runs."""
    host, _, port = _text(value, key).rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ConfigError(f"{key}: {_show(value)} is not IPv4-ADDRESS:PORT") from None
    if not port.isascii() or not port.isdigit() or not (0 if any_port else 1) <= int(port) <= 65535:
        raise ConfigError(f"{key}: {_show(value)} has no port from 1 to 65535")
    return host, int(port)


# ----------------------------------------------------------------------------------------------------- lists


def read_endpoints(answer: Any, key: str, topology: TopologyNames) -> list[Endpoint]:
    """The destinations in one of discovery's answers, or in the list last known."""
    answer = _object(answer, key)
    _whole(answer.get("version"), f"{key}.version")
    found = []
    for i, entry in enumerate(_list(answer.get("servers"), f"{key}.servers")):
        at = f"{key}.servers[{i}]"
        entry = _object(entry, at)
        state = _STATES.get(entry.get("state", "SERVING"))
        if state is None:
            raise ConfigError(
                f"{at}.state: {_show(entry.get('state'))} is not one of {', '.join(_STATES)}"
            )
        gone = state == api.WorkerState.REMOVED  # what is gone needs no address
        found.append(
            Endpoint(
                _text(entry.get("id"), f"{at}.id"),
                ("", 0)
                if gone and not entry.get("addr")
                else read_address(entry.get("addr"), f"{at}.addr"),
                TopologyNames.position(entry.get("zone", 0), topology.zones, f"{at}.zone"),
                TopologyNames.position(entry.get("kind", 0), topology.kinds, f"{at}.kind"),
                _whole(entry.get("cell", 0), f"{at}.cell"),
                state,
                _number(entry.get("weight", 1.0), f"{at}.weight"),
                _number(entry.get("started_ms", 0), f"{at}.started_ms"),
            )
        )
    return found


# -------------------------------------------------------------------------------------------------- settings

# Numbers of the settings that must make sense wherever they are given: path, lowest, may be lowest.
_NUMBERS = (
    ("limits.try_limit", 1.0, True),
    ("limits.connect_timeout", 0.0, False),
    ("limits.idle_close", 0.0, False),
    ("limits.max_retry_after", 0.0, True),
    ("rules.answer_slack", 0.0, True),
    ("rules.fall", 0.0, True),
    ("rules.fall_multiple", 0.0, False),
    ("rules.start_capacity", 0.0, False),
    ("rules.warm_after", 0.0, True),
    ("rules.stop_sending_within", 0.0, True),
    ("tick", 0.0, False),
    ("over_share_worth", 0.0, True),
    ("specifics.progress", 0.0, True),
)


def read_settings(raw: Any) -> api.Settings:
    """The settings, checked key by key, as the module takes them."""
    raw = _object(raw, "settings")
    for part in ("limits", "rules", "specifics", "load_report", "fees", "client_habits"):
        _object(raw.get(part, {}), f"settings.{part}")
    for part in ("areas", "kinds", "parties", "request_classes"):
        _list(raw.get(part, []), f"settings.{part}")
    for path, low, closed in _NUMBERS:
        at: Any = raw
        for part in path.split("."):
            at = at.get(part) if isinstance(at, Mapping) else None
        if at is not None:
            _number(at, f"settings.{path}", low, open_low=not closed)
    for name, value in raw.get("fees", {}).items():
        _number(value, f"settings.fees.{name}")
    _whole(raw.get("instances", 1), "settings.instances", 1)
    _whole(raw.get("index", 0), "settings.index")
    if not raw.get("request_classes"):
        raise ConfigError("settings.request_classes: at least one class is needed")
    names: set[str] = set()
    for i, request_class in enumerate(raw["request_classes"]):
        _check_class(_object(request_class, f"settings.request_classes[{i}]"), i, names)
    kinds = len(raw.get("kinds", []))
    for i, kind in enumerate(
        _list(raw.get("specifics", {}).get("class_kind", []), "settings.specifics.class_kind")
    ):
        if _whole(kind, f"settings.specifics.class_kind[{i}]", -1) >= max(1, kinds):
            raise ConfigError(
                f"settings.specifics.class_kind[{i}]: no machine kind {kind} in settings.kinds"
            )
    for i, value in enumerate(
        _list(raw.get("specifics", {}).get("class_stretch", []), "settings.specifics.class_stretch")
    ):
        _number(value, f"settings.specifics.class_stretch[{i}]")
    tenants: set[str] = set()
    for i, tenant in enumerate(raw.get("parties", [])):
        at = f"settings.parties[{i}]"
        name = _text(_object(tenant, at).get("name"), f"{at}.name")
        if name in tenants:
            raise ConfigError(f"{at}.name: {_show(name)} is there twice")
        tenants.add(name)
        _number(tenant.get("quota_per_s", 0.0), f"{at}.quota_per_s")
        _number(tenant.get("share", 1.0), f"{at}.share", 0.0, 1.0)
    try:
        return decode_settings(raw)
    except SettingsError as error:
        raise ConfigError(f"settings: {error}") from None
    except (TypeError, AttributeError) as error:
        raise ConfigError(f"settings: of the wrong shape: {error}") from None


def _check_class(request_class: Mapping[str, Any], i: int, names: set[str]) -> None:
    at = f"settings.request_classes[{i}]"
    name = _text(request_class.get("name"), f"{at}.name")
    if name in names:
        raise ConfigError(f"{at}.name: {_show(name)} is there twice")
    if "/" in name or not name.isascii() or not name.isprintable() or " " in name:
        raise ConfigError(f"{at}.name: {_show(name)} can't be the first part of a path")
    names.add(name)
    deadline = _number(request_class.get("deadline"), f"{at}.deadline", open_low=True)
    _number(request_class.get("aim", deadline), f"{at}.aim", 0.0, deadline)
    for key in ("window", "value", "late_value", "aim_stretch"):
        _number(request_class.get(key, 0.0), f"{at}.{key}")
    _one_of(request_class.get("repeat", "pure"), f"{at}.repeat", ("pure", "token", "side_effect"))
    if request_class.get("repeat") == "token":
        _one_of(request_class.get("group", "all"), f"{at}.group", ("all", "zone", "cell"))
        _number(request_class.get("window"), f"{at}.window", open_low=True)


# --------------------------------------------------------------------------------------------- the whole file


def read_config(raw: Any, environment: Mapping[str, str] | None = None) -> Config:
    """Check a decoded configuration. The environment's variables stand in for keys that are absent."""
    raw = dict(_object(raw, "configuration"))
    stated = frozenset(_keys(raw))
    for key, variable in ENV_KEYS.items():
        if key not in raw and (environment or {}).get(variable):
            raw[key] = environment[variable]
    known_keys = {
        "name",
        "listen",
        "discovery",
        "seed",
        "limits",
        "known",
        "settings",
        "front",
        "timing",
        "mgmt",
        "state_dir",
        "state",
        "tracing",
        "members",
        "zones",
        "ownership",
        "views",
    }
    for key in ("listen", "discovery", "settings"):
        if key not in raw:
            raise ConfigError(f"{key}: missing")
    limits = _object(raw.get("limits", {}), "limits")
    default = Limits()
    timing = _object(raw.get("timing", {}), "timing")
    _only(timing, ("answer_margin_ms", "linger_ms", "grace_ms"), "timing")
    for key in raw:
        if key not in known_keys and not key.startswith("x-"):
            # The platform may add keys that are no concern of ours; a misspelt one of ours must not pass.
            close = [k for k in known_keys if k.lower() == key.lower().replace("-", "_")]
            if close:
                raise ConfigError(f"{key}: no such key; {close[0]} is meant?")
    settings = read_settings(raw["settings"])
    topology = TopologyNames(
        *(
            tuple(
                _text(name, f"settings.{part}[{i}]")
                for i, name in enumerate(raw["settings"].get(part, []))
            )
            for part in ("areas", "kinds")
        )
    )
    if raw.get("known") is not None:
        read_endpoints(raw["known"], "known", topology)
    seed = raw.get("seed", "0")
    try:
        seed = int(seed, 16) if isinstance(seed, str) else _whole(seed, "seed", high=2**64)
    except ValueError:
        raise ConfigError(f"seed: {_show(seed)} is not a hexadecimal number") from None
    raw_limits = _object(raw["settings"].get("limits", {}), "settings.limits")
    margin = _number(timing.get("answer_margin_ms", 20.0), "timing.answer_margin_ms", 1.0, 1000.0)
    linger = _number(timing.get("linger_ms", 700.0), "timing.linger_ms", 0.0, 60000.0)
    # The platform's own rule: the longest deadline, at most 3 s of it, and 0.7 s more.
    grace = max(min(max(c.deadline for c in settings.classes), 3000.0) + 700.0, linger)
    grace = _number(timing.get("grace_ms", grace), "timing.grace_ms", linger, 600000.0)
    listen = read_address(raw["listen"], "listen", any_port=True)
    mgmt = read_address(raw["mgmt"], "mgmt", any_port=True) if raw.get("mgmt") is not None else None
    if mgmt == listen and mgmt[1]:
        raise ConfigError("mgmt: must differ from listen")
    fd = (environment or {}).get(ENV_INHERITED)
    if fd and not (fd.isascii() and fd.isdigit() and len(fd) < 6):
        raise ConfigError(f"{ENV_INHERITED}: {_show(fd)} is not a descriptor's number")
    inherited = int(fd) if fd else None
    return Config(
        listen=listen,
        discovery=read_address(raw["discovery"], "discovery"),
        settings=settings,
        name=_text(raw.get("name", "yewrill"), "name"),
        seed=seed,
        limits=Limits(
            _number(limits.get("cores", default.cores), "limits.cores", open_low=True),
            _whole(limits.get("memory_mb", default.memory_mb), "limits.memory_mb", 64),
            _whole(limits.get("sockets", default.sockets), "limits.sockets", 64),
        ),
        topology=topology,
        known=raw.get("known"),
        mgmt=mgmt,
        stated=stated,
        inherited_fd=inherited,
        link_dir=(environment or {}).get(ENV_TEMPORARY) or None,
        state=_read_state(raw),
        tracing=_read_tracing(raw),
        members=_read_members(raw),
        ownership=_read_ownership(raw),
        zones=_read_zones(raw),
        views=_read_section(raw, "views", "yewrill.views.config:ViewsConfig", ("members",)),
        front=_one_of(raw.get("front", "platform"), "front", FRONTS),
        answer_margin_ms=margin,
        linger_ms=linger,
        grace_ms=grace,
        connect_timeout_ms=raw_limits.get("connect_timeout", 150.0),
        idle_close_ms=raw_limits.get("idle_close", 10000.0),
    )


def _only(given: Mapping[str, Any], keys: Iterable[str], section: str) -> None:
    """Refuse a section that has other keys than these."""
    for key in given:
        if key not in keys:
            raise ConfigError(f"{section}.{key}: no such key")


def _read_section(raw: Mapping[str, Any], key: str, where: str, needs: tuple[str, ...]) -> Any:
    """A section that its own package describes, in words that are imported with it."""
    if raw.get(key) is None:
        return None
    from yewrill.config.sections import SectionError, read_section

    try:
        return read_section(raw, key, where, needs)
    except SectionError as error:
        raise ConfigError(str(error)) from None


def _read_state(raw: Mapping[str, Any]) -> StateConfig | None:
    state = _object(raw.get("state", {}), "state")
    _only(state, ("mode", "unsafe_window_ms", "patience_ms"), "state")
    if raw.get("state_dir") is None:
        if "state" in raw:
            raise ConfigError("state_dir: missing, and state has no use without it")
        return None
    default = StateConfig("")
    return StateConfig(
        _text(raw["state_dir"], "state_dir"),
        _one_of(state.get("mode", default.mode), "state.mode", STATE_MODES),
        _number(
            state.get("unsafe_window_ms", default.unsafe_window_ms),
            "state.unsafe_window_ms",
            0.0,
            30 * 86_400_000.0,
        ),
        _number(state.get("patience_ms", default.patience_ms), "state.patience_ms", 1.0, 60_000.0),
    )


def _read_tracing(raw: Mapping[str, Any]) -> TracingConfig | None:
    if raw.get("tracing") is None:
        return None
    given, default = _object(raw["tracing"], "tracing"), TracingConfig()
    _only(given, TracingConfig.__slots__, "tracing")

    def number(key: str, low: float, high: float) -> float:
        return _number(given.get(key, getattr(default, key)), f"tracing.{key}", low, high)

    found = TracingConfig(
        share=number("share", 0.0, 1.0),
        queue=_whole(given.get("queue", default.queue), "tracing.queue", 1, 10**6),
        honoured=number("honoured", 0.0, 1e6),
        file_mb=number("file_mb", 0.001, 1e6),
        files=_whole(given.get("files", default.files), "tracing.files", 1, 1000),
        spool_mb=number("spool_mb", 0.0, 1e5),
        collector=_text(given["collector"], "tracing.collector") if "collector" in given else "",
        file=_text(given["file"], "tracing.file") if "file" in given else "",
    )
    if not found.collector and not found.file:
        raise ConfigError("tracing: a collector or a file is needed")
    if found.collector:
        address, slash, path = found.collector.removeprefix("http://").partition("/")
        if not found.collector.startswith("http://"):
            raise ConfigError(
                f"tracing.collector: {_show(found.collector)} is not http://IPv4-ADDRESS:PORT/PATH"
            )
        read_address(address, "tracing.collector")
    if found.spool_mb and raw.get("state_dir") is None:
        raise ConfigError("tracing.spool_mb: needs state_dir")
    return found


def _read_members(raw: Mapping[str, Any]) -> MembersConfig | None:
    if raw.get("members") is None:
        return None
    given = _object(raw["members"], "members")
    _only(given, MembersConfig.__slots__, "members")
    keys = [
        _text(key, f"members.keys[{i}]")
        for i, key in enumerate(_list(given.get("keys"), "members.keys"))
    ]
    if not 1 <= len(keys) <= 2:
        raise ConfigError("members.keys: one key, or two during a change")
    for i, key in enumerate(keys):
        try:
            found = len(bytes.fromhex(key))
        except ValueError:
            found = 0
        if not 16 <= found <= 64:
            raise ConfigError(f"members.keys[{i}]: 32 to 128 hexadecimal digits are needed")
    peers = _list(given.get("peers"), "members.peers")
    if not peers:
        raise ConfigError("members.peers: at least one address is needed")
    listen = read_address(given.get("listen"), "members.listen", any_port=True)
    if listen[0] == "0.0.0.0":
        raise ConfigError("members.listen: an address that peers can reach is needed, not 0.0.0.0")
    names = {
        key: given.get(key, raw.get("name", "yewrill") if key == "name" else "")
        for key in ("name", "zone", "region")
    }
    for key, value in names.items():
        if not isinstance(value, str) or len(value) > 64 or (key == "name" and not value):
            raise ConfigError(f"members.{key}: a text of at most 64 characters is needed")
    return MembersConfig(
        listen,
        tuple(read_address(peer, f"members.peers[{i}]") for i, peer in enumerate(peers)),
        tuple(keys),
        bytes_per_s=_number(
            given.get("bytes_per_s", 20_000.0), "members.bytes_per_s", 2_000.0, 1e9
        ),
        interval=_number(given.get("interval", 0.5), "members.interval", 0.05, 60.0),
        **names,
    )


def _read_ownership(raw: Mapping[str, Any]) -> OwnershipConfig | None:
    if raw.get("ownership") is None:
        return None
    given = _object(raw["ownership"], "ownership")
    _only(given, OwnershipConfig.__slots__, "ownership")
    if raw.get("members") is None:
        raise ConfigError("ownership: needs members")
    voters = tuple(
        _text(name, f"ownership.voters[{i}]")
        for i, name in enumerate(_list(given.get("voters"), "ownership.voters"))
    )
    if len(voters) not in (1, 3, 5, 7) or len(set(voters)) != len(voters):
        raise ConfigError(
            "ownership.voters: 3, 5 or 7 different members are needed (1 alone to try it)"
        )
    trust = given.get("trust_disk", False)
    if not isinstance(trust, bool):
        raise ConfigError("ownership.trust_disk: true or false")
    return OwnershipConfig(
        voters,
        _text(given.get("dir"), "ownership.dir"),
        _number(given.get("span", 2.0), "ownership.span", 0.5, 3600.0),
        trust,
    )


def _read_zones(raw: Mapping[str, Any]) -> ZonesConfig | None:
    if raw.get("zones") is None:
        return None
    given = _object(raw["zones"], "zones")
    _only(given, ZonesConfig.__slots__, "zones")
    if raw.get("members") is None:
        raise ConfigError("zones: needs members")
    if not raw["members"].get("zone"):
        raise ConfigError("members.zone: zones needs it, in the words of settings.areas")
    default = ZonesConfig()
    return ZonesConfig(
        hold=_number(given.get("hold", default.hold), "zones.hold", 0.1, 3600.0),
        step=_number(given.get("step", default.step), "zones.step", 0.1, 3600.0),
        most_out=_number(given.get("most_out", default.most_out), "zones.most_out", 0.0, 1.0),
        stands=_number(given.get("stands", default.stands), "zones.stands", 1.0, 3600.0),
    )


_OF_A_START = ("known", "seed")


def _keys(value: Any, path: str = "") -> Iterator[str]:
    """The paths of a file's keys; of a list of objects those that all of them have."""
    if isinstance(value, Mapping):
        for key, below in value.items():
            if path or (key not in _OF_A_START and not key.startswith("x-")):
                at = f"{path}.{key}" if path else key
                yield at
                yield from _keys(below, at)
    elif isinstance(value, list) and value and all(isinstance(item, Mapping) for item in value):
        for key in sorted(set.intersection(*(set(item) for item in value))):
            yield f"{path}[].{key}"


def check_succession(before: Config, now: Config) -> None:
    """Whether a configuration may follow another while the program serves."""
    # Where the file in service has a key, its absence is a file cut short, not a wish for the default.
    for key in sorted(before.stated - now.stated):
        raise ConfigError(f"{key}: missing, the file in service has it")
    for part, old, new in (
        ("areas", before.topology.zones, now.topology.zones),
        ("kinds", before.topology.kinds, now.topology.kinds),
    ):
        if new[: len(old)] != old:
            raise ConfigError(f"settings.{part}: may only grow while the program serves")


def differing(before: Config, now: Config) -> list[str]:
    """The keys of the file in which two configurations differ, but for those that only a start uses."""
    return [
        _KEY_OF.get(f.name, f.name)
        for f in fields(Config)
        if f.name not in ("known", "seed", "stated", "inherited_fd", "link_dir")
        and getattr(before, f.name) != getattr(now, f.name)
    ]


def load_config(
    path: str | Path, environment: Mapping[str, str] | None = None, *, strict: bool = False
) -> Config:
    """Read and check a configuration file; `strict`: refuse what contradicts itself too."""
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    try:
        raw = ujson.loads(text)
    except (ValueError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    found = read_config(raw, environment)
    if strict:
        check_sense(raw["settings"])
    return found


def check_sense(settings: Mapping[str, Any]) -> None:
    """Refuse settings that contradict themselves. The tool asks for this before anything starts; a start does
    not, since a dispatcher that serves by half-wise settings beats one that does not serve."""
    report = settings.get("load_report", {})
    at = "settings.load_report"
    via = _one_of(report.get("via", "off"), f"{at}.via", ("inline", "on_probe", "off"))
    names = [
        _text(name, f"{at}.fields[{i}]")
        for i, name in enumerate(_list(report.get("fields", []), f"{at}.fields"))
    ]
    for i, name in enumerate(names):
        if name in names[:i]:
            raise ConfigError(f"{at}.fields[{i}]: {_show(name)} is there twice")
    if names and via == "off":
        raise ConfigError(f"{at}.via: off, with fields named")
    if via != "off" and not names:
        raise ConfigError(f"{at}.fields: none, with reports {via}")
    specifics = settings.get("specifics", {})
    free = [
        key.removeprefix("report_")
        for key, means in specifics.items()
        if key.startswith("report_") and means == "free slots"
    ]
    if names and not {"inflight", "util", *free} & set(names):
        raise ConfigError(
            f"{at}.fields: none tells of room (inflight, util, or one that specifics.report_… "
            "calls free slots)"
        )
    if via == "on_probe" and not settings.get("limits", {}).get("may_probe", False):
        raise ConfigError("settings.limits.may_probe: false, with reports on probes")
    areas = settings.get("areas", [])
    zone = _whole(settings.get("zone", 0), "settings.zone")
    if zone >= max(1, len(areas)):
        raise ConfigError(f"settings.zone: no zone {zone} in settings.areas")
    if settings.get("fees", {}).get("cross_zone", 0.0) > 0 and len(areas) < 2:
        raise ConfigError("settings.fees.cross_zone: a fee for crossings, with one zone")
    for i, request_class in enumerate(settings["request_classes"]):
        if request_class.get("late_value", 0.0) > 1.0:
            raise ConfigError(
                f"settings.request_classes[{i}].late_value: worth more late than in time"
            )
