"""The policy module: admission, queueing, worker selection and retries, as a pure state machine.

It does no I/O and has no clock; its random numbers come from a generator seeded by the caller.

The overload control is that of Andersson, Nyberg and Kihl (ITCom 2003), and equation numbers refer to that
paper: a *selector* queues requests, earliest deadline first; a *controller* tests, whenever a request arrives
or leaves the queue, whether the time constraints can be met; a *gate* rejects part of the arriving requests
under overload. Times are milliseconds.

`Dispatcher.handle` takes the events of one point in time and returns the resulting actions; both are defined
in `interface`. `Dispatcher` combines `admission` (with `controller` and `call_gapping`), `worker_selection`,
`attempts`, and `fleet` (with `fleet_estimate` and `worker_estimate`, which uses `slow_start` and `ejection`).
`subset`, `rendezvous_hashing` and `client_timeout` are independent algorithms; `settings_codec` decodes the
settings. See docs/design.md.
"""

from yewrill.policy.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
