"""Host process that runs dispatcher instances for the simulator.

It decodes batches, passes the events to the instances and encodes their actions; it makes no decisions
itself. `python -m yewrill.simulator.host` reads standard input and writes standard output.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import Any, BinaryIO

import orjson

from yewrill.policy import Dispatcher
from yewrill.policy import interface as api
from yewrill.policy.settings_codec import SettingsError, decode_settings
from yewrill.simulator.codec import WireError, decode_event, encode_action

END = orjson.dumps({"what": "End"}) + b"\n"


class Host:
    """The dispatcher instances of one process, by number. They share no state."""

    def __init__(self) -> None:
        self.instances: dict[int, Dispatcher] = {}

    def batch(self, now: float, messages: Iterable[dict[str, Any]]) -> list[bytes]:
        """Handles one batch and returns the lines of the reply.

        Raises `WireError`, `SettingsError` or `KeyError` for faulty messages."""
        pending: dict[int, list[api.Event]] = {}
        for message in messages:
            number = message["dispatcher_id"]
            what = message["what"]
            if what == "Boot":
                pending.pop(number, None)
                settings = decode_settings(message["config"])
                self.instances[number] = Dispatcher(settings, message["entropy"])
            elif what == "Destroy":
                pending.pop(number, None)
                self.instances.pop(number, None)
            else:
                event = decode_event(what, message)
                if event is not None:
                    pending.setdefault(number, []).append(event)
        lines: list[bytes] = []
        for number, events in pending.items():
            dispatcher = self.instances.get(number)
            if dispatcher is None:
                raise WireError(f"event for dispatcher {number}, which was not started")
            for action in dispatcher.handle(now, events):
                lines.append(encode_action(number, action))
        return lines


class BatchReader:
    """Collects the lines of a batch, from its 'Tick' to its 'End', and passes the batch to the host."""

    def __init__(self, host: Host):
        self._host = host
        self._now: float | None = None  # the simulated time of the open batch
        self._messages: list[dict[str, Any]] = []

    @property
    def open(self) -> bool:
        """Whether a batch has begun and not ended."""
        return self._now is not None

    def feed(self, line: bytes) -> list[bytes] | None:
        """Processes a line; returns the lines of the reply if it ends a batch, else None.

        Raises `WireError` for a message out of order, and what `Host.batch` raises."""
        message = orjson.loads(line)
        what = message["what"]
        if what == "End":
            if self._now is None:
                raise WireError("'End' without a 'Tick' before it")
            reply = self._host.batch(self._now, self._messages)
            self._now, self._messages = None, []
            return reply
        if what == "Tick":
            if self._now is not None:
                raise WireError("'Tick' before the last batch has ended")
            self._now = message["sim_time"]
        elif self._now is None:
            raise WireError(f"{what!r} outside a batch")
        else:
            self._messages.append(message)
        return None


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends. Raises `WireError` with the number of the faulty line."""
    reader = BatchReader(Host())
    number = 0
    for line in source:
        number += 1
        try:
            reply = reader.feed(line)
        except orjson.JSONDecodeError as error:
            raise WireError(f"line {number}: not JSON: {error}") from error
        except (KeyError, TypeError) as error:
            raise WireError(f"line {number}: {type(error).__name__}: {error}") from error
        except (WireError, SettingsError) as error:
            raise WireError(f"line {number}: {error}") from error
        if reply is not None:
            sink.write(b"".join([*reply, END]))
            sink.flush()
    if reader.open:
        raise WireError(f"line {number}: the input ended within a batch")


def main() -> int:
    """Serves standard input and output.

    Returns the exit status: 1 if the input is faulty, after a line on standard error."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, ValueError) as error:
        print(f"yewrill: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
