"""The error raised by all readers of the configuration."""

from __future__ import annotations


class ConfigError(Exception):
    """An invalid configuration or endpoint list. The message begins with the faulty key or file."""
