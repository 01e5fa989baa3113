"""`yewrill zones ...`: see the fleet's plan of zones, and order or forbid a leave, at management listeners.

An order holds at the dispatchers that took it, until `return`; it stands above any plan, so it is given to
all of them: nothing that one member says to others can stand in for an operator. Exit status: 0 done
everywhere, 1 at some only.
"""

from __future__ import annotations

import sys
from urllib.parse import quote

import click
import ujson

from yewrill.net.management_client import addresses_option, call_all, describe_failure


@click.group()
def zones() -> None:
    """See the fleet's plan of zones; order or forbid a leave."""


@zones.command()
@addresses_option
@click.option(
    "--json", "as_json", is_flag=True, help="What each management listener said, as JSON."
)
def show(addresses: tuple[str, ...], as_json: bool) -> None:
    """The plan as each dispatcher holds it, and why."""
    answers = call_all(addresses, "GET", "/_zones")
    plans = {address: ujson.loads(body) for address, status, body in answers if status == 200}
    failed = [(address, status, body) for address, status, body in answers if status != 200]
    if as_json:
        click.echo(ujson.dumps(plans, indent=1))
    else:
        for address, said in plans.items():
            doubt = "  doubts itself" if said.get("own_doubt") else ""
            click.echo(
                f"{address}  plan {said['plan']} {said.get('digest', '')}{doubt}  {said.get('why', '')}"
            )
            for zone in said["zones"]:
                order = f"  order: {zone['order']}" if zone["order"] else ""
                click.echo(
                    f"  {zone['zone']:<16} share {zone['share']:.2f}  by plan {zone['by_plan']:.2f}  "
                    f"slots {zone['slots']:g}  lost {zone['lost']} of {zone['ended']}{order}"
                )
        if len({said.get("digest", "") for said in plans.values()}) > 1:
            click.echo("the plans differ")
    _tell_failed(failed)


def _order(order: str, zone: str, addresses: tuple[str, ...]) -> None:
    answers = call_all(addresses, "PUT", f"/_zones/{order}?name={quote(zone, safe='')}")
    click.echo(
        f"{order} {zone}: {sum(status == 200 for _, status, _ in answers)} of {len(addresses)} dispatchers"
    )
    _tell_failed([answer for answer in answers if answer[1] != 200])


def _tell_failed(failed: list[tuple[str, int, bytes]]) -> None:
    for address, status, body in failed:
        click.echo(describe_failure(address, status, body), err=True)
    if failed:
        sys.exit(1)


@zones.command()
@click.argument("zone")
@addresses_option
def leave(zone: str, addresses: tuple[str, ...]) -> None:
    """Send nothing new to a zone, whatever the plan says."""
    _order("leave", zone, addresses)


@zones.command()
@click.argument("zone")
@addresses_option
def pin(zone: str, addresses: tuple[str, ...]) -> None:
    """Never leave a zone by plan."""
    _order("pin", zone, addresses)


@zones.command(name="return")
@click.argument("zone")
@addresses_option
def bring_back(zone: str, addresses: tuple[str, ...]) -> None:
    """Lift an order; a zone that is left by plan gets its whole share at once."""
    _order("return", zone, addresses)
