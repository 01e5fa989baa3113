"""Call gapping and tenant quotas of one dispatcher.

Times are milliseconds, rates requests per millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from yewrill.policy import interface as api
from yewrill.policy.requests import ClassState

# Burst size of a call gap, in intervals between two admitted requests. With 1, random arrivals get only two
# thirds of the guaranteed rate.
MAX_SAVED_INTERVALS = 5.0
# Burst size of a tenant's token bucket: the requests that QUOTA_BURST_MS at its quota allows, plus
# QUOTA_BURST_REQUESTS.
QUOTA_BURST_MS = 3000.0
QUOTA_BURST_REQUESTS = 2.0
UNKNOWN_QUOTA = -1.0


@dataclass(slots=True)
class CallGap:
    """Call gap of one tenant and request class: admits `rate` requests per ms, with a limited burst."""

    rate: float = 0.0  # guaranteed rate in requests per millisecond (d in the paper)
    next_at: float = 0.0

    def admits(self, now: float) -> bool:
        """Returns whether the gap admits a request now, and charges the request if so."""
        if self.rate <= 0.0:
            return False
        interval = 1.0 / self.rate
        start = max(self.next_at, now - (MAX_SAVED_INTERVALS - 1.0) * interval)
        if start > now:
            return False
        self.next_at = start + interval
        return True


@dataclass(eq=False)
class TenantState:
    """Token bucket and call gaps of one tenant; a request that finds no token is above the quota."""

    updated_at: float = 0.0
    arrivals: int = 0
    even_quota: float = UNKNOWN_QUOTA  # the tenant's quota divided evenly among the dispatchers
    gaps: dict[ClassState, CallGap] = field(default_factory=dict)

    def reconfigure(self, spec: api.Tenant, classes: list[ClassState], dispatchers: int) -> None:
        """Applies changed settings; if the quota has changed, the bucket is refilled."""
        self.spec = spec
        self.gaps = {state: self.gaps.get(state) or CallGap() for state in classes}
        even_quota = spec.quota_per_s / 1000.0 / dispatchers
        if even_quota != self.even_quota:
            # `quota` is this dispatcher's part of the tenant's quota, which `learn_quota` adjusts.
            self.even_quota = self.quota = even_quota
            self.credit = even_quota * QUOTA_BURST_MS + QUOTA_BURST_REQUESTS

    def over_quota(self, now: float) -> bool:
        """Returns whether a request that arrives now is above the quota, and charges the quota if not."""
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
        """Adjusts this dispatcher's part of the quota to the arrivals of the period that ends now.

        A tenant whose traffic reaches few dispatchers sends each of them more than an even part. The part is
        adjusted slowly, so that a burst does not raise it."""
        rate = min(self.arrivals / period, self.even_quota * dispatchers)
        self.quota = max(self.even_quota, self.quota + weight * (rate - self.quota))
        self.arrivals = 0
