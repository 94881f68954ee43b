"""A relay whose system calls fail, or fall short, in ways that Linux documents and that pass."""

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
# Each kind of call by itself, then all at once; failures from 1 in 100 to 1 in 10.
CASES = [(kind, (kind,), 0.1) for kind in KINDS] + [("all", KINDS, 0.01), ("all-often", KINDS, 0.1)]


@mark.parametrize(("kinds", "rate"), [case[1:] for case in CASES], ids=[case[0] for case in CASES])
def test_each_client_is_served_while_system_calls_fail(
    tmp_path: Path, kinds: tuple[str, ...], rate: float
) -> None:
    faults = SystemCallFaults(tmp_path, 11, rate, kinds)

    class FaultyProgram(RelayProgram):
        environment = faults.environment()

    words: Counter[str] = Counter()
    with FaultyProgram(tmp_path, [Backend("a"), Backend("b")]) as relay:
        for number in range(CLIENTS):
            client = relay.client()
            began = time.monotonic()
            words[client.open(str(number))] += 1
            assert time.monotonic() - began < 1.55, "an answer before the client gives up"
            words[client.exchange("M 1")] += 1
            client.close()
        relay.terminate()
        assert relay.process.wait(8) == 0
        log = relay.log.read_text()
    assert words == {"UP r": CLIENTS, "M 1": CLIENTS}
    assert sum(faults.counts().values()) > 0
    assert "Traceback" not in log and "invariant broken:" not in log


class ShortEpoll:
    """An epoll object whose registrations fail with the errors that it is given, one each."""

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


def test_a_registration_is_made_in_the_end_and_waits_are_short_until_then() -> None:
    epoll = ShortEpoll(errno.ENOMEM, errno.ENOSPC)
    poller = RetryingPoller(epoll)
    poller.register(7, 1)
    poller.poll(5.0, 9)
    poller.poll(-1, 9)
    assert epoll.watched == {7: 1} and epoll.waits == [RETRY_WITHIN, -1]


def test_a_registration_that_was_given_up_is_not_made() -> None:
    epoll = ShortEpoll(errno.ENOMEM)
    poller = RetryingPoller(epoll)
    poller.register(7, 1)
    poller.unregister(7)
    poller.poll(5.0, 9)
    assert not epoll.watched and epoll.waits == [5.0]


def test_a_change_that_fails_is_made_later_and_the_last_one_wins() -> None:
    epoll = ShortEpoll(0, errno.ENOMEM, errno.ENOMEM)
    poller = RetryingPoller(epoll)
    poller.register(7, 1)
    poller.modify(7, 5)
    poller.modify(7, 4)
    poller.poll(5.0, 9)
    assert epoll.watched == {7: 4}


def test_what_can_not_be_watched_keeps_nobody_else_from_being() -> None:
    poller = RetryingPoller(ShortEpoll(errno.EPERM))
    with raises(OSError):
        poller.register(7, 1)
    epoll = ShortEpoll(errno.ENOMEM, errno.EBADF)
    poller = RetryingPoller(epoll)
    poller.register(7, 1)
    poller.poll(5.0, 9)
    poller.poll(5.0, 9)
    assert epoll.waits == [5.0, 5.0]
