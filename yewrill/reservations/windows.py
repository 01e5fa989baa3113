"""Windows of wall time, and the windows of a recurrence rule in a named time zone.

A local time that doesn't exist because the clocks go forward is moved later by the same amount; a local time
that occurs twice is the first of the two. A window's length is elapsed time. The only I/O of this module is
reading time zone files.
"""

from __future__ import annotations

import re
from datetime import UTC, datetime
from zoneinfo import ZoneInfo

from dateutil.rrule import rrule, rrulestr
from msgspec import Struct

MINUTE = 60_000  # milliseconds in a minute; all windows begin and end at full minutes
MAX_RULE_CHARACTERS = 512
_SUBDAY_KEYWORDS = ("SECONDLY", "MINUTELY", "HOURLY", "BYSECOND", "BYMINUTE", "BYHOUR")


class Window(Struct, frozen=True, array_like=True):
    """A span [start, end) in milliseconds of wall time since 1970."""

    start: int
    end: int


def occurrences(
    rule: str,
    zone_name: str,
    first_local: datetime,
    length_ms: int,
    latest_end_ms: int,
    max_windows: int,
) -> tuple[Window, ...]:
    """Returns the windows of an RFC 5545 rule, in ascending order.

    The first window begins at `first_local` (a local time without zone) or later, and the last one ends by
    `latest_end_ms`. Raises ValueError if the rule or the zone can't be read, the rule repeats within a day,
    it gives no window or more than `max_windows`, or a window begins before the one before it ends.
    """
    if length_ms < MINUTE or length_ms % MINUTE or first_local.second or first_local.microsecond:
        raise ValueError("a window has to begin at a full minute and last full minutes")
    if first_local.tzinfo is not None:
        raise ValueError("the first time has to be a local time without an offset")
    try:
        zone = ZoneInfo(zone_name)
    except (ValueError, OSError, KeyError):
        raise ValueError(f"there is no time zone {zone_name[:64]!r}") from None
    found: list[Window] = []
    for local in _parse_rule(rule, first_local):
        start = _to_utc_ms(local, zone)
        if start + length_ms > latest_end_ms:
            break
        if len(found) == max_windows:
            raise ValueError(f"the rule gives more than {max_windows} windows")
        if found and start < found[-1].end:
            raise ValueError(
                f"a window begins before the one before it ends: {local:%Y-%m-%d %H:%M}"
            )
        found.append(Window(start, start + length_ms))
    if not found:
        raise ValueError("the rule gives no window before the latest end")
    return tuple(found)


def _parse_rule(rule: str, first_local: datetime) -> rrule:
    """Parses a rule that repeats by days or more; a finer one could be searched long without a result."""
    if (
        len(rule) > MAX_RULE_CHARACTERS
        or "\n" in rule
        or any(word in rule.upper() for word in _SUBDAY_KEYWORDS)
    ):
        raise ValueError(
            "a rule has to be one line, not too long, repeat by days or more, and set no time of day"
        )
    if "INTERVAL" in rule.upper() and not re.search(r"INTERVAL=0*[1-9]\d*(;|$)", rule.upper()):
        raise ValueError("a rule's interval has to be 1 or more")
    try:
        parsed = rrulestr(rule, dtstart=first_local)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise ValueError(f"the rule can't be read: {error}") from None
    if not isinstance(parsed, rrule):
        raise ValueError("the rule can't be read: expected exactly one rule")
    return parsed


def _to_utc_ms(local: datetime, zone: ZoneInfo) -> int:
    """Converts a local time to milliseconds since 1970.

    fold=0 takes the first of two equal local times; for a time that doesn't exist it takes the offset before
    the change of clocks, which makes the time later by the amount of the change.
    """
    aware = local.replace(tzinfo=zone, fold=0)
    return int(aware.astimezone(UTC).timestamp()) * 1000
