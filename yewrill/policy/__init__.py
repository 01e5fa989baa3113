"""The decision module: every choice yewrill takes, no I/O, no clock and no randomness of its own.

The mechanism is the overload control of Andersson, Nyberg and Kihl (ITCom 2003); equation numbers are theirs:
a *selector* queues requests, earliest deadline first, a *controller* tests at each arrival and end
whether time constraints can be kept, a *gate* thins what comes in. Times are milliseconds.

`Dispatcher.handle` takes the events of one moment and returns the actions for it; both are in `interface`. It
joins the parts: `admission` with `controller` and `call_gapping`; `worker_selection`; `attempts`;
`fleet` with `fleet_estimate` and `worker_estimate`, which has `slow_start` and `ejection`. `subset`,
`rendezvous_hashing` and
`client_timeout` are plain arithmetic; `settings_codec` reads the settings. See docs/design.md.
"""

from yewrill.policy.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
