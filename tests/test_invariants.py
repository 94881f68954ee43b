"""The guard and the audit: what breaks a rule is refused, counted and told with its request."""

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

# Places of the classes that `helpers.make_settings` has.
IDEMPOTENT, DEDUP_ALL, DEDUP_ZONE, DEDUP_CELL, NON_IDEMPOTENT = range(5)
NAMES = ["a", "b", "c"]
# b shares the zone of a and not its cell; c shares nothing with it.
LISTED = {
    0: {"locality": "z", "cell": 1},
    1: {"locality": "z", "cell": 2},
    2: {"locality": "y", "cell": 3},
}


class Scene:
    """A guard on a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 1000 * SECOND
        self.invariants = Invariants()
        self.guard = RequestGuard(
            self.invariants, lambda: self.now, make_settings().request_classes, LISTED, NAMES
        )

    def request(self, request_class: int = IDEMPOTENT) -> RequestRecord:
        return RequestRecord("id", request_class, self.now + 3 * SECOND)

    def attempted(self, request: RequestRecord, outcome: Outcome | None, backend: int = 0) -> RequestRecord:
        assert self.guard.may_attempt(request, backend, is_ready=True)
        self.guard.record_attempt(request, backend)
        if outcome is not None:
            request.attempt_ended(outcome)
        return request

    @property
    def seen(self) -> dict[Invariant, int]:
        return dict(self.invariants.counts)


@fixture
def scene() -> Iterator[Scene]:
    yield Scene()


def test_an_attempt_waits_for_the_one_before(scene: Scene) -> None:
    request = scene.attempted(scene.request(), None)
    assert not scene.guard.may_attempt(request, 1, is_ready=True)
    assert scene.seen == {Invariant.TWO_ATTEMPTS: 1}


@mark.parametrize("word", ["UP", "BUSY", "ERR"])
def test_nothing_goes_out_after_the_answer(scene: Scene, word: str) -> None:
    request = scene.request()
    scene.guard.record_answer(request, word)
    assert not scene.guard.may_attempt(request, 1, is_ready=True)
    scene.guard.record_answer(request, "ERR")
    assert scene.seen == {Invariant.ATTEMPT_AFTER_ANSWER: 1, Invariant.SECOND_ANSWER: 1}


def test_nothing_new_goes_to_a_draining_backend(scene: Scene) -> None:
    assert not scene.guard.may_attempt(scene.request(), 1, is_ready=False)
    assert scene.seen == {Invariant.ATTEMPT_AT_DRAINING: 1}


def test_time_limits_have_the_platforms_grace_and_no_more(scene: Scene) -> None:
    request = scene.request()
    scene.now = request.deadline + TIME_LIMIT_GRACE
    scene.guard.record_answer(request, "ERR")
    assert not scene.seen
    late = scene.request()
    scene.now = late.deadline + TIME_LIMIT_GRACE + MS
    assert not scene.guard.may_attempt(late, 1, is_ready=True)
    scene.guard.record_answer(late, "ERR")
    assert scene.seen == {Invariant.ATTEMPT_PAST_DEADLINE: 1, Invariant.LATE_ANSWER: 1}


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
def test_what_may_have_run_goes_only_where_its_effect_allows(
    scene: Scene, outcome: Outcome, request_class: int, may_go_to: set[int], may_reject: bool
) -> None:
    request = scene.attempted(scene.request(request_class), outcome)
    allowed = {backend for backend in LISTED if scene.guard.may_attempt(request, backend, is_ready=True)}
    assert allowed == may_go_to
    assert scene.guard.may_reject(request) == may_reject
    window = make_settings().request_classes[request_class].window
    scene.now = request.attempts[0].began + window + TIME_LIMIT_GRACE
    later = {backend for backend in LISTED if scene.guard.may_attempt(request, backend, is_ready=True)}
    assert later == (may_go_to if request_class == IDEMPOTENT else set())


@mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_what_never_ran_goes_anywhere(scene: Scene, outcome: Outcome) -> None:
    request = scene.request(NON_IDEMPOTENT)
    for backend in LISTED:
        scene.attempted(request, outcome, backend)
    assert scene.guard.may_reject(request) and not scene.seen


def test_deadlines_that_the_reactor_forgets_are_called_and_counted() -> None:
    """As a step back of the wall clock left them: asked for, and never called."""
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


def test_a_relay_that_was_paused_counts_no_stuck_deadlines(tmp_path: Path) -> None:
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


def test_the_log_says_what_became_of_each_request(tmp_path: Path) -> None:
    """Ids, attempts and how they ended, why it was closed; and the counts at the end."""
    backends = [Backend("a", "ERR")]
    with RelayProgram(tmp_path, backends) as relay:
        failed, silent = relay.client(), relay.client()
        assert failed.open(names="c=bill,d=1500") == "ERR"
        backends[0].modes = ["UP r"]
        wait_until(lambda: silent.open() == "UP r")
        backends[0].deaf = True
        silent.link.sendall(b"M 1\r\n")
        assert silent.read_line() == "MOVE"
        relay.process.send_signal(signal.SIGTERM)
        assert relay.process.wait(8) == 0
        log = relay.log.read_text()
    assert f"failed: {failed.id}, " in log and "attempts: a ERROR" in log
    assert f"silent: {silent.id}, " in log and "attempts: a out" in log
    assert "2 taken, 1 opened, 0 rejected, 1 failed, 1 moved, 1 silent" in log
    assert "no invariant broken" in log
