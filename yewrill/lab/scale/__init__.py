"""Scale tests: the cost of a dispatcher's control plane, by the size of the fleet.

The control plane of a dispatcher is its membership, views and zone failover. `virtual.py` simulates it in
virtual time, with the production codecs and send budgets, and `events.py` measures failures and restarts in
that simulation. `fleet.py` starts a fleet of processes on loopback: real dispatchers with the shipped
configuration, and *hollow* ones (`hollow.py`), which run the same control plane but serve no requests, many
to a process; `measure.py` measures such a fleet with the process statistics of `sampling.py`. `module.py`
measures the policy module and the endpoint list. `plan.py` has the planned sizes and the budgets, `fit.py`
fits lines through measurements, and `page.py` renders the capacity page. The dispatcher itself imports
none of these modules.
"""
