"""Until when a request that may have run may be sent again. Times are milliseconds on one clock.

Workers detect repeats of an idempotent-by-key request for a window that begins with its first attempt. A
permission to send ends with it, so it is asked for when an attempt is chosen and again before its first byte.
"""

from __future__ import annotations

from math import inf

from yewrill.policy.interface import Idempotency

# Longest time for which a process may be held up between reading its clock and writing.
MAX_HOLD_UP_MS = 150.0
# Time by which the protocol extends each time limit for requests over sockets.
PROTOCOL_TOLERANCE_MS = 50.0
NO_LIMIT = inf
NEVER = -inf
# Module-level aliases: accessing a member through its enum class costs a function call in Python 3.11.
_IDEMPOTENT, _IDEMPOTENT_BY_KEY, _NON_IDEMPOTENT = Idempotency


def repeat_until(idempotency: Idempotency, window: float, first_sent_at: float | None) -> float:
    """Returns the time from which a request may not be sent again: NO_LIMIT, NEVER or a time.

    `window`: for how long workers detect repeats, from the first attempt that may have run; `first_sent_at`:
    when that attempt was sent, None if there is none."""
    if first_sent_at is None or idempotency == _IDEMPOTENT:
        return NO_LIMIT
    if idempotency == _NON_IDEMPOTENT:
        return NEVER
    return first_sent_at + window + PROTOCOL_TOLERANCE_MS - MAX_HOLD_UP_MS


def shares_group(group: str, zone: int, cell: int, other_zone: int, other_cell: int) -> bool:
    """Returns whether two workers detect each other's repeats. `group`: "all", "zone" or "cell"."""
    if group == "all":
        return True
    if group == "zone":
        return zone == other_zone
    return cell == other_cell
