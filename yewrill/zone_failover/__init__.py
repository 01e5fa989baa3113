"""Leaving a failing zone as one fleet, and coming back at a pace that it bears.

Promises: a zone is left by plan only when more than half of the members outside it that have evidence see it
fail; members that can hear each other hold the same plan within a bounded time; a plan never gives way to an
older one; no single member, whatever it says under its own name, has a zone left or taken back; shares keep
to the guards. Does not promise that a zone cut off from few others is left by all, nor anything in a fleet
that is cut into halves: who is not of a majority makes no plan, and falls back to its own evidence.

`evidence.py` (pure) counts attempts by zone; `plan.py` (pure) is the plan, its order and the guards;
`machine.py` (pure) takes messages and the time, and gives messages back; `format.py` is their bytes; `Zones`
in `facade.py` is all that others use.
"""

from yewrill.zone_failover.facade import Zones, ZonesConfig

__all__ = ["Zones", "ZonesConfig"]
