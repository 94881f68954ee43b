"""What relays held of each other, against what the schedule did to them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from cedarledge.standins.event_log import MembershipView, PeerTraffic, RelayLifetime
from cedarledge.standins.plan import Plan
from cedarledge.terms import SECOND

# Only a spell this long without a fault says anything of views that should be whole.
QUIET = 10 * SECOND
# A process that has just begun, or gone on, is owed this much before its view is looked at.
BEGINS = 3 * SECOND
Spans = Mapping[int, list[tuple[int, int]]]


def pause_spans(plan: Plan) -> Spans:
    """When the schedule had each relay's process stopped."""
    spans: dict[int, list[tuple[int, int]]] = defaultdict(list)
    since: dict[int, int] = {}
    for act in plan.events:
        if act.target == "relay" and act.action == "pause":
            since.setdefault(act.index, act.at)
        elif act.target == "relay" and act.action == "resume" and act.index in since:
            spans[act.index].append((since.pop(act.index), act.at))
    for relay, at in since.items():
        spans[relay].append((at, int(plan.seconds * SECOND)))
    return spans


def _p50(values: list[float]) -> float | None:
    return sorted(values)[len(values) // 2] if values else None


def peers_figures(plan: Plan, kinds: Mapping[type, list[Any]]) -> dict[str, Any]:
    """`views`: different ones at the end among live relays. `dead_but_reachable`, `missed_dead`: members
    held dead that live, and alive that are gone, summed over the views at the end; None without a quiet
    spell of 10 s before it. `detect_s`: from a kill or a stop to each other relay's holding it dead.
    `agree_s`: from the last fault's end to the time from which on nobody missed a live one.
    `bytes_per_s`: sent by one relay."""
    end = int(plan.seconds * SECOND)
    lives: list[RelayLifetime] = kinds[RelayLifetime]
    pauses = pause_spans(plan)

    def up(relay: int, at: int) -> bool:
        """Its process ran, and had for a while."""
        return any(
            life.relay == relay and life.ready is not None and life.ready + BEGINS <= at <= life.ended
            for life in lives
        ) and not any(since <= at <= until + BEGINS for since, until in pauses[relay])

    def gone(relay: int, since: int, at: int) -> bool:
        """It ran at no time from then to there."""
        return not any(life.relay == relay and life.began <= at and life.ended >= since for life in lives)

    looks: dict[int, list[MembershipView]] = defaultdict(list)
    for seen in sorted(kinds[MembershipView], key=lambda seen: seen.at):
        looks[seen.relay].append(seen)
    acts = [act.at for act in plan.events if act.target in ("relay", "lane") and act.at < end]
    acts += [life.ended for life in lives if life.how == "crashed" and life.ended < end]
    last_fault = max(acts, default=0)
    last = {
        relay: seen[-1]
        for relay, seen in looks.items()
        if seen[-1].at > end - SECOND and up(relay, seen[-1].at)
    }
    # Who lives is the run's to say; a live one that shows no view holds nobody there.
    living = [relay for relay in range(plan.relays) if up(relay, end - SECOND)]
    dead_but_reachable = missed = None
    if end - last_fault >= QUIET:
        dead_but_reachable = sum(
            relay not in last or last[relay].view.get(other) in (None, "dead", "left")
            for relay in living
            for other in living
            if relay != other
        )
        missed = sum(
            state in ("alive", "suspect") and gone(other, end - QUIET, end)
            for seen in last.values()
            for other, state in seen.view.items()
        )
    return {
        "views": len({tuple(sorted(_there(seen))) for seen in last.values()}),
        "dead_but_reachable": dead_but_reachable,
        "missed_dead": missed,
        "detect_s": _detection(lives, pauses, looks, up),
        "agree_s": _agreement(looks, last_fault, up),
        "bytes_per_s": _sent(kinds[PeerTraffic], lives),
    }


def _there(seen: MembershipView) -> list[int]:
    return [relay for relay, state in seen.view.items() if state in ("alive", "self", "suspect")]


def _detection(
    lives: list[RelayLifetime], pauses: Spans, looks: Mapping[int, list[MembershipView]], up: Any
) -> dict[str, float | None]:
    began = [(life.relay, life.ended) for life in lives if life.how == "killed"]
    began += [(relay, since) for relay, spans in pauses.items() for since, _ in spans]
    spans = []
    for relay, at in began:
        # Until it is there again there is something to detect.
        back = min(
            [life.began for life in lives if life.relay == relay and life.began > at]
            + [until for since, until in pauses[relay] if since == at],
            default=1 << 62,
        )
        for other, seen in looks.items():
            first = next((one.at for one in seen if one.at > at and one.view.get(relay) == "dead"), None)
            if other != relay and first is not None and first < back and up(other, first):
                spans.append((first - at) / SECOND)
    return {"p50": _p50(spans), "max": max(spans, default=None)}


def _agreement(looks: Mapping[int, list[MembershipView]], since: int, up: Any) -> float | None:
    """None: never."""
    agreed = since
    for row in looks.values():
        right = since
        for seen in row:
            if seen.at <= since or not up(seen.relay, seen.at):
                continue
            # A relay that has only just begun is neither missed nor asked.
            if {relay for relay in looks if up(relay, seen.at)} - set(_there(seen)):
                right = None
            elif right is None:
                right = seen.at
        if right is None:
            return None
        agreed = max(agreed, right)
    return (agreed - since) / SECOND


def _sent(carried: list[PeerTraffic], lives: list[RelayLifetime]) -> float | None:
    ran = sum(life.ended - max(0, life.began) for life in lives) / SECOND
    return round(sum(one.size for one in carried) / ran, 1) if ran and carried else None
