"""A relay whose system calls fail or are incomplete for a moment, in ways that Linux documents."""

from __future__ import annotations

import errno
import time
from collections import Counter
from pathlib import Path

from helpers import Backend, RelayProgram
from pytest import mark, raises

from cedarledge.faults.system_calls import KINDS, SystemCallFaults
from cedarledge.net.poller import RETRY_WITHIN, RetryingPoller

CLIENTS = 60
# Each kind of call alone, then all together; failure rates from 1 in 100 to 1 in 10.
CASES = [(kind, (kind,), 0.1) for kind in KINDS] + [("all", KINDS, 0.01), ("all-often", KINDS, 0.1)]


@mark.parametrize(("kinds", "rate"), [case[1:] for case in CASES], ids=[case[0] for case in CASES])
def test_each_client_is_served_while_system_calls_fail(
    tmp_path: Path, kinds: tuple[str, ...], rate: float
) -> None:
    faults = SystemCallFaults(tmp_path, 11, rate, kinds)

    class FaultyProgram(RelayProgram):
        environment = faults.environment()

    answers: Counter[str] = Counter()
    with FaultyProgram(tmp_path, [Backend("a"), Backend("b")]) as relay:
        for number in range(CLIENTS):
            client = relay.client()
            began = time.monotonic()
            answers[client.open(str(number))] += 1
            assert time.monotonic() - began < 1.55, "the answer comes before the client times out"
            answers[client.exchange("M 1")] += 1
            client.close()
        relay.terminate()
        assert relay.process.wait(8) == 0
        log = relay.log.read_text()
    assert answers == {"UP r": CLIENTS, "M 1": CLIENTS}
    assert sum(faults.counts().values()) > 0
    assert "Traceback" not in log and "invariant broken:" not in log


class FailingEpoll:
    """An epoll object whose registrations fail with the given error numbers in turn; 0 succeeds."""

    def __init__(self, *errors: int) -> None:
        self.errors = list(errors)
        self.watched: dict[int, int] = {}
        self.waits: list[float] = []

    def register(self, descriptor: int, flags: int) -> None:
        if self.errors and (number := self.errors.pop(0)):
            raise OSError(number, "on purpose")
        self.watched[descriptor] = flags

    modify = register

    def unregister(self, descriptor: int) -> None:
        del self.watched[descriptor]

    def poll(self, timeout: float, most: int) -> list[tuple[int, int]]:
        self.waits.append(timeout)
        return []


def test_a_failed_registration_is_retried_and_waits_are_short_until_it_succeeds() -> None:
    epoll = FailingEpoll(errno.ENOMEM, errno.ENOSPC)
    poller = RetryingPoller(epoll)
    poller.register(7, 1)
    poller.poll(5.0, 9)
    poller.poll(-1, 9)
    assert epoll.watched == {7: 1} and epoll.waits == [RETRY_WITHIN, -1]


def test_a_pending_registration_is_dropped_when_the_descriptor_is_unregistered() -> None:
    epoll = FailingEpoll(errno.ENOMEM)
    poller = RetryingPoller(epoll)
    poller.register(7, 1)
    poller.unregister(7)
    poller.poll(5.0, 9)
    assert not epoll.watched and epoll.waits == [5.0]


def test_of_failed_modifications_the_last_one_is_applied() -> None:
    epoll = FailingEpoll(0, errno.ENOMEM, errno.ENOMEM)
    poller = RetryingPoller(epoll)
    poller.register(7, 1)
    poller.modify(7, 5)
    poller.modify(7, 4)
    poller.poll(5.0, 9)
    assert epoll.watched == {7: 4}


def test_a_descriptor_that_can_not_be_watched_does_not_shorten_later_waits() -> None:
    poller = RetryingPoller(FailingEpoll(errno.EPERM))
    with raises(OSError):
        poller.register(7, 1)
    epoll = FailingEpoll(errno.ENOMEM, errno.EBADF)
    poller = RetryingPoller(epoll)
    poller.register(7, 1)
    poller.poll(5.0, 9)
    poller.poll(5.0, 9)
    assert epoll.waits == [5.0, 5.0]
