"""A long timeout of one client does not affect the requests of other clients.

Guards against a usual client timeout that follows the longest one: it would have the requests of all other
clients taken for late retries and rejected.
"""

import pytest
from helper import ScriptedWorker, done, running_service, trio_test

CLASS_DEADLINE_MS = 3000  # deadline in the settings of helper.py
REQUESTS = 20


@pytest.mark.parametrize("longest", [60_000, CLASS_DEADLINE_MS])
@pytest.mark.parametrize("usual", [2000, 600])
@trio_test
async def test_one_client_with_a_long_timeout_does_not_cause_rejections_on_an_idle_fleet(
    longest, usual
):
    workers = [ScriptedWorker(f"d{i}", done) for i in range(3)]
    async with running_service(*workers) as harness:
        for number in range(REQUESTS):
            reply = await harness.ask(X_Request_ID=f"before{number}", X_Timeout_Ms=str(usual))
            assert reply.status == 200
        assert (await harness.ask(X_Request_ID="patient", X_Timeout_Ms=str(longest))).status == 200
        after = [
            (await harness.ask(X_Request_ID=f"after{number}", X_Timeout_Ms=str(usual))).status
            for number in range(REQUESTS)
        ]
        assert after == [200] * REQUESTS
