"""Call gapping and tenant quotas at this dispatcher. Times are milliseconds, rates requests a millisecond."""

from __future__ import annotations

from dataclasses import dataclass, field

from yewrill.policy import interface as api
from yewrill.policy.requests import ClassState

# Intervals that a gap may save up; at 1 a random stream loses a third of its guaranteed rate.
SAVED_INTERVALS = 5.0
QUOTA_BURST_MS = 3000.0  # a tenant may run ahead of its quota by this much traffic
QUOTA_BURST_REQUESTS = 2.0  # and by so many requests
UNKNOWN_QUOTA = -1.0


@dataclass(slots=True)
class CallGap:
    """Call gapping of one tenant's requests of one class: one every 1/rate, a few intervals may be saved
    up."""

    rate: float = 0.0  # d
    next_at: float = 0.0

    def admits(self, now: float) -> bool:
        """Whether a request passes now; if so, it is charged."""
        if self.rate <= 0.0:
            return False
        interval = 1.0 / self.rate
        start = max(self.next_at, now - (SAVED_INTERVALS - 1.0) * interval)
        if start > now:
            return False
        self.next_at = start + interval
        return True


@dataclass(eq=False)
class TenantState:
    """A tenant's quota here: its token bucket says which of its traffic is beyond the quota."""

    updated_at: float = 0.0
    arrivals: int = 0
    even_quota: float = UNKNOWN_QUOTA  # an even part for each dispatcher
    gaps: dict[ClassState, CallGap] = field(default_factory=dict)

    def reconfigure(self, spec: api.Tenant, classes: list[ClassState], dispatchers: int) -> None:
        """Take up changed settings; the bucket is filled anew where the quota has changed."""
        self.spec = spec
        self.gaps = {state: self.gaps.get(state) or CallGap() for state in classes}
        even_quota = spec.quota_per_s / 1000.0 / dispatchers
        if even_quota != self.even_quota:
            self.even_quota = self.quota = even_quota  # our part, which is learned
            self.credit = even_quota * QUOTA_BURST_MS + QUOTA_BURST_REQUESTS

    def over_quota(self, now: float) -> bool:
        """Whether a request that arrives now is beyond the quota; if not, it is charged."""
        if self.spec.quota_per_s <= 0.0:
            return False
        full = self.quota * QUOTA_BURST_MS + QUOTA_BURST_REQUESTS
        self.credit = min(full, self.credit + (now - self.updated_at) * self.quota)
        self.updated_at = now
        if self.credit < 1.0:
            return True
        self.credit -= 1.0
        return False

    def learn_quota(self, period: float, weight: float, dispatchers: int) -> None:
        """Learn this dispatcher's part of the quota from the arrivals of the period that ends.

        A tenant that reaches few dispatchers sends each of them more than an even part. The part is learned
        slowly, so that a burst is not taken for it."""
        rate = min(self.arrivals / period, self.even_quota * dispatchers)
        self.quota = max(self.even_quota, self.quota + weight * (rate - self.quota))
        self.arrivals = 0
