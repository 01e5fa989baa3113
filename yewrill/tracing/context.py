"""Reads and writes W3C Trace Context (`traceparent`, `tracestate`). Nothing here raises on a client's input.

Source: https://www.w3.org/TR/trace-context-2/, sections 3.2 and 3.3; the `ot` entry of tracestate after
OpenTelemetry's "TraceState: Probability Sampling". All names in ASCII.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

_PARENT = re.compile(r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-[ -~]*)?")
_KEY = re.compile(r"[a-z0-9][a-z0-9_\-*/]{0,240}(@[a-z][a-z0-9_\-*/]{0,13})?")
_VALUE = re.compile(r"[ -+\--<>-~]{0,255}[!-+\--<>-~]")
_HEX = re.compile(r"[0-9a-f]{1,14}")
SAMPLED = 1
MAX_MEMBERS = 32
MAX_STATE_LENGTH = 512  # characters passed on
_OURS = "ot"


@dataclass(slots=True)
class Context:
    """A request's position in a trace: the trace id and the parent span ("" if the trace begins here).

    Not changed after creation; not frozen, since that would slow down its creation.
    """

    trace: str  # 32 hexadecimal digits
    parent: str = ""  # 16
    sampled: bool = False  # the caller's sampled flag
    state: tuple[tuple[str, str], ...] = ()  # tracestate's members, without `ot`
    threshold: str | None = None  # th of `ot`: what an earlier hop has thinned by
    randomness: str | None = None  # rv of `ot`, in place of the trace id's own

    @property
    def random(self) -> int:
        """56 random bits, the same at every hop of the trace."""
        return int(self.randomness if self.randomness is not None else self.trace[-14:], 16)


def read(parent: str | None, state: str | None) -> Context | None:
    """Parse a request's headers; None if there is no valid `traceparent`."""
    match = _PARENT.fullmatch(parent.strip(" \t")) if parent is not None else None
    if match is None:
        return None
    version, trace, span, flags, rest = match.groups()
    if version == "ff" or (version == "00" and rest) or not int(trace, 16) or not int(span, 16):
        return None
    context = Context(trace, span, bool(int(flags, 16) & SAMPLED))
    return _with_state(context, state) if state else context


def _with_state(context: Context, text: str) -> Context:
    """Add `tracestate`; a malformed one is dropped as a whole, as the standard requires."""
    members: list[tuple[str, str]] = []
    names = set()
    for item in text.split(","):
        part = item.strip(" \t")
        if not part:
            continue
        name, equals, value = part.partition("=")
        if not equals or not _KEY.fullmatch(name) or not _VALUE.fullmatch(value) or name in names:
            return context
        names.add(name)
        members.append((name, value))
    if len(members) > MAX_MEMBERS:
        return context
    kept = tuple((name, value) for name, value in members if name != _OURS)
    context = replace(context, state=kept)
    for name, value in members:
        if name == _OURS:
            given = dict(item.partition(":")[::2] for item in value.split(";"))
            threshold, randomness = given.get("th"), given.get("rv")
            if threshold is not None and _HEX.fullmatch(threshold):
                context = replace(context, threshold=threshold)
            if randomness is not None and len(randomness) == 14 and _HEX.fullmatch(randomness):
                context = replace(context, randomness=randomness)
    return context


def parent_header(trace: str, span: str, sampled: bool) -> str:
    """The value of `traceparent`."""
    return f"00-{trace}-{span}-{'01' if sampled else '00'}"


def state_header(context: Context, threshold: str | None) -> str:
    """The value of `tracestate`, our member first, since we changed it last; "" if it would be empty."""
    ours = [f"th:{threshold}"] if threshold is not None else []
    if context.randomness is not None:
        ours.append(f"rv:{context.randomness}")
    members = [f"{_OURS}={';'.join(ours)}"] if ours else []
    for name, value in context.state[: MAX_MEMBERS - 1]:
        if sum(map(len, members)) + len(members) + len(name) + len(value) + 1 > MAX_STATE_LENGTH:
            break
        members.append(f"{name}={value}")
    return ",".join(members)
