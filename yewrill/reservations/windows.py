"""Windows of wall time, and those of a recurrence in a named zone. Pure, but for the zone's file.

A local time that a change of clocks leaves out begins as much later as the clocks jump; one that comes twice
is its first; a window's length is elapsed time.
"""

from __future__ import annotations

import re
from datetime import UTC, datetime
from zoneinfo import ZoneInfo

from dateutil.rrule import rrule, rrulestr
from msgspec import Struct

MINUTE = 60_000  # ms, the grid
MOST_RULE = 512  # characters
_FINE = ("SECONDLY", "MINUTELY", "HOURLY", "BYSECOND", "BYMINUTE", "BYHOUR")


class Window(Struct, frozen=True, array_like=True):
    """[start, end), milliseconds of wall time since 1970."""

    start: int
    end: int


def occurrences(
    rule: str, zone_name: str, first_local: datetime, length_ms: int, until: int, most: int
) -> tuple[Window, ...]:
    """The windows of an RFC 5545 rule from `first_local` (no zone) on that end by `until` (ms), ascending.

    ValueError: a rule or zone that can't be read, finer than a day, more than `most` windows, none, or one
    that begins before another ends.
    """
    if length_ms < MINUTE or length_ms % MINUTE or first_local.second or first_local.microsecond:
        raise ValueError("windows begin at full minutes and last full minutes")
    if first_local.tzinfo is not None:
        raise ValueError("the first time is a local one, without an offset")
    try:
        zone = ZoneInfo(zone_name)
    except (ValueError, OSError, KeyError):
        raise ValueError(f"there is no time zone {zone_name[:64]!r}") from None
    found: list[Window] = []
    for local in _read(rule, first_local):
        start = _wall(local, zone)
        if start + length_ms > until:
            break
        if len(found) == most:
            raise ValueError(f"the rule gives more than {most} windows")
        if found and start < found[-1].end:
            raise ValueError(
                f"a window begins before the one before it ends: {local:%Y-%m-%d %H:%M}"
            )
        found.append(Window(start, start + length_ms))
    if not found:
        raise ValueError("the rule gives no window in time")
    return tuple(found)


def _read(rule: str, first: datetime) -> rrule:
    """A rule of days or more: finer ones could be searched for long without an occurrence."""
    if len(rule) > MOST_RULE or "\n" in rule or any(word in rule.upper() for word in _FINE):
        raise ValueError(
            "a rule is one line, repeats by days or more, and keeps the first's time of day"
        )
    if "INTERVAL" in rule.upper() and not re.search(r"INTERVAL=0*[1-9]\d*(;|$)", rule.upper()):
        raise ValueError("a rule's interval is 1 or more")
    try:
        made = rrulestr(rule, dtstart=first)
    except (ValueError, TypeError, KeyError, AttributeError) as wrong:
        raise ValueError(f"the rule can't be read: {wrong}") from None
    if not isinstance(made, rrule):
        raise ValueError("the rule can't be read: one rule is asked for")
    return made


def _wall(local: datetime, zone: ZoneInfo) -> int:
    """fold=0 takes the first of two, and for a missing time the offset from before the jump: so it is later
    by the jump."""
    aware = local.replace(tzinfo=zone, fold=0)
    return int(aware.astimezone(UTC).timestamp()) * 1000
