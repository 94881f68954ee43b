"""The judge: for each rule a run that breaks it and must be caught, and its neighbour that must not."""

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


def call(word: str = "UP", **other: object) -> ClientRequest:
    told = {
        "profile": LIVE,
        "began": SECOND,
        "answered": SECOND + 20 * MS,
        "receipt": "r1",
        "ended": 9 * SECOND,
        "how": "left",
    } | other
    return ClientRequest("t1", 0, told.pop("profile"), told.pop("began"), 1200 * MS, word, **told)


def setup(box: int = 0, word: str = "UP", whole: int = SECOND + MS, **other: object) -> BoxAttempt:
    told = {"answered": whole + 15 * MS, "receipt": "r1" if word == "UP" else "", "ended": 9 * SECOND} | other
    return BoxAttempt(box, 0, "t1", whole, whole, word, **told)


def judged(*records: Record, **other: object) -> Verdict:
    return Judge(msgspec.structs.replace(PLAN, **other), records).verdict()


def broken(*records: Record, **other: object) -> set[str]:
    verdict = judged(*records, **other)
    assert {rule for rule, count in verdict.counts.items() if count} == {
        found.rule for found in verdict.findings
    }
    return {found.rule for found in verdict.findings}


def killed(at: int, how: str = "killed") -> RelayLifetime:
    return RelayLifetime(0, 0, 0, at, how, -9, 0, 0)


def test_a_tunnel_as_it_should_be_breaks_nothing() -> None:
    assert broken(call(), setup()) == set()
    assert broken(call("BUSY", receipt=""), setup(word="BUSY", ended=SECOND + 17 * MS)) == set()
    assert broken(call("ERR", receipt="")) == set()


BUSY_THEN_UP = (setup(1, "BUSY", SECOND, answered=SECOND + MS, ended=SECOND + 2 * MS), setup())
LOST = {
    "no answer in its time": ("unanswered", [call("GAVE_UP", answered=-1)]),
    "ended without a word": ("unanswered", [call("CLOSED")]),
    "an answer past its time": ("answered_late", [call("BUSY", answered=SECOND + 1300 * MS)]),
    "one given up and answered later": ("answered_late", [call("GAVE_UP", answered=SECOND + 1300 * MS)]),
    "a second answer": ("answered_twice", [call("BUSY", more=1)]),
    "UP that no box said": ("not_what_a_box_made", [call(receipt="r2"), setup()]),
    "UP of another relay's box": (
        "not_what_a_box_made",
        [call(), BoxAttempt(0, 1, "t1", SECOND, SECOND, "UP", SECOND, "r1")],
    ),
    "cut without MOVE": ("cut_without_move", [call(how="cut", ended=5 * SECOND), setup(ended=5 * SECOND)]),
    "reset without MOVE": (
        "cut_without_move",
        [call(how="reset", ended=5 * SECOND), setup(ended=5 * SECOND)],
    ),
    "a line that never came to the box": ("lines_lost", [call(), setup(gaps=1)]),
    "a line held back on its way to the client": ("lines_lost", [call(held=1), setup()]),
    "sent on after its client has left": (
        "sent_on_after_leaving",
        [call("", answered=-1, ended=SECOND + 100 * MS, began=18 * SECOND), setup(whole=SECOND + 260 * MS)],
    ),
    "two setups at once": (
        "overlapping_setups",
        [call(), setup(ended=9 * SECOND, word="", answered=-1), setup(1, whole=SECOND + 100 * MS)],
    ),
    "once-only run twice": (
        "ran_twice",
        [call(profile=BOOKING), setup(1, "ERR", ended=SECOND + 17 * MS), setup(whole=SECOND + 20 * MS)],
    ),
    "referenced past its window": (
        "ran_twice",
        [call(profile=STATE), setup(1, "ERR", ended=SECOND + 17 * MS), setup(whole=4 * SECOND)],
    ),
    "once-only declined after a run": (
        "declined_after_run",
        [call("BUSY", profile=BOOKING), setup(word="ERR", answered=SECOND + 9 * MS, ended=SECOND + 10 * MS)],
    ),
    "a send to a draining box": (
        "late_sends_after_drain",
        [ListDelivery(SECOND, 0, 0, "draining", 41), call(), setup(whole=SECOND + 400 * MS)],
    ),
    "a cold box pushed over": ("cold_pushed_over", [ColdOverload(SECOND, 3, 3.5)]),
    "what a box may not be sent": ("bad_clients_served", [UnexpectedLine(SECOND, 3, 0, "OPEN x")]),
    "a bad client that was served": (
        "bad_clients_served",
        [MisbehavingClient(SECOND, 0, "half", 5 * MS, "UP r")],
    ),
    "a bad client that was kept": ("bad_clients_held", [MisbehavingClient(SECOND, 0, "half", -1, "")]),
    "a relay that ended by itself": ("crashed", [killed(SECOND, "crashed")]),
}


@mark.parametrize("case", LOST)
def test_each_broken_rule_is_found(case: str) -> None:
    rule, records = LOST[case]
    assert rule in RULES
    assert broken(*records) == {rule}


