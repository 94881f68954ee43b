"""What the judge counts for the operators' terms: idle processes, and requests with no answer."""

from __future__ import annotations

import msgspec
from pytest import mark
from test_judge import LIVE, judged

from cedarledge.standins.event_log import BoxAttempt, ClientRequest, Record
from cedarledge.terms import MS, SECOND


def rejected_calls(relay: int, count: int, span: int) -> list[Record]:
    return [
        ClientRequest(f"{relay}-{number}", relay, LIVE, at, 1200 * MS, "BUSY", at + 5 * MS)
        for number in range(count)
        for at in (SECOND + number * span // (count - 1),)
    ]


def idle_relays(count: int, relays: int, calls: int = 15, span: int = 4 * SECOND) -> list[Record]:
    assert count <= relays
    return [record for relay in range(count) for record in rejected_calls(relay, calls, span)]


@mark.parametrize(
    ("records", "found"),
    [
        (idle_relays(2, 20), 2),
        (idle_relays(3, 20), 3),
        (idle_relays(3, 20, calls=14), 0),
        (idle_relays(3, 20, span=4 * SECOND - MS), 0),
        ([*idle_relays(3, 20), BoxAttempt(0, 0, "0-7", 3 * SECOND, 3 * SECOND, "BUSY")], 2),
    ],
    ids=["two", "three", "few calls", "not for long", "one with an attempt"],
)
def test_relays_that_turn_all_away_are_counted(records: list[Record], found: int) -> None:
    assert judged(*records, relays=20).idle_relays == found


def test_each_request_with_no_answer_is_counted() -> None:
    """One in 500, and five, may be: the judge's count of them is exact, past what it lists as findings."""
    unanswered = [
        ClientRequest(f"t{number}", 0, LIVE, SECOND, 1200 * MS, "CLOSED", 2 * SECOND) for number in range(250)
    ]
    answered = [ClientRequest("t-up", 0, LIVE, SECOND, 1200 * MS, "BUSY", SECOND + 9 * MS)]
    verdict = judged(*unanswered, *answered)
    assert (verdict.counts["unanswered"], verdict.no_answer["closed"]) == (250, 250)
    assert msgspec.to_builtins(verdict)["connections"] == 251
