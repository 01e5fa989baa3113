"""Messages of other parts as cargo of datagrams, in parts where they are longer than one."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import msgpack

MOST_PART = 900  # bytes of a part
MOST_PARTS = 256
MOST_OPEN = 32  # messages of which some parts are there


class Malformed(Exception):
    """Bytes that are no such message."""


def cut(data: bytes, number: int) -> list[bytes]:
    """A message as datagrams' cargo: each with its number, its place and how many there are."""
    parts = [data[at : at + MOST_PART] for at in range(0, len(data), MOST_PART)] or [b""]
    if len(parts) > MOST_PARTS:
        raise Malformed("too long")
    return [msgpack.packb([number, at, len(parts), part]) for at, part in enumerate(parts)]


@dataclass
class Joiner:
    """Puts parts together again. Bounded; who begins too many loses the oldest."""

    _open: OrderedDict[tuple[str, int], dict[int, bytes]] = field(default_factory=OrderedDict)

    def take(self, sender: str, cargo: bytes) -> bytes | None:
        """A whole message, once its last part has come. Raises Malformed."""
        try:
            number, at, count, part = msgpack.unpackb(cargo)
            if (
                not 0 <= at < count <= MOST_PARTS
                or not isinstance(part, bytes)
                or len(part) > MOST_PART
            ):
                raise ValueError("part")
        except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
            raise Malformed(str(error)) from error
        if count == 1:
            return part
        parts = self._open.setdefault((sender, number), {})
        parts[at] = part
        if len(parts) < count:
            while len(self._open) > MOST_OPEN:
                self._open.popitem(last=False)
            return None
        del self._open[sender, number]
        return b"".join(parts[i] for i in range(count))
