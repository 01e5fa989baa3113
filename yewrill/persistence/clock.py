"""Reads the clocks for the times in stored records."""

from __future__ import annotations

import time
from pathlib import Path

from yewrill.persistence.attempts import Clocks

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
# Time that a record stays in the store beyond its retention window. The store expires records by the wall
# clock, which may be set, while windows are measured with the monotonic clock where possible. Expiry only
# limits the lifetime of records that no later run reads, so the margin can be wide.
EXPIRY_MARGIN_MS = 24 * 3_600_000.0


def read_boot_id() -> str:
    """Returns the id of the machine's current boot; "" where the system has none."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


def read_clocks(boot_id: str) -> Clocks:
    """Returns a reading of the clocks now, in ms."""
    return Clocks(time.time() * 1000.0, time.monotonic() * 1000.0, boot_id)
