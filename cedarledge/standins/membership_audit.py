"""Compares the members that relays reported with what the schedule did to them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from cedarledge.standins.event_log import MembershipView, PeerTraffic, RelayLifetime
from cedarledge.standins.plan import Plan
from cedarledge.terms import SECOND

# Views are compared with the live relays at the end only after this long without a fault.
QUIET = 10 * SECOND
# A process that has just started or resumed has this long until its view is checked.
STARTUP_GRACE = 3 * SECOND
Spans = Mapping[int, list[tuple[int, int]]]


def pause_spans(plan: Plan) -> Spans:
    """Returns, by relay, the spans in which the schedule paused its process."""
    spans: dict[int, list[tuple[int, int]]] = defaultdict(list)
    since: dict[int, int] = {}
    for event in plan.events:
        if event.target == "relay" and event.action == "pause":
            since.setdefault(event.index, event.at)
        elif event.target == "relay" and event.action == "resume" and event.index in since:
            spans[event.index].append((since.pop(event.index), event.at))
    for relay, at in since.items():
        spans[relay].append((at, int(plan.seconds * SECOND)))
    return spans


def _p50(values: list[float]) -> float | None:
    return sorted(values)[len(values) // 2] if values else None


def membership_figures(plan: Plan, records: Mapping[type, list[Any]]) -> dict[str, Any]:
    """Returns the figures of membership; `records` has the event logs' records by type.

    `views`: number of different views among live relays at the end. `dead_but_reachable`, `missed_dead`: live
    members that a view has as dead or lacks, and gone members that it has as alive, summed over the views at
    the end; None unless the last 10 s were without a fault. `detect_s`: from a kill or a pause until each
    other relay has the member as dead. `agree_s`: from the end of the last fault until no view lacks a live
    relay any more; None: never. `bytes_per_s`: sent by one relay.
    """
    end = int(plan.seconds * SECOND)
    lifetimes: list[RelayLifetime] = records[RelayLifetime]
    pauses = pause_spans(plan)

    def is_up(relay: int, at: int) -> bool:
        """Tells whether the relay's process ran at that time and had run since its start-up grace."""
        return any(
            life.relay == relay
            and life.ready_at is not None
            and life.ready_at + STARTUP_GRACE <= at <= life.ended_at
            for life in lifetimes
        ) and not any(since <= at <= until + STARTUP_GRACE for since, until in pauses[relay])

    def is_gone(relay: int, since: int, at: int) -> bool:
        """Tells whether no process of the relay ran at any time in that span."""
        return not any(
            life.relay == relay and life.started_at <= at and life.ended_at >= since for life in lifetimes
        )

    views: dict[int, list[MembershipView]] = defaultdict(list)
    for view in sorted(records[MembershipView], key=lambda view: view.at):
        views[view.relay].append(view)
    faults = [event.at for event in plan.events if event.target in ("relay", "lane") and event.at < end]
    faults += [life.ended_at for life in lifetimes if life.end_reason == "crashed" and life.ended_at < end]
    last_fault = max(faults, default=0)
    last = {
        relay: history[-1]
        for relay, history in views.items()
        if history[-1].at > end - SECOND and is_up(relay, history[-1].at)
    }
    # The processes decide which relays are live; a live relay without a view counts as one that lacks all
    # others.
    live = [relay for relay in range(plan.relays) if is_up(relay, end - SECOND)]
    dead_but_reachable = missed = None
    if end - last_fault >= QUIET:
        dead_but_reachable = sum(
            relay not in last or last[relay].view.get(other) in (None, "dead", "left")
            for relay in live
            for other in live
            if relay != other
        )
        missed = sum(
            state in ("alive", "suspect") and is_gone(other, end - QUIET, end)
            for view in last.values()
            for other, state in view.view.items()
        )
    return {
        "views": len({tuple(sorted(_present(view))) for view in last.values()}),
        "dead_but_reachable": dead_but_reachable,
        "missed_dead": missed,
        "detect_s": _detection(lifetimes, pauses, views, is_up),
        "agree_s": _agreement(views, last_fault, is_up),
        "bytes_per_s": _bytes_per_second(records[PeerTraffic], lifetimes),
    }


def _present(view: MembershipView) -> list[int]:
    return [relay for relay, state in view.view.items() if state in ("alive", "self", "suspect")]


def _detection(
    lifetimes: list[RelayLifetime], pauses: Spans, views: Mapping[int, list[MembershipView]], is_up: Any
) -> dict[str, float | None]:
    failures = [(life.relay, life.ended_at) for life in lifetimes if life.end_reason == "killed"]
    failures += [(relay, since) for relay, spans in pauses.items() for since, _ in spans]
    spans = []
    for relay, at in failures:
        # The failure can be detected until the relay is back.
        back = min(
            [life.started_at for life in lifetimes if life.relay == relay and life.started_at > at]
            + [until for since, until in pauses[relay] if since == at],
            default=1 << 62,
        )
        for other, history in views.items():
            first = next(
                (view.at for view in history if view.at > at and view.view.get(relay) == "dead"), None
            )
            if other != relay and first is not None and first < back and is_up(other, first):
                spans.append((first - at) / SECOND)
    return {"p50": _p50(spans), "max": max(spans, default=None)}


def _agreement(views: Mapping[int, list[MembershipView]], since: int, is_up: Any) -> float | None:
    """Returns the time in s from `since` until no view lacks a live relay any more; None: never."""
    agreed = since
    for history in views.values():
        complete_since = since
        for view in history:
            if view.at <= since or not is_up(view.relay, view.at):
                continue
            # A relay that has only just started is neither expected in views, nor is its own view checked.
            if {relay for relay in views if is_up(relay, view.at)} - set(_present(view)):
                complete_since = None
            elif complete_since is None:
                complete_since = view.at
        if complete_since is None:
            return None
        agreed = max(agreed, complete_since)
    return (agreed - since) / SECOND


def _bytes_per_second(traffic: list[PeerTraffic], lifetimes: list[RelayLifetime]) -> float | None:
    run_time = sum(life.ended_at - max(0, life.started_at) for life in lifetimes) / SECOND
    return round(sum(one.bytes_sent for one in traffic) / run_time, 1) if run_time and traffic else None
