"""The management listener: operators' HTTP calls, one per connection, dispatched to given actions."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from urllib.parse import parse_qsl

from yewrill.net.client_connection import ClientConnection
from yewrill.net.http import BadRequest, HttpRequest, Reply
from yewrill.net.listener import Listener

# Number of calls served at a time; their sockets are taken from the reserved descriptors.
MAX_CONCURRENT_CALLS = 24
REQUEST_TIMEOUT_SECONDS = 1.0  # time within which a complete call must arrive
NAME_PARAMETER = "name"  # the query parameter that names the worker, zone or role concerned


@dataclass(frozen=True, slots=True)
class Call:
    """A management call. If it is `named`, its action receives the value of the `name` parameter."""

    method: str
    action: Callable[..., Awaitable[Reply]]
    named: bool = False


class ManagementListener:
    """Serves management calls by method and path."""

    def __init__(self, address: tuple[str, int], calls: Mapping[str, Call]):
        self._calls = calls
        self._listener = Listener(
            address,
            self._handle,
            MAX_CONCURRENT_CALLS,
            request_timeout=REQUEST_TIMEOUT_SECONDS,
            log_name="management",
        )

    @property
    def address(self) -> tuple[str, int]:
        """The address and port of the listening socket."""
        return self._listener.address

    async def run(self) -> None:
        """Serves calls until `close`."""
        await self._listener.run()

    def close(self) -> None:
        """Accepts no more calls."""
        self._listener.stop_accepting()  # calls in the backlog are not accepted: nothing would serve them

    async def _handle(self, client: ClientConnection, http_request: HttpRequest) -> bool:
        await client.send(client.http.encode_reply(await self._reply(http_request), close=True))
        return False

    async def _reply(self, http_request: HttpRequest) -> Reply:
        path, _, query = http_request.target.partition("?")
        call = self._calls.get(path)
        if call is None:
            raise BadRequest(404, "no such call")
        if http_request.method != call.method:
            raise BadRequest(405, f"{call.method} only", (("Allow", call.method),))
        if not call.named:
            return await call.action()
        names = [
            value
            for key, value in parse_qsl(query, keep_blank_values=True)
            if key == NAME_PARAMETER
        ]
        if len(names) != 1 or not names[0]:
            raise BadRequest(400, f"one {NAME_PARAMETER} is needed")
        return await call.action(names[0])
