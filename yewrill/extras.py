"""What to tell when a module is not installed: the extra that brings it, if one does."""

from __future__ import annotations

EXTRA_OF = {
    "google": "tracing",
    "opentelemetry": "tracing",
    "structlog": "log",
    "msgpack": "members",
    "msgspec": "views",
    "google_crc32c": "store",
    "sortedcontainers": "store",
    "dateutil": "calendar",
}


def not_installed(error: ModuleNotFoundError) -> str:
    """One line for the operator: the module, and how to get it."""
    extra = EXTRA_OF.get((error.name or "").partition(".")[0])
    if extra is None:
        return f"{error.name} is not installed, and not part of any extra: install yewrill anew"
    return f"{error.name} is not installed: pip install 'yewrill[{extra}]'"
