"""`yewrill zones ...`: shows the failover plan, and orders a zone left or kept, through management listeners.

An order holds at the dispatchers that accepted it, until `return`, and overrides any plan. Dispatchers don't
pass orders on to each other, since no message from a member may count as an operator's order; so an order is
sent to all of them. Exit status: 0 if all dispatchers answered with success, else 1.
"""

from __future__ import annotations

import sys
from urllib.parse import quote

import click
import ujson

from yewrill.net.management_client import addresses_option, call_all, describe_failure


@click.group()
def zones() -> None:
    """Show the zone failover plan; order a zone left, or kept whatever the plan says."""


@zones.command()
@addresses_option
@click.option(
    "--json", "as_json", is_flag=True, help="Print the answer of each management listener as JSON."
)
def show(addresses: tuple[str, ...], as_json: bool) -> None:
    """Show the plan of each dispatcher, and why it changed."""
    answers = call_all(addresses, "GET", "/_zones")
    plans = {address: ujson.loads(body) for address, status, body in answers if status == 200}
    failed = [(address, status, body) for address, status, body in answers if status != 200]
    if as_json:
        click.echo(ujson.dumps(plans, indent=1))
    else:
        for address, said in plans.items():
            degraded = "  degraded" if said.get("own_doubt") else ""
            click.echo(
                f"{address}  plan {said['plan']} {said.get('digest', '')}{degraded}  {said.get('why', '')}"
            )
            for zone in said["zones"]:
                order = f"  order: {zone['order']}" if zone["order"] else ""
                click.echo(
                    f"  {zone['zone']:<16} share {zone['share']:.2f}  by plan {zone['by_plan']:.2f}  "
                    f"slots {zone['slots']:g}  lost {zone['lost']} of {zone['ended']}{order}"
                )
        if len({said.get("digest", "") for said in plans.values()}) > 1:
            click.echo("the dispatchers hold different plans")
    _report_failures(failed)


def _order(order: str, zone: str, addresses: tuple[str, ...]) -> None:
    answers = call_all(addresses, "PUT", f"/_zones/{order}?name={quote(zone, safe='')}")
    click.echo(
        f"{order} {zone}: {sum(status == 200 for _, status, _ in answers)} of {len(addresses)} dispatchers"
    )
    _report_failures([answer for answer in answers if answer[1] != 200])


def _report_failures(failed: list[tuple[str, int, bytes]]) -> None:
    for address, status, body in failed:
        click.echo(describe_failure(address, status, body), err=True)
    if failed:
        sys.exit(1)


@zones.command()
@click.argument("zone")
@addresses_option
def leave(zone: str, addresses: tuple[str, ...]) -> None:
    """Send no new requests to a zone, whatever the plan says."""
    _order("leave", zone, addresses)


@zones.command()
@click.argument("zone")
@addresses_option
def pin(zone: str, addresses: tuple[str, ...]) -> None:
    """Send a zone its normal traffic, whatever the plan says."""
    _order("pin", zone, addresses)


@zones.command(name="return")
@click.argument("zone")
@addresses_option
def bring_back(zone: str, addresses: tuple[str, ...]) -> None:
    """Lift an order. A zone that is also left by plan gets its normal traffic until the plan drops it."""
    _order("return", zone, addresses)
