"""The request guard and the audit: violations are refused, counted and logged with their request."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

from helpers import MS, SECOND, Backend, RelayProgram, make_settings, wait_until
from pytest import fixture, mark
from twisted.internet.task import Clock

from cedarledge.net.invariants import Invariant, Invariants
from cedarledge.net.request_guard import TIME_LIMIT_GRACE, RequestGuard, RequestRecord
from cedarledge.net.timers import Timers
from cedarledge.terms import Outcome

# Indices of the request classes of `helpers.make_settings`.
IDEMPOTENT, DEDUP_ALL, DEDUP_ZONE, DEDUP_CELL, NON_IDEMPOTENT = range(5)
NAMES = ["a", "b", "c"]
# b is in the zone of a but in another cell; c shares neither.
LISTED = {
    0: {"locality": "z", "cell": 1},
    1: {"locality": "z", "cell": 2},
    2: {"locality": "y", "cell": 3},
}


class Scene:
    """A request guard with a fake clock."""

    def __init__(self) -> None:
        self.now = 1000 * SECOND
        self.invariants = Invariants()
        self.guard = RequestGuard(
            self.invariants, lambda: self.now, make_settings().request_classes, LISTED, NAMES
        )

    def request(self, request_class: int = IDEMPOTENT) -> RequestRecord:
        return RequestRecord("id", request_class, self.now + 3 * SECOND)

    def record_attempt(
        self, request: RequestRecord, outcome: Outcome | None, backend: int = 0
    ) -> RequestRecord:
        assert self.guard.may_attempt(request, backend, is_ready=True)
        self.guard.record_attempt(request, backend)
        if outcome is not None:
            request.attempt_ended(outcome)
        return request

    @property
    def violations(self) -> dict[Invariant, int]:
        return dict(self.invariants.counts)


@fixture
def scene() -> Iterator[Scene]:
    yield Scene()


def test_an_attempt_waits_for_the_previous_one(scene: Scene) -> None:
    request = scene.record_attempt(scene.request(), None)
    assert not scene.guard.may_attempt(request, 1, is_ready=True)
    assert scene.violations == {Invariant.TWO_ATTEMPTS: 1}


@mark.parametrize("word", ["UP", "BUSY", "ERR"])
def test_no_attempt_and_no_answer_after_the_answer(scene: Scene, word: str) -> None:
    request = scene.request()
    scene.guard.record_answer(request, word)
    assert not scene.guard.may_attempt(request, 1, is_ready=True)
    scene.guard.record_answer(request, "ERR")
    assert scene.violations == {Invariant.ATTEMPT_AFTER_ANSWER: 1, Invariant.SECOND_ANSWER: 1}


def test_no_attempt_at_a_draining_backend(scene: Scene) -> None:
    assert not scene.guard.may_attempt(scene.request(), 1, is_ready=False)
    assert scene.violations == {Invariant.ATTEMPT_AT_DRAINING: 1}


def test_time_limits_have_the_platforms_grace_time_and_no_more(scene: Scene) -> None:
    request = scene.request()
    scene.now = request.deadline + TIME_LIMIT_GRACE
    scene.guard.record_answer(request, "ERR")
    assert not scene.violations
    late = scene.request()
    scene.now = late.deadline + TIME_LIMIT_GRACE + MS
    assert not scene.guard.may_attempt(late, 1, is_ready=True)
    scene.guard.record_answer(late, "ERR")
    assert scene.violations == {Invariant.ATTEMPT_PAST_DEADLINE: 1, Invariant.LATE_ANSWER: 1}


@mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR, Outcome.CANCELLED])
@mark.parametrize(
    ("request_class", "may_go_to", "may_reject"),
    [
        (IDEMPOTENT, {0, 1, 2}, True),
        (DEDUP_ALL, {0, 1, 2}, True),
        (DEDUP_ZONE, {0, 1}, False),
        (DEDUP_CELL, {0}, False),
        (NON_IDEMPOTENT, set(), False),
    ],
)
def test_a_request_that_may_have_run_is_repeated_only_where_its_effect_allows(
    scene: Scene, outcome: Outcome, request_class: int, may_go_to: set[int], may_reject: bool
) -> None:
    request = scene.record_attempt(scene.request(request_class), outcome)
    allowed = {backend for backend in LISTED if scene.guard.may_attempt(request, backend, is_ready=True)}
    assert allowed == may_go_to
    assert scene.guard.may_reject(request) == may_reject
    window = make_settings().request_classes[request_class].window
    scene.now = request.attempts[0].began + window + TIME_LIMIT_GRACE
    later = {backend for backend in LISTED if scene.guard.may_attempt(request, backend, is_ready=True)}
    assert later == (may_go_to if request_class == IDEMPOTENT else set())


@mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_a_request_that_never_ran_may_be_repeated_anywhere(scene: Scene, outcome: Outcome) -> None:
    request = scene.request(NON_IDEMPOTENT)
    for backend in LISTED:
        scene.record_attempt(request, outcome, backend)
    assert scene.guard.may_reject(request) and not scene.violations


@mark.parametrize(
    ("request_class", "may_go_to"),
    [(IDEMPOTENT, {0, 1, 2}), (DEDUP_ALL, {0, 1, 2}), (DEDUP_ZONE, {0, 1}), (DEDUP_CELL, {0})],
)
def test_a_repeat_is_written_only_in_its_group_and_in_its_window(
    scene: Scene, request_class: int, may_go_to: set[int]
) -> None:
    """Guards against a second execution where an attempt begins in time and its connection comes up late."""
    request = scene.record_attempt(scene.request(request_class), Outcome.RESET)
    scene.guard.record_attempt(request, 1)
    window = make_settings().request_classes[request_class].window
    deadline = scene.guard.send_deadline(request)
    assert deadline == (None if request_class == IDEMPOTENT else request.attempts[0].began + window)
    scene.now += window - 1
    assert {backend for backend in LISTED if scene.guard.may_send(request, backend)} == may_go_to
    scene.now += 1
    later = {backend for backend in LISTED if scene.guard.may_send(request, backend)}
    assert later == (may_go_to if request_class == IDEMPOTENT else set())


@mark.parametrize("request_class", [DEDUP_ALL, DEDUP_CELL, NON_IDEMPOTENT])
def test_an_attempt_after_none_that_may_have_run_is_written_whenever_its_connection_comes_up(
    scene: Scene, request_class: int
) -> None:
    """Guards against counting the attempt in progress as one that may have run."""
    request = scene.record_attempt(scene.request(request_class), Outcome.CONNECT_FAILED)
    scene.guard.record_attempt(request, 2)
    scene.now += 10 * SECOND
    assert scene.guard.may_send(request, 2) and scene.guard.send_deadline(request) is None


def test_timers_that_the_reactor_loses_are_called_and_counted() -> None:
    """Guards against timers that the reactor never calls, as after a step back of the wall clock."""
    reactor, called, stuck = Clock(), [], []
    timers = Timers(reactor, lambda: round(reactor.seconds() * SECOND))
    timers.on_stuck = stuck.append
    timers.after(100 * MS, called.append, "first")
    reactor.calls[0].time += 3600
    reactor.advance(0.5)
    timers.after(SECOND, called.append, "second")
    reactor.advance(0.7)
    assert not called and not stuck
    timers.after(SECOND, called.append, "third")
    reactor.pump([0.0, 0.0])
    assert called == ["first"] and stuck == [1100 * MS]
    reactor.pump([0.3, 0.7])
    assert called == ["first", "second", "third"]


def test_a_relay_that_was_paused_counts_no_stuck_timers(tmp_path: Path) -> None:
    with RelayProgram(tmp_path, [Backend("a")]) as relay:
        client = relay.client()
        assert client.open() == "UP r"
        relay.pause()
        client.link.sendall(b"M 1\r\n")
        time.sleep(2.5)
        relay.resume()
        assert client.read_line() == "M 1"
        relay.terminate()
        assert relay.process.wait(8) == 0
        assert "no invariant broken" in relay.log.read_text()


def test_the_log_describes_the_fate_of_each_request(tmp_path: Path) -> None:
    """The log has each request's id, attempts, outcomes and reason for closing, and the counts at the end."""
    backends = [Backend("a", "ERR")]
    with RelayProgram(tmp_path, backends) as relay:
        failed, silent = relay.client(), relay.client()
        assert failed.open(names="c=bill,d=1500") == "ERR"
        backends[0].modes = ["UP r"]
        wait_until(lambda: silent.open() == "UP r")
        backends[0].unresponsive = True
        silent.link.sendall(b"M 1\r\n")
        assert silent.read_line() == "MOVE"
        relay.process.send_signal(signal.SIGTERM)
        assert relay.process.wait(8) == 0
        log = relay.log.read_text()
    assert f"failed: {failed.id}, " in log and "attempts: a ERROR" in log
    assert f"silent: {silent.id}, " in log and "attempts: a out" in log
    assert "2 taken, 1 opened, 0 rejected, 1 failed, 1 moved, 1 silent" in log
    assert "no invariant broken" in log
