"""Figures of the judge that the operators' requirements name: idle relays and requests without an answer."""

from __future__ import annotations

import msgspec
from pytest import mark
from test_judge import LIVE, judge_records

from cedarledge.standins.event_log import BoxAttempt, ClientRequest, Record
from cedarledge.terms import MS, SECOND


def rejected_requests(relay: int, count: int, span: int) -> list[Record]:
    return [
        ClientRequest(f"{relay}-{number}", relay, LIVE, at, 1200 * MS, "BUSY", at + 5 * MS)
        for number in range(count)
        for at in (SECOND + number * span // (count - 1),)
    ]


def idle_relays(count: int, relays: int, requests: int = 15, span: int = 4 * SECOND) -> list[Record]:
    assert count <= relays
    return [record for relay in range(count) for record in rejected_requests(relay, requests, span)]


@mark.parametrize(
    ("records", "found"),
    [
        (idle_relays(2, 20), 2),
        (idle_relays(3, 20), 3),
        (idle_relays(3, 20, requests=14), 0),
        (idle_relays(3, 20, span=4 * SECOND - MS), 0),
        ([*idle_relays(3, 20), BoxAttempt(0, 0, "0-7", 3 * SECOND, 3 * SECOND, "BUSY")], 2),
    ],
    ids=["two", "three", "few requests", "not for long", "one with an attempt"],
)
def test_relays_that_reject_all_requests_are_counted(records: list[Record], found: int) -> None:
    assert judge_records(*records, relays=20).idle_relays == found


def test_each_request_without_an_answer_is_counted() -> None:
    """The count is exact also beyond the number of findings that the verdict lists.

    The requirements allow one request in 500, and five requests, without an answer.
    """
    unanswered = [
        ClientRequest(f"t{number}", 0, LIVE, SECOND, 1200 * MS, "CLOSED", 2 * SECOND) for number in range(250)
    ]
    answered = [ClientRequest("t-up", 0, LIVE, SECOND, 1200 * MS, "BUSY", SECOND + 9 * MS)]
    verdict = judge_records(*unanswered, *answered)
    assert (verdict.counts["unanswered"], verdict.no_answer["closed"]) == (250, 250)
    assert msgspec.to_builtins(verdict)["connections"] == 251
