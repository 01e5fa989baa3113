"""The socket of the membership: datagrams in and out within their budgets, and the machine's time."""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio

from yewrill.members.format import MOST, Codec, Refused, Stranger
from yewrill.members.intake import Bucket, Intake
from yewrill.members.machine import STATES, Machine, Message, Out

log = logging.getLogger("yewrill.members")

Address = tuple[str, int]
Cargo = Callable[
    [bytes, str, Address], list[tuple[Address, bytes]]
]  # data, sender, address: what to say
ZONES, OWNERSHIP, VIEWS = 1, 2, 3  # whose cargo it is
TIDY = 30.0  # seconds between two looks at what may be forgotten


class Link:
    """A machine on a socket."""

    def __init__(
        self, machine: Machine, codec: Codec, socket: trio.socket.SocketType, bytes_per_s: float
    ):
        self.machine, self.codec = machine, codec
        self._socket = socket
        self._budget = Bucket(bytes_per_s)
        self._intake = Intake(bytes_per_s)
        self._changed = trio.Event()
        self._tidied = trio.current_time()
        self.refused: Counter[str] = Counter()
        self.sent = self.received = self.held_back = 0
        self.news = trio.Event()  # set and replaced when the list has changed
        self.cargo: dict[int, Cargo] = {}  # who takes it, by its first byte

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            while True:
                with trio.move_on_at(self.machine.due):
                    await self._changed.wait()
                self._changed = trio.Event()
                now = trio.current_time()
                if now >= self.machine.due:
                    await self.send(self.machine.tick(now))
                self._note()

    async def _receive(self) -> None:
        while True:
            try:
                data, source = await self._socket.recvfrom(MOST + 1)
            except OSError as error:  # what an earlier datagram met, told on the next call
                self.refused[f"socket {error.errno}"] += 1
                continue
            now = trio.current_time()
            self.received += len(data)
            if not self._intake.admits(now, source[:2], len(data)):
                continue
            try:
                sender, message = self.codec.decode(data, source[:2])
            except Stranger as stranger:
                await self._write(self.codec.hello(source[:2], stranger.run), source[:2])
                continue
            except Refused as refused:
                self.refused[str(refused)] += 1
                continue
            out = self.machine.receive(now, message, sender, source[:2])
            if message.kind == "cargo" and message.cargo and sender in self.machine.listed:
                take = self.cargo.get(message.cargo[0])
                if take is not None:
                    await self.say(message.cargo[0], take(message.cargo[1:], sender, source[:2]))
            if message.kind == "hello" and (said := self.codec.again(source[:2])) is not None:
                out.append((source[:2], said))
            await self.send(out)
            self._changed.set()

    async def say(self, part: int, out: list[tuple[Address, bytes]]) -> None:
        """Send what another part has to say to members."""
        mark = bytes((part,))
        await self.send([(address, Message("cargo", cargo=mark + data)) for address, data in out])

    async def send(self, out: list[Out]) -> None:
        for address, message in out:
            await self._write(self.codec.encode(message, address), address)

    async def _write(self, data: bytes, address: tuple[str, int]) -> None:
        if not self._budget.take(trio.current_time(), len(data)):
            self.held_back += 1
            return
        try:
            await self._socket.sendto(data, address)
            self.sent += len(data)
        except OSError as error:
            self.refused[f"send {error.errno}"] += 1

    def _note(self) -> None:
        """Tell of changes, and keep the books of those that are listed only."""
        machine = self.machine
        if machine.changes:
            for claim in machine.changes:
                log.info(
                    "member name=%s state=%s zone=%s incarnation=%d",
                    claim.name,
                    STATES[claim.state],
                    claim.zone,
                    claim.incarnation,
                )
            machine.changes.clear()
            addresses = [m.claim.address for m in machine.listed.values()]
            self._intake.know(addresses + machine.seeds)
            self.news.set()
            self.news = trio.Event()
        now = trio.current_time()
        if now - self._tidied > TIDY:
            self._tidied = now
            addresses = {m.claim.address for m in machine.listed.values()} | set(machine.seeds)
            self.codec.forget(set(machine.listed), addresses)

    @property
    def flooded(self) -> int:
        """Datagrams that were not looked at."""
        return self._intake.refused


@asynccontextmanager
async def open_link(
    address: tuple[str, int], make: type | object, keys: list[bytes], bytes_per_s: float
) -> AsyncIterator[Link]:
    """A link at an address; `make(address, now)` gives the machine once the port is known."""
    with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as socket:
        await socket.bind(address)
        machine: Machine = make(socket.getsockname()[:2], trio.current_time())
        run = random.SystemRandom().getrandbits(63) + 1
        codec = Codec(machine.me.name, run, keys, machine.rules.most_members)
        link = Link(machine, codec, socket, bytes_per_s)
        link._intake.know(list(machine.seeds))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            try:
                yield link
            finally:
                with trio.CancelScope(shield=True, deadline=trio.current_time() + 0.5):
                    await link.send(machine.leave(trio.current_time()))
                nursery.cancel_scope.cancel()
