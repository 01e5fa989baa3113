"""Zone failover by agreement: all dispatchers leave a failing zone by one plan, and return to it in steps.

Guarantees: a zone is left by plan only if more than half of the members outside it that have evidence see it
fail. Members that can reach each other hold the same plan within a bounded time. A plan is never replaced by
an older one. No single member, whatever it sends under its own name, can have a zone left or taken back.
Traffic weights respect the capacity limits. Not guaranteed: that a zone which only a minority of members
can't reach is left by all, or anything in a fleet that is partitioned into halves: members outside a majority
make no plan and fall back to their own evidence.

`evidence.py` counts attempts by zone; `plan.py` is the plan, its order and the capacity limits; `machine.py`
is the agreement protocol as a state machine; `format.py` is the codec of its messages. These do no I/O. The
rest of the program uses `Zones` in `facade.py` only.
"""

from yewrill.zone_failover.facade import Zones, ZonesConfig

__all__ = ["Zones", "ZonesConfig"]
