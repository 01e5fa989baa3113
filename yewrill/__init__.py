"""yewrill: a dispatcher that decides which worker runs each request and when, and which are rejected."""

from yewrill.policy import Dispatcher
from yewrill.policy.interface import Settings

__all__ = ["Dispatcher", "Settings"]
__version__ = "0.1.0"