HARMLESS = {
    "its relay was killed": [
        call("CLOSED", answered=4 * SECOND, began=4 * SECOND - 9 * MS),
        killed(4 * SECOND),
    ],
    "cut off as its relay was killed": [
        call(how="reset", ended=5 * SECOND),
        setup(ended=5 * SECOND),
        killed(5 * SECOND),
    ],
    "the box ended it": [call(how="cut", ended=5 * SECOND), setup(ended=5 * SECOND, by_box=True)],
    "given up, and answered on the way": [call("GAVE_UP", answered=SECOND + 1220 * MS)],
    "still waiting as the run ends": [call("GAVE_UP", answered=-1, began=19 * SECOND)],
    "sent on as its client left": [
        call("", answered=-1, ended=SECOND + 100 * MS, began=19 * SECOND),
        setup(whole=SECOND + 240 * MS),
    ],
    "another setup after BUSY": [call(profile=BOOKING), *BUSY_THEN_UP],
    "referenced within its window": [
        call(profile=STATE),
        setup(1, "ERR", ended=SECOND + 17 * MS),
        setup(whole=SECOND + 20 * MS),
    ],
    "a send within the grace": [
        ListDelivery(SECOND, 0, 0, "draining", 41),
        call(),
        setup(whole=SECOND + 290 * MS),
    ],
    "told that it is up again": [
        ListDelivery(SECOND // 2, 0, 0, "removed", 41),
        ListDelivery(SECOND, 0, 0, "up", 42),
        call(),
        setup(whole=SECOND + 400 * MS),
    ],
    "another relay was told": [ListDelivery(SECOND // 9, 1, 0, "draining", 41), call(), setup()],
    "a bad client turned out": [MisbehavingClient(SECOND, 0, "half", 2600 * MS, "closed")],
}


@mark.parametrize("case", HARMLESS)
def test_what_breaks_no_rule_is_not_found(case: str) -> None:
    assert broken(*HARMLESS[case]) == set()


def test_a_planned_stop_excuses_nothing() -> None:
    cut = [call(how="reset", ended=5 * SECOND), setup(ended=5 * SECOND)]
    assert broken(*cut, killed(5 * SECOND, "stopped")) == {"cut_without_move"}


def test_a_dedup_group_is_what_its_profile_says() -> None:
    boxes = tuple(
        msgspec.structs.replace(PLAN.boxes[0], cell=cell, zone=zone)
        for cell, zone in ((0, "z1"), (0, "z2"), (1, "z1"))
    )
    allowed = {"all": {1, 2}, "zone": {2}, "cell": {1}}
    for group, boxes_allowed in allowed.items():
        rows = tuple(msgspec.structs.replace(row, group=group) for row in PLAN.profiles)
        for box in (1, 2):
            found = broken(
                call(profile=STATE),
                setup(0, "ERR", ended=SECOND + 17 * MS),
                setup(box, whole=SECOND + 20 * MS),
                boxes=boxes,
                profiles=rows,
            )
            assert found == (set() if box in boxes_allowed else {"ran_twice"})


def test_lines_are_held_by_a_partition_and_not_by_the_relay() -> None:
    held = [call(), setup(held=2)]
    assert broken(*held) == {"lines_lost"}
    assert broken(*held, events=(ScheduledEvent(2 * SECOND, "box", "cut", 0, 1.0, 0),)) == set()
    assert broken(*held, events=(ScheduledEvent(2 * SECOND, "box", "cut", 0, 1.0, 1),)) == {"lines_lost"}


def test_a_relay_that_the_schedule_stopped_is_excused_for_that_long_and_no_longer() -> None:
    late = [call("BUSY", answered=SECOND + 1300 * MS)]
    acts = (ScheduledEvent(SECOND, "relay", "pause", 0), ScheduledEvent(2 * SECOND, "relay", "resume", 0))
    assert broken(*late) == {"answered_late"} and broken(*late, events=acts) == set()
    assert broken(call("GAVE_UP", answered=-1, began=3 * SECOND), events=acts) == {"unanswered"}
    assert broken(call("BUSY", more=1), events=acts) == {"answered_twice"}
    other = (ScheduledEvent(SECOND, "relay", "pause", 1), ScheduledEvent(2 * SECOND, "relay", "resume", 1))
    assert broken(*late, events=other) == {"answered_late"}


def test_a_way_that_is_held_up_excuses_what_its_box_can_not_know_and_nothing_else() -> None:
    def way(box: int) -> tuple[ScheduledEvent, ...]:
        return (
            ScheduledEvent(SECOND // 2, "way", "out.cut", box, 1.0, 0),
            ScheduledEvent(6 * SECOND, "way", "out.cut", box, 0.0, 0),
        )

    two = LOST["two setups at once"][1]
    assert broken(*two, events=way(0)) == set() and broken(*two, events=way(1)) == {"overlapping_setups"}
    # One given up before the other was sent, and read behind it for its way; and one that was not given up.
    given_up = setup(1, word="", answered=-1, whole=SECOND + 100 * MS, ended=SECOND + 300 * MS)
    read_late = [call(), setup(), given_up]
    assert broken(*read_late) == {"overlapping_setups"}
    assert broken(*read_late, events=way(1)) == set()
    # One that a partition held back with its end, and one that was still out as the partition was over.
    partition = (
        ScheduledEvent(SECOND // 2, "box", "cut", 1, 1.0, 0),
        ScheduledEvent(6 * SECOND, "box", "cut", 1, 0.0, 0),
    )
    held_back = setup(1, word="", answered=-1, whole=6 * SECOND + MS, ended=6 * SECOND + 2 * MS)
    assert broken(call(), setup(), held_back) == {"overlapping_setups"}
    assert broken(call(), setup(), held_back, events=partition) == set()
    still_out = setup(1, word="", answered=-1, whole=6 * SECOND + MS, ended=6 * SECOND + 200 * MS)
    assert broken(call(), setup(), still_out, events=partition) == {"overlapping_setups"}
    assert broken(call(held=1), setup(), events=way(0)) == set()
    assert broken(call(held=1), setup(), events=way(1)) == {"lines_lost"}
    assert broken(call(), setup(gaps=1), events=way(0)) == {"lines_lost"}
    assert broken(*LOST["once-only run twice"][1], events=way(0)) == {"ran_twice"}
    assert broken(call("CLOSED"), events=way(0)) == {"unanswered"}
    # A drain that was written into a way that carried nothing was not heard; one before it was.
    drain = LOST["a send to a draining box"][1]
    assert broken(*drain, events=way(-1)) == set() and broken(*drain, events=way(0)) == set()
    before = [ListDelivery(SECOND // 3, 0, 0, "draining", 41), *drain[1:]]
    assert broken(*before, events=way(-1)) == {"late_sends_after_drain"}


def seen(at: float, relay: int, *there: int, **gone: int) -> MembershipView:
    view = {relay: "self"} | dict.fromkeys(there, "alive") | {other: state for state, other in gone.items()}
    return MembershipView(int(at * SECOND), relay, view)


def test_views_are_held_against_what_was_done_to_the_relays() -> None:
    acts = (ScheduledEvent(4 * SECOND, "relay", "kill", 2),)
    peers = {"operator": {"peers": {"on": True}}, "relays": 3, "events": acts}
    lives = [RelayLifetime(relay, -SECOND, 0, 20 * SECOND, "over", 0, 0, 0) for relay in (0, 1)]
    lives.append(RelayLifetime(2, -SECOND, 0, 4 * SECOND, "killed", -9, 0, 0))
    good = [seen(7, 0, 1, dead=2), seen(8, 1, 0, dead=2)]
    good += [seen(19.5, 0, 1, dead=2), seen(19.5, 1, 0, dead=2)]
    told = judged(*lives, *good, PeerTraffic(0, 4400, 9), **peers).peers
    assert told == {
        "views": 1,
        "dead_but_reachable": 0,
        "missed_dead": 0,
        "detect_s": {"p50": 4.0, "max": 4.0},
        "agree_s": 0.0,
        "bytes_per_s": 100.0,
    }
    wrong = [*good[:2], seen(19.5, 0, dead=1), seen(19.5, 1, 0, 2)]
    told = judged(*lives, *wrong, **peers).peers
    names = ("views", "dead_but_reachable", "missed_dead", "agree_s")
    assert [told[name] for name in names] == [2, 1, 1, None]
    silent = judged(*lives, *good[:3], **peers).peers
    assert silent["dead_but_reachable"] == 1, "a live one that shows no view"
    late = ScheduledEvent(15 * SECOND, "lane", "cut", 0, 0.0, 1)
    assert judged(*lives, *wrong, **peers | {"events": (late,)}).peers["dead_but_reachable"] is None


def test_figures_are_sums_over_all_processes() -> None:
    verdict = judged(
        call(),
        setup(),
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
    assert verdict.well_served["live"] == 7 / 8, "what comes before the warm-up's end does not count"
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
    assert judged(TimerLateness("boxes 0", 400 * MS, 0)).standins_late


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
def test_any_books_are_judged_and_read_back_as_they_were_written(
    calls: list[ClientRequest], setups: list[BoxAttempt]
) -> None:
    verdict = judged(*calls, *setups)
    assert sum(verdict.answers.values()) + sum(verdict.no_answer.values()) == len(calls)
    assert set(verdict.to_flat_dict()) >= {
        "unanswered",
        "overlapping_setups",
        "cold_pushed_over",
        "well_served",
    }


def test_a_book_that_was_cut_off_is_read_up_to_there(tmp_path: Path) -> None:
    path = tmp_path / "book"
    book = EventLog(path)
    entries = [call(), setup(), ListDelivery(1, 0, 2, "up", 41)]
    for entry in entries:
        book.write(entry)
    book.close()
    assert list(read_event_log(path)) == entries
    path.write_bytes(path.read_bytes()[:-3])
    assert list(read_event_log(path)) == entries[:2]
