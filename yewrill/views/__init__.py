"""Views: one numbered list of members that a majority agreed on, and who may act by it.

Promises: no two views of one number, and no leases of views of which neither follows the other; whoever holds
a lease has been heard by a majority of its view, and has heard it, within that lease. A fleet that starts at
once agrees within its budgets, batch by batch. It does not promise a view while no majority can talk.

`machine.py` (pure) is one process's side, `view_member.py` its part in one view: `agreement.py` votes on the
next one, `lease_renewal.py` renews the lease, `cut.py` detects who is out, `attestation.py` sends who attests
which joiners, `admission.py` orders the joiners, `bootstrap.py` makes the first view, `timing.py` has the
timing and the evidence of one edge, `format.py` the wire format; `facade.py` is the subsystem.
docs/views-design.md says why.
"""
