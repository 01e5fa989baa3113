"""A request's own waiting time says nothing of the requests that others send."""

import pytest
from helper import Peer, done, story, world

CLASS_DEADLINE = 3000  # of the helper's settings
REQUESTS = 20


@pytest.mark.parametrize("longest", [60_000, CLASS_DEADLINE])
@pytest.mark.parametrize("usual", [2000, 600])
@story
async def test_one_client_with_a_long_timeout_has_no_others_rejected_on_an_idle_fleet(
    longest, usual
):
    peers = [Peer(f"d{i}", done) for i in range(3)]
    async with world(*peers) as w:
        for number in range(REQUESTS):
            reply = await w.ask(X_Request_ID=f"before{number}", X_Timeout_Ms=str(usual))
            assert reply.status == 200
        assert (await w.ask(X_Request_ID="patient", X_Timeout_Ms=str(longest))).status == 200
        after = [
            (await w.ask(X_Request_ID=f"after{number}", X_Timeout_Ms=str(usual))).status
            for number in range(REQUESTS)
        ]
        assert after == [200] * REQUESTS
