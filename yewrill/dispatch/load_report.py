"""Parsing and validation of workers' load reports.

A report is `inflight=7,x0=1.5` in a header, or a JSON object in a line or a body. It is used as a whole or
not at all, and an invalid report never invalidates the response that carries it. Only the fields that the
settings name are kept; each must be present and a finite number from 0 to MAX_VALUE. The functions have no
side effects.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

# Above any count, rate or fraction that a worker can plausibly report.
MAX_VALUE = 1e6
MAX_HEADER_CHARACTERS = 1024
# Bound on all fields of a report, including those that the settings do not name.
MAX_FIELDS = 32


def from_header(text: str) -> Mapping[str, Any] | None:
    """Parses a header's value into pairs that are not validated yet; returns None if it is malformed."""
    if len(text) > MAX_HEADER_CHARACTERS:
        return None
    found: dict[str, Any] = {}
    for part in text.split(","):
        name, equals, value = part.strip().partition("=")
        if not equals or name in found:
            return None
        try:
            found[name] = float(value) if value.isascii() and "_" not in value else None
        except ValueError:
            return None
    return found


def read(reported: Any, fields: Sequence[str]) -> dict[str, float] | None:
    """Returns the named fields of a report, in the given order; None unless all of them are valid."""
    if not fields or not isinstance(reported, Mapping) or len(reported) > MAX_FIELDS:
        return None
    report: dict[str, float] = {}
    for name in fields:
        value = reported.get(name)
        if (
            isinstance(value, bool)
            or not isinstance(value, (int, float))
            or not 0.0 <= value <= MAX_VALUE
        ):
            return None
        report[name] = float(value)
    return report
