"""The tables of docs/CAPACITY.md, computed from the committed run records, the target and the assumptions."""

from __future__ import annotations

from collections.abc import Mapping

from cedarledge.scale import target
from cedarledge.scale.candidates import candidates_table
from cedarledge.scale.control_budget import control_tables
from cedarledge.scale.figures import Slopes, arithmetic
from cedarledge.scale.own_load import machine_load_table
from cedarledge.scale.page import Table, figure_rows
from cedarledge.scale.roles import roles_table
from cedarledge.scale.run_tables import comparison_table, curves_table, runs_table
from cedarledge.scale.slopes import MeasurementRun
from cedarledge.scale.yearly_events import year_table


def tables(runs: Mapping[str, MeasurementRun]) -> list[Table]:
    """Returns all tables of the page in the order of the page."""
    slopes = Slopes(runs)
    return [
        target_table(),
        runs_table(runs),
        curves_table(slopes),
        comparison_table(slopes),
        machine_load_table(slopes),
        *control_tables(slopes),
        roles_table(slopes),
        year_table(slopes),
        candidates_table(slopes),
    ]


def target_table() -> Table:
    """Returns the table of values per relay that follow from the target alone."""
    rows = (
        ("connections a relay", arithmetic(target.CONNECTIONS_PER_RELAY)),
        ("deliveries a relay and second", arithmetic(target.DELIVERIES_PER_RELAY)),
        ("shards a relay", arithmetic(target.SHARDS_PER_RELAY)),
        (
            "listeners of the largest topic a relay",
            arithmetic(target.LARGEST_TOPIC_LISTENERS / target.RELAYS),
        ),
        ("relays a zone", arithmetic(target.RELAYS_PER_ZONE)),
        (
            "seconds between changes of configuration",
            arithmetic(target.SECONDS_PER_DAY / target.CONFIG_CHANGES_PER_DAY),
        ),
    )
    return Table(
        "target",
        ("figure", "value", "basis"),
        figure_rows(rows),
    )
