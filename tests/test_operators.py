"""Stories of what operators do, each told over loopback sockets against scripted peers."""

import trio
from helper import Peer, done, story, world

MGMT = {"mgmt": "127.0.0.1:0"}


@story
async def test_the_door_says_ready_and_tells_every_wrong_call_what_is_wrong():
    async with world(Peer("d1", done), **MGMT) as w:
        assert (await w.call("GET /_ready")).status == 200
        for call, status in (("GET /_nothing", 404), ("GET /tour", 404), ("GET /up", 404),
                             ("PUT /_ready", 405)):
            assert (await w.call(call)).status == status
        assert (await w.call("x", b"no call\r\n\r\n")).status == 400
        assert (await w.ask("/_ready", "GET")).status == 404  # clients have no way in


@story
async def test_silent_callers_hold_nobody_up_and_are_closed_in_a_second():
    async with world(Peer("d1", done), **MGMT) as w:
        began = trio.current_time()
        silent = [await trio.open_tcp_stream(*w.service.door.address) for _ in range(40)]
        for stream in silent[::2]:
            await stream.send_all(b"GET /_rea")
        assert (await w.call("GET /_ready")).status == 200
        assert trio.current_time() - began < 1.0
        for stream in silent:
            with trio.fail_at(began + 2.0):
                try:
                    while await stream.receive_some():
                        pass
                except trio.BrokenResourceError:
                    pass  # the half call was never read
        assert len(w.service.listener.clients) == 0  # they took no place of the clients'


@story
async def test_without_mgmt_there_is_no_door():
    async with world(Peer("d1", done)) as w:
        assert w.service.door is None
