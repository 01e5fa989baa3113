"""Scale tests: how large a fleet of dispatchers may get, and what its control costs.

`plan.py` has the planned sizes and budgets, `fit.py` turns measurements at several sizes into slopes.
`virtual.py` runs the control stack (membership and views, in its real format and within its real budgets) in
virtual time; `fleet.py` runs it as processes on loopback: real dispatchers as they ship beside *hollow* ones
(`hollow.py`), which have the same control and serve nothing, many a process. `sampling.py` reads what a
process costs. Nothing here is imported by the dispatcher.
"""
