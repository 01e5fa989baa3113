"""Reads the sections of the configuration file that enable a subsystem; None for an absent section."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from yewrill.config.errors import ConfigError
from yewrill.config.schema import (
    STATE_MODES,
    MembersConfig,
    OwnershipConfig,
    StateConfig,
    TracingConfig,
    ZonesConfig,
)
from yewrill.config.values import (
    quoted,
    read_address,
    read_choice,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
    reject_unknown_keys,
)


def read_described_section(
    raw: Mapping[str, Any], key: str, struct_path: str, required_sections: tuple[str, ...]
) -> Any:
    """Reads a section whose schema its own package defines; the package is imported only if it is present."""
    if raw.get(key) is None:
        return None
    from yewrill.config.sections import SectionError, read_section

    try:
        return read_section(raw, key, struct_path, required_sections)
    except SectionError as error:
        raise ConfigError(str(error)) from None


def read_state(raw: Mapping[str, Any]) -> StateConfig | None:
    """Reads the key `state_dir` and the section `state`."""
    state = read_object(raw.get("state", {}), "state")
    reject_unknown_keys(state, ("mode", "unsafe_window_ms", "patience_ms"), "state")
    if raw.get("state_dir") is None:
        if "state" in raw:
            raise ConfigError("state_dir: missing, but the section state requires it")
        return None
    default = StateConfig("")
    return StateConfig(
        read_text(raw["state_dir"], "state_dir"),
        read_choice(state.get("mode", default.mode), "state.mode", STATE_MODES),
        read_number(
            state.get("unsafe_window_ms", default.unsafe_window_ms),
            "state.unsafe_window_ms",
            0.0,
            30 * 86_400_000.0,
        ),
        read_number(
            state.get("patience_ms", default.patience_ms), "state.patience_ms", 1.0, 60_000.0
        ),
    )


def read_tracing(raw: Mapping[str, Any]) -> TracingConfig | None:
    """Reads the section `tracing`."""
    if raw.get("tracing") is None:
        return None
    section, default = read_object(raw["tracing"], "tracing"), TracingConfig()
    reject_unknown_keys(section, TracingConfig.__slots__, "tracing")

    def number(key: str, low: float, high: float) -> float:
        return read_number(section.get(key, getattr(default, key)), f"tracing.{key}", low, high)

    config = TracingConfig(
        share=number("share", 0.0, 1.0),
        queue=read_integer(section.get("queue", default.queue), "tracing.queue", 1, 10**6),
        honoured=number("honoured", 0.0, 1e6),
        file_mb=number("file_mb", 0.001, 1e6),
        files=read_integer(section.get("files", default.files), "tracing.files", 1, 1000),
        spool_mb=number("spool_mb", 0.0, 1e5),
        collector=read_text(section["collector"], "tracing.collector")
        if "collector" in section
        else "",
        file=read_text(section["file"], "tracing.file") if "file" in section else "",
    )
    if not config.collector and not config.file:
        raise ConfigError("tracing: a collector or a file is needed")
    if config.collector:
        address, slash, path = config.collector.removeprefix("http://").partition("/")
        if not config.collector.startswith("http://"):
            raise ConfigError(
                f"tracing.collector: {quoted(config.collector)} is not http://IPv4-ADDRESS:PORT/PATH"
            )
        read_address(address, "tracing.collector")
    if config.spool_mb and raw.get("state_dir") is None:
        raise ConfigError("tracing.spool_mb: needs state_dir")
    return config


def read_members(raw: Mapping[str, Any]) -> MembersConfig | None:
    """Reads the section `members`."""
    if raw.get("members") is None:
        return None
    section = read_object(raw["members"], "members")
    reject_unknown_keys(section, MembersConfig.__slots__, "members")
    keys = [
        read_text(key, f"members.keys[{i}]")
        for i, key in enumerate(read_list(section.get("keys"), "members.keys"))
    ]
    if not 1 <= len(keys) <= 2:
        raise ConfigError("members.keys: one key is needed, or two during a key rotation")
    for i, key in enumerate(keys):
        try:
            key_bytes = len(bytes.fromhex(key))
        except ValueError:
            key_bytes = 0
        if not 16 <= key_bytes <= 64:
            raise ConfigError(f"members.keys[{i}]: 32 to 128 hexadecimal digits are needed")
    peers = read_list(section.get("peers"), "members.peers")
    if not peers:
        raise ConfigError("members.peers: at least one address is needed")
    listen = read_address(section.get("listen"), "members.listen", any_port=True)
    if listen[0] == "0.0.0.0":
        raise ConfigError("members.listen: an address that peers can reach is needed, not 0.0.0.0")
    names = {
        key: section.get(key, raw.get("name", "yewrill") if key == "name" else "")
        for key in ("name", "zone", "region")
    }
    for key, value in names.items():
        if not isinstance(value, str) or len(value) > 64 or (key == "name" and not value):
            raise ConfigError(f"members.{key}: a text of at most 64 characters is needed")
    return MembersConfig(
        listen,
        tuple(read_address(peer, f"members.peers[{i}]") for i, peer in enumerate(peers)),
        tuple(keys),
        bytes_per_s=read_number(
            section.get("bytes_per_s", 20_000.0), "members.bytes_per_s", 2_000.0, 1e9
        ),
        interval=read_number(section.get("interval", 0.5), "members.interval", 0.05, 60.0),
        **names,
    )


def read_ownership(raw: Mapping[str, Any]) -> OwnershipConfig | None:
    """Reads the section `ownership`."""
    if raw.get("ownership") is None:
        return None
    section = read_object(raw["ownership"], "ownership")
    reject_unknown_keys(section, OwnershipConfig.__slots__, "ownership")
    if raw.get("members") is None:
        raise ConfigError("ownership: needs members")
    voters = tuple(
        read_text(name, f"ownership.voters[{i}]")
        for i, name in enumerate(read_list(section.get("voters"), "ownership.voters"))
    )
    if len(voters) not in (1, 3, 5, 7) or len(set(voters)) != len(voters):
        raise ConfigError(
            "ownership.voters: 3, 5 or 7 different members are needed (1 only for a trial)"
        )
    trust = section.get("trust_disk", False)
    if not isinstance(trust, bool):
        raise ConfigError("ownership.trust_disk: true or false is needed")
    return OwnershipConfig(
        voters,
        read_text(section.get("dir"), "ownership.dir"),
        read_number(section.get("span", 2.0), "ownership.span", 0.5, 3600.0),
        trust,
    )


def read_zones(raw: Mapping[str, Any]) -> ZonesConfig | None:
    """Reads the section `zones`."""
    if raw.get("zones") is None:
        return None
    section = read_object(raw["zones"], "zones")
    reject_unknown_keys(section, ZonesConfig.__slots__, "zones")
    if raw.get("members") is None:
        raise ConfigError("zones: needs members")
    if not raw["members"].get("zone"):
        raise ConfigError("members.zone: missing, zones needs it (a name of settings.areas)")
    default = ZonesConfig()
    return ZonesConfig(
        hold=read_number(section.get("hold", default.hold), "zones.hold", 0.1, 3600.0),
        step=read_number(section.get("step", default.step), "zones.step", 0.1, 3600.0),
        most_out=read_number(section.get("most_out", default.most_out), "zones.most_out", 0.0, 1.0),
        stands=read_number(section.get("stands", default.stands), "zones.stands", 1.0, 3600.0),
    )
