"""Names the extra (optional dependencies of the package) that installs a missing module."""

from __future__ import annotations

EXTRA_BY_MODULE = {
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
    """Returns an error message of one line: the missing module, and how to install it."""
    extra = EXTRA_BY_MODULE.get((error.name or "").partition(".")[0])
    if extra is None:
        return f"{error.name} is not installed, and not part of any extra: reinstall yewrill"
    return f"{error.name} is not installed: pip install 'yewrill[{extra}]'"
