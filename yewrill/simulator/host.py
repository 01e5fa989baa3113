"""Hosts dispatchers behind the simulator's wire: decodes batches, routes events, encodes actions.

No decision is made here. `python -m yewrill.simulator.host` reads standard input and writes standard output.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import Any, BinaryIO

import orjson

from yewrill.policy import Dispatcher
from yewrill.policy import interface as api
from yewrill.simulator.codec import WireError, decode_event, decode_settings, encode_action

END = orjson.dumps({"what": "End"}) + b"\n"


class Host:
    """The instances of one process, each a dispatcher of its own that shares nothing with the others."""

    def __init__(self) -> None:
        self.instances: dict[int, Dispatcher] = {}

    def batch(self, now: float, messages: Iterable[dict[str, Any]]) -> list[bytes]:
        """Handle one batch and return the reply's lines."""
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
                if event is None:
                    continue
                if number in pending:
                    pending[number].append(event)
                else:
                    pending[number] = [event]
        lines: list[bytes] = []
        for number, events in pending.items():
            dispatcher = self.instances.get(number)
            if dispatcher is None:
                raise WireError(f"event for dispatcher {number}, which was not started")
            for action in dispatcher.handle(now, events):
                lines.append(encode_action(number, action))
        return lines


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    now: float | None = None
    messages: list[dict[str, Any]] = []
    loads = orjson.loads
    number = 0
    for line in source:
        number += 1
        try:
            message = loads(line)
            what = message["what"]
            if what == "End":
                if now is None:
                    raise WireError("'End' without a 'Tick' before it")
                reply = host.batch(now, messages)
                reply.append(END)
                sink.write(b"".join(reply))
                sink.flush()
                now, messages = None, []
            elif what == "Tick":
                if now is not None:
                    raise WireError("'Tick' before the last batch has ended")
                now = message["sim_time"]
            elif now is None:
                raise WireError(f"{what!r} outside a batch")
            else:
                messages.append(message)
        except orjson.JSONDecodeError as error:
            raise WireError(f"line {number}: not JSON: {error}") from error
        except (KeyError, TypeError) as error:
            raise WireError(f"line {number}: {type(error).__name__}: {error}") from error
        except WireError as error:
            raise WireError(f"line {number}: {error}") from error
    if now is not None:
        raise WireError(f"line {number}: the input ended within a batch")


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, ValueError) as error:
        print(f"yewrill: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
