"""Fragmentation of other subsystems' messages, which may be larger than the payload of a datagram."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import msgpack

MAX_FRAGMENT_BYTES = 900
MAX_FRAGMENTS = 256
MAX_INCOMPLETE_MESSAGES = 32


class MalformedPayload(Exception):
    """A payload that is not a valid fragment, or a message that needs more than MAX_FRAGMENTS."""


def split_payload(data: bytes, number: int) -> list[bytes]:
    """Splits a message into fragments that each hold the message's number, their index and their count.

    Raises MalformedPayload if there would be more than MAX_FRAGMENTS.
    """
    fragments = [
        data[index : index + MAX_FRAGMENT_BYTES]
        for index in range(0, len(data), MAX_FRAGMENT_BYTES)
    ] or [b""]
    if len(fragments) > MAX_FRAGMENTS:
        raise MalformedPayload("message needs too many fragments")
    return [
        msgpack.packb([number, index, len(fragments), fragment])
        for index, fragment in enumerate(fragments)
    ]


@dataclass
class FragmentAssembler:
    """Reassembles messages; holds at most MAX_INCOMPLETE_MESSAGES and drops the oldest one beyond that."""

    _incomplete: OrderedDict[tuple[str, int], dict[int, bytes]] = field(default_factory=OrderedDict)

    def take(self, sender: str, payload: bytes) -> bytes | None:
        """Adds a fragment; returns the message once it is complete, else None. Raises MalformedPayload."""
        try:
            number, index, count, fragment = msgpack.unpackb(payload)
            if (
                not 0 <= index < count <= MAX_FRAGMENTS
                or not isinstance(fragment, bytes)
                or len(fragment) > MAX_FRAGMENT_BYTES
            ):
                raise ValueError("fragment index, count or size out of range")
        except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
            raise MalformedPayload(str(error)) from error
        if count == 1:
            return fragment
        fragments = self._incomplete.setdefault((sender, number), {})
        fragments[index] = fragment
        if len(fragments) < count:
            while len(self._incomplete) > MAX_INCOMPLETE_MESSAGES:
                self._incomplete.popitem(last=False)
            return None
        del self._incomplete[sender, number]
        return b"".join(fragments[i] for i in range(count))
