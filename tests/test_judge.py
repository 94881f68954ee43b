"""The judge: for each rule, records that violate it, and similar records that do not."""

from __future__ import annotations

from pathlib import Path

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from pytest import mark

from cedarledge.rig.scenario import Scenario
from cedarledge.rig.schedule import build_plan
from cedarledge.standins.event_log import (
    BoxAttempt,
    BoxLoad,
    ClientRequest,
    ColdOverload,
    EventLog,
    ListDelivery,
    MembershipView,
    MisbehavingClient,
    PeerTraffic,
    Record,
    RelayLifetime,
    ServedSecond,
    TimerLateness,
    UnexpectedLine,
    read_event_log,
)
from cedarledge.standins.judge import RULES, Judge, Verdict
from cedarledge.standins.plan import ScheduledEvent
from cedarledge.terms import MS, SECOND

PLAN = build_plan(Scenario("Test", seconds=20.0), 1)
LIVE, MAP, STATE, BOOKING = range(4)


def request(answer: str = "UP", **other: object) -> ClientRequest:
    values = {
        "profile": LIVE,
        "started_at": SECOND,
        "answered_at": SECOND + 20 * MS,
        "receipt": "r1",
        "ended_at": 9 * SECOND,
        "end_reason": "left",
    } | other
    return ClientRequest(
        "t1", 0, values.pop("profile"), values.pop("started_at"), 1200 * MS, answer, **values
    )


def attempt(box: int = 0, answer: str = "UP", received_at: int = SECOND + MS, **other: object) -> BoxAttempt:
    values = {
        "answered_at": received_at + 15 * MS,
        "receipt": "r1" if answer == "UP" else "",
        "ended_at": 9 * SECOND,
    } | other
    return BoxAttempt(box, 0, "t1", received_at, received_at, answer, **values)


def judge_records(*records: Record, **other: object) -> Verdict:
    return Judge(msgspec.structs.replace(PLAN, **other), records).verdict()


def broken_rules(*records: Record, **other: object) -> set[str]:
    verdict = judge_records(*records, **other)
    assert {rule for rule, count in verdict.counts.items() if count} == {
        found.rule for found in verdict.findings
    }
    return {found.rule for found in verdict.findings}


def relay_death(at: int, end_reason: str = "killed") -> RelayLifetime:
    return RelayLifetime(0, 0, 0, at, end_reason, -9, 0, 0)


def test_a_correct_connection_breaks_no_rule() -> None:
    assert broken_rules(request(), attempt()) == set()
    assert (
        broken_rules(request("BUSY", receipt=""), attempt(answer="BUSY", ended_at=SECOND + 17 * MS)) == set()
    )
    assert broken_rules(request("ERR", receipt="")) == set()


