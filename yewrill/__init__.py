"""yewrill: decides, for a dispatcher, which job goes to which worker, when, and which job is refused."""

from yewrill.policy import Dispatcher
from yewrill.policy.interface import Settings

__all__ = ["Dispatcher", "Settings"]
__version__ = "0.1.0"
