"""Reads and writes W3C Trace Context (`traceparent`, `tracestate`). No input of a client raises an error.

Sources: https://www.w3.org/TR/trace-context-2/, sections 3.2 and 3.3; for the member `ot` of tracestate,
OpenTelemetry's "TraceState: Probability Sampling".
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
MAX_STATE_LENGTH = 512  # number of characters of `tracestate` that are propagated
_OTEL_MEMBER = "ot"


@dataclass(slots=True)
class Context:
    """A request's position in a trace: the trace id and the parent span.

    An instance is never changed. The class is not a frozen dataclass, since those are slower to create.
    """

    trace: str  # trace id of 32 hexadecimal digits
    # Id of the parent span, 16 hexadecimal digits; empty if the trace begins at this dispatcher.
    parent: str = ""
    sampled: bool = False  # the caller's sampled flag
    state: tuple[tuple[str, str], ...] = ()  # members of tracestate other than `ot`
    threshold: str | None = None  # `th` of `ot`: the sampling threshold of an earlier hop
    randomness: str | None = None  # `rv` of `ot`, which replaces the random bits of the trace id

    @property
    def random(self) -> int:
        """56 random bits for sampling, the same at every hop of the trace."""
        return int(self.randomness if self.randomness is not None else self.trace[-14:], 16)


def read(parent: str | None, state: str | None) -> Context | None:
    """Parses a request's headers. Returns None if there is no valid `traceparent`."""
    match = _PARENT.fullmatch(parent.strip(" \t")) if parent is not None else None
    if match is None:
        return None
    version, trace, span, flags, rest = match.groups()
    if version == "ff" or (version == "00" and rest) or not int(trace, 16) or not int(span, 16):
        return None
    context = Context(trace, span, bool(int(flags, 16) & SAMPLED))
    return _with_state(context, state) if state else context


def _with_state(context: Context, text: str) -> Context:
    """Adds `tracestate`; a malformed one is dropped as a whole, as the standard requires."""
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
    kept = tuple((name, value) for name, value in members if name != _OTEL_MEMBER)
    context = replace(context, state=kept)
    for name, value in members:
        if name == _OTEL_MEMBER:
            subkeys = dict(item.partition(":")[::2] for item in value.split(";"))
            threshold, randomness = subkeys.get("th"), subkeys.get("rv")
            if threshold is not None and _HEX.fullmatch(threshold):
                context = replace(context, threshold=threshold)
            if randomness is not None and len(randomness) == 14 and _HEX.fullmatch(randomness):
                context = replace(context, randomness=randomness)
    return context


def parent_header(trace: str, span: str, sampled: bool) -> str:
    """Returns the value of `traceparent`."""
    return f"00-{trace}-{span}-{'01' if sampled else '00'}"


def state_header(context: Context, threshold: str | None) -> str:
    """Returns the value of `tracestate`; "" if it would be empty.

    The member `ot` comes first, since the standard puts the most recently changed member first. Members at
    the end are dropped where the limits of count or length are exceeded.
    """
    entries = [f"th:{threshold}"] if threshold is not None else []
    if context.randomness is not None:
        entries.append(f"rv:{context.randomness}")
    members = [f"{_OTEL_MEMBER}={';'.join(entries)}"] if entries else []
    for name, value in context.state[: MAX_MEMBERS - 1]:
        if sum(map(len, members)) + len(members) + len(name) + len(value) + 1 > MAX_STATE_LENGTH:
            break
        members.append(f"{name}={value}")
    return ",".join(members)
