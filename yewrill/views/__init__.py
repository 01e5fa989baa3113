"""Agreed views: numbered lists of members, each agreed on by a majority of the previous one, with leases.

Guarantees: there are no two views with the same number, and all leases held at one time are in the same view
or in two consecutive ones. The holder of a lease has exchanged messages, in both directions and possibly
through other members, with a majority of its view within the duration of that lease. A fleet that starts all
at once forms a view in batches, within its bandwidth budgets. There may be no view while no majority can
communicate.

`machine.py` is the state machine of one process and `view_member.py` its part in one view: `agreement.py`
votes on the next view, `lease_renewal.py` renews the lease, `cut.py` detects faulty members, `attestation.py`
tells proposers who attests which joiners, `admission.py` orders the joiners, `bootstrap.py` forms the first
view, `timing.py` has the timing and the evidence about one edge (a pair of members that monitor each other),
and `format.py` is the wire format. None of these does I/O; `facade.py` is the subsystem of the service. The
design is explained in docs/views-design.md.
"""
