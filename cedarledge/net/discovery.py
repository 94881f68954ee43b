"""Follows discovery's list of backends: the connection to discovery, and the watch loop."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectingCancelledError, ConnectionDone
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from cedarledge.net.config import Address
from cedarledge.net.http_reader import HttpError, HttpReader, HttpResponse
from cedarledge.net.timers import Timer, Timers
from cedarledge.net.transient_errors import connect_not_attempted
from cedarledge.terms import MS, SECOND

PATH = "/discovery/hosts"
# A change that a silent watch misses counts as received 6 s after the watch fell silent, or 2 s past the
# wait of its call if that is later. With waits of at most MAX_WAIT the 6 s apply, and the call ends and is
# repeated before them. Each wait is shortened by a random part of up to WAIT_SPREAD: the calls of all relays
# begin with the same change, and would otherwise all be repeated together.
MAX_WAIT, WAIT_SPREAD = 4 * SECOND, 0.5
# Lower bound for the interval that the settings ask for. Without a wait relay and discovery would exchange
# calls and answers as fast as they can.
MIN_WAIT = 400 * MS
# How long past its wait a call may take, as its answer queues at discovery. A call for the whole list has no
# wait, and discovery may queue it for some seconds before it fails it.
ANSWER_GRACE, WHOLE_LIST_TIMEOUT = SECOND, 4 * SECOND
CONNECT_TIMEOUT = 2 * SECOND
# Where the list is pushed, the process beside this relay that serves it does so for this relay alone, and
# what it has counts as received whether a call is open or not. A lost call is therefore repeated after this
# time.
PUSHED_RETRY_DELAY = 100 * MS
# Where the list is requested, a change counts as received 6 s after discovery had it and could be reached,
# whatever calls failed before. So the next call begins within this time, however late the policy would retry.
# It is shortened at random, as all relays lose discovery together; the rest of the 6 s is for a call that
# queues at discovery.
RETRY_WITHIN = 4 * SECOND
# What discovery has to tell counts as received this long after a new address, and after another process of
# this relay was taken over, whatever calls failed meanwhile.
RECEIVED_AFTER_MOVE, RECEIVED_AFTER_TAKEOVER = 4 * SECOND, 2 * SECOND
# A call without an answer is repeated this long before that time, which leaves time for the answer.
REPEAT_BEFORE_DUE = 250 * MS
# Pause after an answer that brought nothing newer. Discovery allows 200 ms between the calls of a watch.
STALE_ANSWER_PAUSE = 150 * MS


class DiscoveryConnection(Protocol):
    """A connection to discovery, for one call at a time."""

    transport: Any

    def __init__(self) -> None:
        """No call is in progress at first."""
        self._reader = HttpReader()
        self._response: Deferred[HttpResponse] | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Sends calls without delay."""
        self.transport.setTcpNoDelay(True)

    def get(self, host: str, target: str) -> Deferred[HttpResponse]:
        """Sends a GET request. The result fails with HttpError or the reason for the connection's end."""
        self._response = Deferred()
        self.transport.write(
            f"GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode("ascii")
        )
        return self._response

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Completes the call once its response is whole, or fails it."""
        try:
            response = self._reader.feed(data)
        except HttpError as error:
            self.transport.abortConnection()
            self._fail(error)
            return
        if response is not None:
            self._succeed(response)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Completes a response that ends with the connection, or fails the call."""
        response = self._reader.end() if reason.check(ConnectionDone) else None
        if response is not None:
            self._succeed(response)
        else:
            self._fail(reason.value)

    def _succeed(self, response: HttpResponse) -> None:
        pending, self._response = self._response, None
        if pending is not None:
            pending.callback(response)

    def _fail(self, error: BaseException) -> None:
        pending, self._response = self._response, None
        if pending is not None:
            pending.errback(error)