BUSY_THEN_UP = (attempt(1, "BUSY", SECOND, answered_at=SECOND + MS, ended_at=SECOND + 2 * MS), attempt())
VIOLATIONS = {
    "no answer before the timeout": ("unanswered", [request("GAVE_UP", answered_at=-1)]),
    "closed without an answer": ("unanswered", [request("CLOSED")]),
    "an answer after the timeout": ("answered_late", [request("BUSY", answered_at=SECOND + 1300 * MS)]),
    "an answer after the client gave up": (
        "answered_late",
        [request("GAVE_UP", answered_at=SECOND + 1300 * MS)],
    ),
    "a second answer": ("answered_twice", [request("BUSY", extra_answers=1)]),
    "UP that no box sent": ("not_what_a_box_made", [request(receipt="r2"), attempt()]),
    "UP sent to another relay": (
        "not_what_a_box_made",
        [request(), BoxAttempt(0, 1, "t1", SECOND, SECOND, "UP", SECOND, "r1")],
    ),
    "cut without MOVE": (
        "cut_without_move",
        [request(end_reason="cut", ended_at=5 * SECOND), attempt(ended_at=5 * SECOND)],
    ),
    "reset without MOVE": (
        "cut_without_move",
        [request(end_reason="reset", ended_at=5 * SECOND), attempt(ended_at=5 * SECOND)],
    ),
    "a line that did not arrive at the box": ("lines_lost", [request(), attempt(sequence_gaps=1)]),
    "a line to the client that was delayed": ("lines_lost", [request(delayed_lines=1), attempt()]),
    "an attempt after its client left": (
        "sent_on_after_leaving",
        [
            request("", answered_at=-1, ended_at=SECOND + 100 * MS, started_at=18 * SECOND),
            attempt(received_at=SECOND + 260 * MS),
        ],
    ),
    "two attempts at once": (
        "overlapping_setups",
        [
            request(),
            attempt(ended_at=9 * SECOND, answer="", answered_at=-1),
            attempt(1, received_at=SECOND + 100 * MS),
        ],
    ),
    "non-idempotent request run twice": (
        "ran_twice",
        [
            request(profile=BOOKING),
            attempt(1, "ERR", ended_at=SECOND + 17 * MS),
            attempt(received_at=SECOND + 20 * MS),
        ],
    ),
    "attempt outside the deduplication window": (
        "ran_twice",
        [
            request(profile=STATE),
            attempt(1, "ERR", ended_at=SECOND + 17 * MS),
            attempt(received_at=4 * SECOND),
        ],
    ),
    "non-idempotent request rejected after a run": (
        "declined_after_run",
        [
            request("BUSY", profile=BOOKING),
            attempt(answer="ERR", answered_at=SECOND + 9 * MS, ended_at=SECOND + 10 * MS),
        ],
    ),
    "an attempt at a draining box": (
        "late_sends_after_drain",
        [ListDelivery(SECOND, 0, 0, "draining", 41), request(), attempt(received_at=SECOND + 400 * MS)],
    ),
    "a cold box failed from overload": ("cold_pushed_over", [ColdOverload(SECOND, 3, 3.5)]),
    "a line that no box should get": ("bad_clients_served", [UnexpectedLine(SECOND, 3, 0, "OPEN x")]),
    "a misbehaving client that was served": (
        "bad_clients_served",
        [MisbehavingClient(SECOND, 0, "half", 5 * MS, "UP r")],
    ),
    "a misbehaving client that was not disconnected": (
        "bad_clients_held",
        [MisbehavingClient(SECOND, 0, "half", -1, "")],
    ),
    "a relay that crashed": ("crashed", [relay_death(SECOND, "crashed")]),
}


@mark.parametrize("case", VIOLATIONS)
def test_each_violation_is_found(case: str) -> None:
    rule, records = VIOLATIONS[case]
    assert rule in RULES
    assert broken_rules(*records) == {rule}


