"""Load reports as workers send them: `inflight=7,x0=1.5` in a header, an object in a line or a body.

Pure. A report is taken whole or not at all: one that can't be believed costs itself, never the answer that
carries it. Only the fields that the settings name are kept; each must be there, and a finite number from 0 to
MAX_VALUE.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

MAX_VALUE = 1e6  # above any count, rate or fraction that a worker can mean
MAX_HEADER_CHARACTERS = 1024
MAX_FIELDS = 32  # of an object or a header, named by the settings or not


def from_header(text: str) -> Mapping[str, Any] | None:
    """The pairs of a header's value, not yet checked; None if it has another form."""
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
    """The named fields of a report, in the settings' order; None unless all of them make sense."""
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