class Watch:
    """Follows the list by calls that discovery answers at the next change, or when their wait is over.

    Discovery allows a pause of 200 ms between the calls of a watch, so the next call is sent in the same
    event that brought the last answer.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        timers: Timers,
        address: Address,
        revision: int,
        wait: int,
        pushed: bool,
        random: Callable[[], float],
        on_update: Callable[[bool, list], None],
        on_failure: Callable[[], None],
        on_answer: Callable[[bool], None] = lambda _is_current: None,
    ) -> None:
        """Follows the list from `revision` on once `start` is called; `wait` is the settings' interval in ns.

        `on_update` gets whether the list is whole, and its members; it raises if they are invalid. With
        `pushed` a failed call is repeated here after PUSHED_RETRY_DELAY. Otherwise `on_failure` lets the
        policy choose when to call `start`, and RETRY_WITHIN is the limit. `on_answer` is called after each
        valid answer, also one without changes, with whether the list is discovery's current one now; it is
        not after an answer out of sequence that could not be applied.
        """
        self._reactor = reactor
        self._timers = timers
        self._address = address
        self._revision: int | None = revision  # None: the whole list is requested
        self._max_wait = max(MIN_WAIT, min(wait or MAX_WAIT, MAX_WAIT))
        self._pushed = pushed
        self._random = random
        self._on_update = on_update
        self._on_failure = on_failure
        self._on_answer = on_answer
        self._connection: DiscoveryConnection | None = None
        self._call: Deferred | None = None
        self._timer: Timer | None = None
        self._sent_at = self._wait = 0
        self._unanswered_since = 0  # when the call began, or the silent one that it repeats
        # When all that discovery has to tell counts as received, if no answer has come since that was set.
        self._due_at: int | None = None
        # Whether a call since the last answer has timed out, and whether one has failed.
        self._has_timed_out = self._has_failed = False

    def start(self) -> None:
        """Sends a call unless one is in progress."""
        if self._call is None:
            self._send_call()

    def set_address(self, address: Address) -> None:
        """Follows the list at another address, beginning with the whole list.

        Whether revisions continue there is unknown, and a change that neither address reports would be lost.
        """
        if address != self._address:
            self._address = address
            self._resume(None, RECEIVED_AFTER_MOVE)

    @property
    def revision(self) -> int | None:
        """The revision from which changes are requested; None if the whole list is."""
        return self._revision

    def resume_from(self, revision: int | None) -> None:
        """Continues from `revision`, up to which another process followed the list; None: the whole list."""
        self._resume(revision, RECEIVED_AFTER_TAKEOVER)

    def _resume(self, revision: int | None, received_after: int) -> None:
        self.stop()
        self._revision = revision
        due_at = self._timers.now() + received_after
        # A second move does not put off what counts as received by the first.
        self._due_at = due_at if self._due_at is None else min(self._due_at, due_at)
        self._has_timed_out = self._has_failed = False  # these may have been calls to another address
        self._send_call()

    def stop(self) -> None:
        """Cancels the call and closes its connection. Nothing is reported, as the list is not lost."""
        self._timers.cancel(self._timer)
        call, self._call = self._call, None
        if call is not None:
            call.cancel()
        self._disconnect()

    def _send_call(self) -> None:
        self._timers.cancel(self._timer)
        self._sent_at = self._unanswered_since = self._timers.now()
        self._wait = int(self._max_wait * self._spread())
        if self._due_at is not None:
            self._wait = min(self._wait, max(MIN_WAIT, (self._due_at - self._sent_at) // 2))
        if self._connection is None:
            self._timer = self._timers.after_pending_reads(
                self._ending_before_due(CONNECT_TIMEOUT), self._timed_out
            )
            endpoint = TCP4ClientEndpoint(self._reactor, *self._address, timeout=None)
            self._call = connectProtocol(endpoint, DiscoveryConnection()).addCallback(self._connected)
        else:
            self._call = self._connected(self._connection)
        self._call.addCallback(self._handle_response).addErrback(self._call_failed)

    def _connected(self, connection: DiscoveryConnection) -> Deferred[HttpResponse]:
        self._connection = connection
        self._timers.cancel(self._timer)
        # After a pause of this process the answer may be unread, and a drain in it counts as received.
        timeout = WHOLE_LIST_TIMEOUT if self._revision is None else self._wait + ANSWER_GRACE
        self._timer = self._timers.after_pending_reads(self._ending_before_due(timeout), self._timed_out)
        target = (
            PATH
            if self._revision is None
            else (f"{PATH}?since={self._revision}&timeout_ms={self._wait // MS}")
        )
        return connection.get("{}:{}".format(*self._address), target)

    def _spread(self) -> float:
        return 1 - WAIT_SPREAD * self._random()

    def _ending_before_due(self, timeout: int) -> int:
        """Returns the time-out, or a shorter one after which the call can still be repeated in time, ns."""
        if self._due_at is None:
            return timeout
        left = self._due_at - REPEAT_BEFORE_DUE - self._timers.now()
        # A call that begins late is not cut short: its answer may queue at discovery.
        return min(timeout, left) if left >= ANSWER_GRACE else timeout

    def _timed_out(self) -> None:
        if self._connection is not None and not self._has_timed_out:
            # A call without an answer past its time is broken, which does not mean that discovery is in
            # trouble: then it would fail its calls. Changes that were missed are about to count as received,
            # so the call is repeated at once, but only once. That includes the call for the whole list: after
            # a SIGHUP with a silent address it was repeated up to 10 s later.
            logger.warning("discovery: the watch is silent, opening a new one")
            self._has_timed_out = True
            unanswered_since = self._unanswered_since
            self.stop()
            self._send_call()
            self._unanswered_since = unanswered_since
        elif self._call is not None:
            self._call.cancel()

    def _handle_response(self, response: HttpResponse) -> None:
        if response.status != 200:
            raise HttpError(f"status {response.status}")
        try:
            data = json.loads(response.body)
            revision, whole, members = int(data["revision"]), bool(data["complete"]), list(data["members"])
            newer = self._revision is None or revision > self._revision
            if newer or whole:
                self._on_update(whole, members)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            raise HttpError(f"not a list: {error!r}") from error
        early = self._timers.now() - self._sent_at < self._wait // 2
        in_sequence = newer or not (members or early)
        if in_sequence or whole:
            self._due_at = None
        self._on_answer(in_sequence or whole)
        self._timers.cancel(self._timer)
        self._has_timed_out = self._has_failed = False
        if in_sequence:
            self._revision = revision
            if response.closes:
                self._disconnect()
            self._send_call()
            return
        # The answer is not newer, although it has members or came early: a revision that went back, or a
        # repeated answer, after which each later one would arrive one call late, with the drains in it. The
        # current state is requested from the start, on a new connection where no other answer is on its way.
        # Without a pause relay and discovery would exchange calls and answers as fast as they can.
        logger.warning("discovery: revision {} after {}, out of sequence", revision, self._revision)
        self._revision = revision if whole else None
        self._disconnect()
        self._timer = self._timers.after(STALE_ANSWER_PAUSE, self._send_call)

    def _call_failed(self, failure: Failure) -> None:
        if self._call is None:
            # Cancelled by stop().
            return
        self._call = None
        self.stop()
        if connect_not_attempted(failure.value):
            # This machine lacked something for the connect, so discovery was not contacted.
            self._timer = self._timers.after(PUSHED_RETRY_DELAY, self._send_call)
            return
        reported, self._has_failed = self._pushed and self._has_failed, True
        timed_out = failure.check(CancelledError, ConnectingCancelledError) is not None
        self._timer = self._timers.after(
            PUSHED_RETRY_DELAY if self._pushed else self._retry_delay(), self._send_call
        )
        if not reported:  # otherwise it would be reported ten times a second
            logger.warning("discovery: {}", "no answer in time" if timed_out else failure.getErrorMessage())
            self._on_failure()

    def _retry_delay(self) -> int:
        """Returns the time until the next call, ns.

        A call that failed has shown nothing since it began, as it may have queued at discovery. That time is
        subtracted, with the time of a silent call that it repeats.
        """
        now, spread = self._timers.now(), self._spread()
        delay = int(RETRY_WITHIN * spread) - (now - self._unanswered_since)
        if self._due_at is not None:
            # Ever sooner up to the due time, and ever later from then on.
            delay = min(delay, int(abs(self._due_at - now) * spread / 2))
        return max(PUSHED_RETRY_DELAY, delay)

    def _disconnect(self) -> None:
        """Closes the connection; the only place where that is done."""
        connection, self._connection = self._connection, None
        if connection is not None and connection.connected:
            connection.transport.abortConnection()