ALLOWED = {
    "the relay was killed": [
        request("CLOSED", answered_at=4 * SECOND, started_at=4 * SECOND - 9 * MS),
        relay_death(4 * SECOND),
    ],
    "connection reset as the relay was killed": [
        request(end_reason="reset", ended_at=5 * SECOND),
        attempt(ended_at=5 * SECOND),
        relay_death(5 * SECOND),
    ],
    "the box closed the connection": [
        request(end_reason="cut", ended_at=5 * SECOND),
        attempt(ended_at=5 * SECOND, ended_by_box=True),
    ],
    "given up, and answered within the grace": [request("GAVE_UP", answered_at=SECOND + 1220 * MS)],
    "no answer when the run ends": [request("GAVE_UP", answered_at=-1, started_at=19 * SECOND)],
    "an attempt soon after its client left": [
        request("", answered_at=-1, ended_at=SECOND + 100 * MS, started_at=19 * SECOND),
        attempt(received_at=SECOND + 240 * MS),
    ],
    "another attempt after BUSY": [request(profile=BOOKING), *BUSY_THEN_UP],
    "another attempt within the deduplication window": [
        request(profile=STATE),
        attempt(1, "ERR", ended_at=SECOND + 17 * MS),
        attempt(received_at=SECOND + 20 * MS),
    ],
    "an attempt within the drain grace": [
        ListDelivery(SECOND, 0, 0, "draining", 41),
        request(),
        attempt(received_at=SECOND + 290 * MS),
    ],
    "the list has the box as up again": [
        ListDelivery(SECOND // 2, 0, 0, "removed", 41),
        ListDelivery(SECOND, 0, 0, "up", 42),
        request(),
        attempt(received_at=SECOND + 400 * MS),
    ],
    "another relay got the list": [ListDelivery(SECOND // 9, 1, 0, "draining", 41), request(), attempt()],
    "a misbehaving client that was disconnected": [MisbehavingClient(SECOND, 0, "half", 2600 * MS, "closed")],
}


@mark.parametrize("case", ALLOWED)
def test_allowed_behaviour_is_not_reported(case: str) -> None:
    assert broken_rules(*ALLOWED[case]) == set()


def test_a_planned_stop_excuses_nothing() -> None:
    cut = [request(end_reason="reset", ended_at=5 * SECOND), attempt(ended_at=5 * SECOND)]
    assert broken_rules(*cut, relay_death(5 * SECOND, "stopped")) == {"cut_without_move"}


def test_the_profile_sets_the_deduplication_group() -> None:
    boxes = tuple(
        msgspec.structs.replace(PLAN.boxes[0], cell=cell, zone=zone)
        for cell, zone in ((0, "z1"), (0, "z2"), (1, "z1"))
    )
    allowed = {"all": {1, 2}, "zone": {2}, "cell": {1}}
    for group, boxes_allowed in allowed.items():
        rows = tuple(msgspec.structs.replace(row, group=group) for row in PLAN.profiles)
        for box in (1, 2):
            found = broken_rules(
                request(profile=STATE),
                attempt(0, "ERR", ended_at=SECOND + 17 * MS),
                attempt(box, received_at=SECOND + 20 * MS),
                boxes=boxes,
                profiles=rows,
            )
            assert found == (set() if box in boxes_allowed else {"ran_twice"})


def test_a_partition_excuses_delayed_lines_of_its_relay_only() -> None:
    delayed = [request(), attempt(delayed_lines=2)]
    assert broken_rules(*delayed) == {"lines_lost"}
    assert broken_rules(*delayed, events=(ScheduledEvent(2 * SECOND, "box", "cut", 0, 1.0, 0),)) == set()
    assert broken_rules(*delayed, events=(ScheduledEvent(2 * SECOND, "box", "cut", 0, 1.0, 1),)) == {
        "lines_lost"
    }


def test_a_pause_excuses_its_relay_for_its_duration_only() -> None:
    late = [request("BUSY", answered_at=SECOND + 1300 * MS)]
    events = (ScheduledEvent(SECOND, "relay", "pause", 0), ScheduledEvent(2 * SECOND, "relay", "resume", 0))
    assert broken_rules(*late) == {"answered_late"} and broken_rules(*late, events=events) == set()
    assert broken_rules(request("GAVE_UP", answered_at=-1, started_at=3 * SECOND), events=events) == {
        "unanswered"
    }
    assert broken_rules(request("BUSY", extra_answers=1), events=events) == {"answered_twice"}
    other = (ScheduledEvent(SECOND, "relay", "pause", 1), ScheduledEvent(2 * SECOND, "relay", "resume", 1))
    assert broken_rules(*late, events=other) == {"answered_late"}


def test_a_link_fault_excuses_only_what_its_box_cannot_know() -> None:
    def link_cut(box: int) -> tuple[ScheduledEvent, ...]:
        return (
            ScheduledEvent(SECOND // 2, "way", "out.cut", box, 1.0, 0),
            ScheduledEvent(6 * SECOND, "way", "out.cut", box, 0.0, 0),
        )

    overlapping = VIOLATIONS["two attempts at once"][1]
    assert broken_rules(*overlapping, events=link_cut(0)) == set() and broken_rules(
        *overlapping, events=link_cut(1)
    ) == {"overlapping_setups"}
    # An attempt that was given up before the next one, but read after it because of the link fault; without
    # the fault it counts as overlapping.
    given_up = attempt(
        1, answer="", answered_at=-1, received_at=SECOND + 100 * MS, ended_at=SECOND + 300 * MS
    )
    read_late = [request(), attempt(), given_up]
    assert broken_rules(*read_late) == {"overlapping_setups"}
    assert broken_rules(*read_late, events=link_cut(1)) == set()
    # An attempt that a partition delayed together with its end, and one that was open after the partition.
    partition = (
        ScheduledEvent(SECOND // 2, "box", "cut", 1, 1.0, 0),
        ScheduledEvent(6 * SECOND, "box", "cut", 1, 0.0, 0),
    )
    delayed_attempt = attempt(
        1, answer="", answered_at=-1, received_at=6 * SECOND + MS, ended_at=6 * SECOND + 2 * MS
    )
    assert broken_rules(request(), attempt(), delayed_attempt) == {"overlapping_setups"}
    assert broken_rules(request(), attempt(), delayed_attempt, events=partition) == set()
    still_out = attempt(
        1, answer="", answered_at=-1, received_at=6 * SECOND + MS, ended_at=6 * SECOND + 200 * MS
    )
    assert broken_rules(request(), attempt(), still_out, events=partition) == {"overlapping_setups"}
    assert broken_rules(request(delayed_lines=1), attempt(), events=link_cut(0)) == set()
    assert broken_rules(request(delayed_lines=1), attempt(), events=link_cut(1)) == {"lines_lost"}
    assert broken_rules(request(), attempt(sequence_gaps=1), events=link_cut(0)) == {"lines_lost"}
    assert broken_rules(*VIOLATIONS["non-idempotent request run twice"][1], events=link_cut(0)) == {
        "ran_twice"
    }
    assert broken_rules(request("CLOSED"), events=link_cut(0)) == {"unanswered"}
    # A drain that was sent during a link fault was not received; one sent before it was.
    drain = VIOLATIONS["an attempt at a draining box"][1]
    assert (
        broken_rules(*drain, events=link_cut(-1)) == set()
        and broken_rules(*drain, events=link_cut(0)) == set()
    )
    before = [ListDelivery(SECOND // 3, 0, 0, "draining", 41), *drain[1:]]
    assert broken_rules(*before, events=link_cut(-1)) == {"late_sends_after_drain"}


def membership_view(at: float, relay: int, *there: int, **gone: int) -> MembershipView:
    view = {relay: "self"} | dict.fromkeys(there, "alive") | {other: state for state, other in gone.items()}
    return MembershipView(int(at * SECOND), relay, view)


def test_membership_views_are_compared_with_the_schedule() -> None:
    events = (ScheduledEvent(4 * SECOND, "relay", "kill", 2),)
    peers = {"operator": {"peers": {"on": True}}, "relays": 3, "events": events}
    lifetimes = [RelayLifetime(relay, -SECOND, 0, 20 * SECOND, "over", 0, 0, 0) for relay in (0, 1)]
    lifetimes.append(RelayLifetime(2, -SECOND, 0, 4 * SECOND, "killed", -9, 0, 0))
    good = [membership_view(7, 0, 1, dead=2), membership_view(8, 1, 0, dead=2)]
    good += [membership_view(19.5, 0, 1, dead=2), membership_view(19.5, 1, 0, dead=2)]
    figures = judge_records(*lifetimes, *good, PeerTraffic(0, 4400, 9), **peers).peers
    assert figures == {
        "views": 1,
        "dead_but_reachable": 0,
        "missed_dead": 0,
        "detect_s": {"p50": 4.0, "max": 4.0},
        "agree_s": 0.0,
        "bytes_per_s": 100.0,
    }
    wrong = [*good[:2], membership_view(19.5, 0, dead=1), membership_view(19.5, 1, 0, 2)]
    figures = judge_records(*lifetimes, *wrong, **peers).peers
    names = ("views", "dead_but_reachable", "missed_dead", "agree_s")
    assert [figures[name] for name in names] == [2, 1, 1, None]
    without_view = judge_records(*lifetimes, *good[:3], **peers).peers
    assert without_view["dead_but_reachable"] == 1, "a live relay without a view"
    late = ScheduledEvent(15 * SECOND, "lane", "cut", 0, 0.0, 1)
    assert (
        judge_records(*lifetimes, *wrong, **peers | {"events": (late,)}).peers["dead_but_reachable"] is None
    )


def test_figures_cover_all_processes() -> None:
    verdict = judge_records(
        request(),
        attempt(),
        ServedSecond(2, LIVE, 10.0, 0.0),
        ServedSecond(8, LIVE, 6.0, 6.0),
        ServedSecond(8, LIVE, 2.0, 1.0),
        ServedSecond(9, MAP, 4.0, 1.0),
        BoxLoad(3, 1, 0.5, 7),
        RelayLifetime(0, 0, 5, SECOND, "over", 0, 2 * SECOND, 2048),
        RelayLifetime(1, 0, 5, SECOND, "over", 0, SECOND, 4096),
        TimerLateness("boxes 0", 3 * MS, 0),
        TimerLateness("clients 0", 9 * MS, 0),
    )
    assert verdict.well_served["live"] == 7 / 8, "what is before the end of the warm-up does not count"
    assert verdict.well_served["map"] == 0.25
    assert verdict.credit_served == (3 * 7 + 1) / (3 * 8 + 4)
    assert (verdict.relay_cpu_s, verdict.relay_peak_mb) == (3.0, 4.0)
    assert verdict.placement_ms["p50"] == 20.0
    assert verdict.load_by_box == {PLAN.boxes[1].name: [(3, 0.5, 7)]}
    assert (verdict.standins_late, verdict.standins_late_ms) == (False, 9.0)
    assert msgspec.to_builtins(verdict.by_second) == [
        {"second": 1, "opened": 1, "declined": 0, "closed_with_error": 0, "setups": 1}
        | {"p50_ms": 20.0, "p99_ms": 20.0}
    ]
    assert judge_records(TimerLateness("boxes 0", 400 * MS, 0)).standins_late


words = st.sampled_from(("UP", "BUSY", "ERR", "CLOSED", "GAVE_UP", "UNREACHED", ""))
times = st.integers(0, 20 * SECOND)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.builds(
            ClientRequest,
            st.sampled_from("abc"),
            st.integers(0, 1),
            st.integers(0, 3),
            times,
            times,
            words,
            times,
        ),
        max_size=6,
    ),
    st.lists(
        st.builds(
            BoxAttempt,
            st.integers(0, 11),
            st.integers(0, 1),
            st.sampled_from("abc"),
            times,
            times,
            st.sampled_from(("UP", "BUSY", "ERR", "")),
        ),
        max_size=6,
    ),
)
def test_records_in_any_combination_are_judged(calls: list[ClientRequest], setups: list[BoxAttempt]) -> None:
    verdict = judge_records(*calls, *setups)
    assert sum(verdict.answers.values()) + sum(verdict.no_answer.values()) == len(calls)
    assert set(verdict.to_flat_dict()) >= {
        "unanswered",
        "overlapping_setups",
        "cold_pushed_over",
        "well_served",
    }


def test_a_truncated_event_log_is_read_up_to_its_last_complete_record(tmp_path: Path) -> None:
    path = tmp_path / "log"
    event_log = EventLog(path)
    entries = [request(), attempt(), ListDelivery(1, 0, 2, "up", 41)]
    for entry in entries:
        event_log.write(entry)
    event_log.close()
    assert list(read_event_log(path)) == entries
    path.write_bytes(path.read_bytes()[:-3])
    assert list(read_event_log(path)) == entries[:2]
