"""The management listener, with one call to a connection; what the calls do is given to it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from urllib.parse import parse_qsl

from yewrill.net.client_connection import ClientConnection
from yewrill.net.http import BadRequest, HttpRequest, Reply
from yewrill.net.listener import Listener

MAX_CALLERS = 24  # at once, of the reserved descriptors
REQUEST_TIMEOUT_SECONDS = 1.0  # for a whole call to come
NAME = "name"  # the parameter that names what a call is about


@dataclass(frozen=True, slots=True)
class Call:
    """One call of operators. If it is `named`, its action gets the name that the call states."""

    method: str
    act: Callable[..., Awaitable[Reply]]
    named: bool = False


class ManagementListener:
    """Answers operators' calls, by method and path."""

    def __init__(self, address: tuple[str, int], calls: Mapping[str, Call]):
        self._calls = calls
        self._listener = Listener(
            address,
            self._handle,
            MAX_CALLERS,
            request_timeout=REQUEST_TIMEOUT_SECONDS,
            log_name="management",
        )

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self._listener.address

    async def run(self) -> None:
        """Answer until `close`."""
        await self._listener.run()

    def close(self) -> None:
        """Take no more calls."""
        self._listener.stop_accepting()  # nobody is left to serve it

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
            return await call.act()
        names = [value for key, value in parse_qsl(query, keep_blank_values=True) if key == NAME]
        if len(names) != 1 or not names[0]:
            raise BadRequest(400, f"one {NAME} is needed")
        return await call.act(names[0])
