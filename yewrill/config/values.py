"""Checks single values. A reader returns the value, or raises ConfigError that names the faulty key."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable, Mapping
from typing import Any

import ujson

from yewrill.config.errors import ConfigError


def read_number(
    value: Any, key: str, low: float = 0.0, high: float = 1e18, *, open_low: bool = False
) -> float:
    """Reads a number from `low` to `high`; with `open_low` it must be greater than `low`."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ConfigError(f"{key}: a number is needed, not {quoted(value)}")
    if not low <= value <= high or (open_low and value == low):
        raise ConfigError(
            f"{key}: {value} is not {'above' if open_low else 'at least'} {low:g}"
            + (f" and at most {high:g}" if high < 1e18 else "")
        )
    return value


def read_integer(value: Any, key: str, low: int = 0, high: int = 2**53) -> int:
    """Reads an integer from `low` to `high`, which JSON may write as 5.0."""
    number = read_number(value, key, low, high)
    if number != int(number):
        raise ConfigError(f"{key}: a whole number is needed, not {number}")
    return int(number)


def read_text(value: Any, key: str) -> str:
    """Reads a non-empty string."""
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{key}: a text is needed, not {quoted(value)}")
    return value


def read_object(value: Any, key: str) -> Mapping[str, Any]:
    """Reads a JSON object."""
    if not isinstance(value, Mapping):
        raise ConfigError(f"{key}: an object is needed, not {quoted(value)}")
    return value


def read_list(value: Any, key: str) -> list:
    """Reads a JSON array."""
    if not isinstance(value, list):
        raise ConfigError(f"{key}: a list is needed, not {quoted(value)}")
    return value


def quoted(value: Any) -> str:
    """Formats a value as JSON for an error message, shortened to 60 characters."""
    text = ujson.dumps(value) if value is not None else "nothing"
    return text if len(text) <= 60 else text[:57] + "..."


def read_choice(value: Any, key: str, choices: tuple[str, ...]) -> str:
    """Reads one of `choices`."""
    if value not in choices:
        raise ConfigError(f"{key}: {quoted(value)} is not one of {', '.join(choices)}")
    return value


def reject_unknown_keys(values: Mapping[str, Any], keys: Iterable[str], section: str) -> None:
    """Raises ConfigError if a section has a key that is not among `keys`."""
    for key in values:
        if key not in keys:
            raise ConfigError(f"{section}.{key}: no such key")


def read_address(value: Any, key: str, *, any_port: bool = False) -> tuple[str, int]:
    """Reads `ADDRESS:PORT` with an IPv4 address; host names are not resolved. `any_port` allows port 0."""
    host, _, port = read_text(value, key).rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ConfigError(f"{key}: {quoted(value)} is not IPv4-ADDRESS:PORT") from None
    if not port.isascii() or not port.isdigit() or not (0 if any_port else 1) <= int(port) <= 65535:
        raise ConfigError(f"{key}: {quoted(value)} has no port from 1 to 65535")
    return host, int(port)
