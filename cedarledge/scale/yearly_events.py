"""Failures and changes of an ordinary year, with the cost of each for the fleet."""

from __future__ import annotations

from cedarledge.scale import assumptions, target
from cedarledge.scale.figures import Basis, Figure, Slopes, arithmetic
from cedarledge.scale.own_load import machine_load
from cedarledge.scale.page import Table, figure_rows


def year_table(slopes: Slopes) -> Table:
    """Returns the table with a row for each figure of an event.

    80 is the number of machine failures and restarts per day, and 600 s is how long membership keeps a dead
    member (DEAD_RETENTION in peers/machine.py).
    """
    load, connections_per_relay = machine_load(slopes), target.CONNECTIONS_PER_RELAY
    relays_per_zone = target.RELAYS_PER_ZONE
    returning_connections = relays_per_zone * connections_per_relay / (target.RELAYS - relays_per_zone)
    death_known_seconds = slopes.at("membership", "death_seen_all", target.RELAYS)
    reopening_seconds = load.open_ms.times(returning_connections / 1000 / assumptions.REOPEN_CORE_SHARE)
    daily_moved_share = (target.RESTARTS_PER_DAY + target.MACHINE_FAILURES_PER_DAY) / target.RELAYS
    rows = (
        ("machine fails: connections that come back elsewhere", arithmetic(connections_per_relay)),
        ("machine fails: to each other relay", arithmetic(connections_per_relay / (target.RELAYS - 1))),
        ("machine fails: s until all relays hold it dead", death_known_seconds),
        ("machine fails: share of the fleet's relays that notice", arithmetic(1.0)),
        ("machine fails: shards that get another owner", arithmetic(target.SHARDS_PER_RELAY)),
        ("failures and restarts: share of connections moved a day", arithmetic(daily_moved_share)),
        ("failures and restarts: s between two", arithmetic(target.SECONDS_PER_DAY / 80)),
        (
            "rack or switch: connections that come back, 20 relays",
            arithmetic(assumptions.RELAYS_PER_RACK * connections_per_relay),
        ),
        ("zone: connections that come back", arithmetic(relays_per_zone * connections_per_relay)),
        ("zone: to each relay that is left", arithmetic(returning_connections)),
        ("zone: s to open them at half a core a relay", reopening_seconds),
        ("zone: opens/s a relay meanwhile", _rate_per_second(returning_connections, reopening_seconds)),
        ("zone: opens/s a relay within 60 s, paced", arithmetic(returning_connections / 60)),
        ("region cut off: relays that hold the others dead", arithmetic(target.RELAYS / target.REGIONS)),
        ("region cut off: s until they are forgotten", arithmetic(600)),
        ("region back: bytes of one full exchange", _full_exchange()),
        (
            "region back: s of the control bytes that one takes",
            _full_exchange().times(1 / target.CONTROL_BYTES_PER_SECOND),
        ),
        *_record_propagation_rows(slopes),
        ("all relays back within a second: share of whole views a minute later", _whole_view_share(slopes)),
        ("one bad change a day: relays that follow it before anyone can refuse", arithmetic(target.RELAYS)),
    )
    return Table(
        "year",
        ("event", "figure", "basis"),
        figure_rows(rows),
    )


def _record_propagation_rows(slopes: Slopes) -> tuple[tuple[str, Figure], ...]:
    """Returns the rows of how long a change takes to reach the relays.

    The time is that of a changed membership record, the most similar mechanism that exists.
    """
    relay_shares = (
        ("half", "change_known_half"),
        ("99 in 100", "change_known_99"),
        ("all", "change_known_all"),
    )
    situations = (
        ("on an ordinary day", "membership"),
        ("with records that stay", "membership_still"),
        ("a tenth of datagrams lost", "membership_loss_10"),
        ("a minute after all relays started at once", "hollow"),
    )
    return tuple(
        (f"a changed record, {situation}: s until {relays} know it", slopes.at(run, quantity, target.RELAYS))
        for situation, run in situations
        for relays, quantity in relay_shares
    )


def _whole_view_share(slopes: Slopes) -> Figure:
    return slopes.at("hollow", "whole_view_share", target.RELAYS)


def _rate_per_second(count: float, seconds: Figure) -> Figure:
    if seconds.is_missing or not seconds.value:
        return Figure(0.0, Basis.NONE)
    return seconds._replace(value=count / seconds.value)


def _full_exchange() -> Figure:
    """Returns the bytes of the membership records of all relays."""
    return arithmetic(target.RELAYS * assumptions.RECORD_BYTES)
