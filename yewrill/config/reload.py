"""Compares the configuration in force with the one that a reload has read from the file."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import fields
from typing import Any

from yewrill.config.errors import ConfigError
from yewrill.config.schema import Config

# Keys of the file for those fields of Config that have another name.
KEY_OF_FIELD = {
    "topology": "settings.areas or settings.kinds",
    "connect_timeout_ms": "settings.limits.connect_timeout",
    "idle_close_ms": "settings.limits.idle_close",
    "answer_margin_ms": "timing.answer_margin_ms",
    "state": "state_dir or state",
    "linger_ms": "timing.linger_ms",
    "grace_ms": "timing.grace_ms",
}
START_ONLY_KEYS = ("known", "seed")


def key_paths(value: Any, path: str = "") -> Iterator[str]:
    """Yields the paths of all keys below `value`; for a list of objects, the keys common to all of them."""
    if isinstance(value, Mapping):
        for key, child in value.items():
            if path or (key not in START_ONLY_KEYS and not key.startswith("x-")):
                key_path = f"{path}.{key}" if path else key
                yield key_path
                yield from key_paths(child, key_path)
    elif isinstance(value, list) and value and all(isinstance(item, Mapping) for item in value):
        for key in sorted(set.intersection(*(set(item) for item in value))):
            yield f"{path}[].{key}"


def check_reload(before: Config, after: Config) -> None:
    """Raises ConfigError if `after` may not replace `before` without a restart."""
    # A removed key is more likely a truncated file than a request for the default.
    for key in sorted(before.stated - after.stated):
        raise ConfigError(f"{key}: missing, but set in the configuration in force")
    for part, old, new in (
        ("areas", before.topology.zones, after.topology.zones),
        ("kinds", before.topology.kinds, after.topology.kinds),
    ):
        if new[: len(old)] != old:
            raise ConfigError(f"settings.{part}: names can only be appended by a reload")


def changed_keys(before: Config, after: Config) -> list[str]:
    """Returns the keys in which two configurations differ, without those used only at startup."""
    return [
        KEY_OF_FIELD.get(f.name, f.name)
        for f in fields(Config)
        if f.name not in ("known", "seed", "stated", "inherited_fd", "link_dir")
        and getattr(before, f.name) != getattr(after, f.name)
    ]
