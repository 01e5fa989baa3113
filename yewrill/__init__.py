"""yewrill: decides, for a dispatcher, which job goes to which worker, when, and which job is refused."""

from yewrill.decide import Dispatcher
from yewrill.interface import Settings

__all__ = ["Dispatcher", "Settings"]
__version__ = "0.1.0"
