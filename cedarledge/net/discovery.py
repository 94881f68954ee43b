"""The list of backends: an HTTP/1.1 reader and the watch loop."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from loguru import logger
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectingCancelledError, ConnectionDone
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from cedarledge.net.config import Address
from cedarledge.net.timers import Timer, Timers
from cedarledge.net.transient_errors import connect_not_attempted
from cedarledge.terms import MS, SECOND

PATH = "/discovery/hosts"
# No list comes near these; an answer past them is not read on.
LONGEST_HEAD, LONGEST_BODY = 16 << 10, 8 << 20
# What a silent watch misses counts as told 6 s after it fell silent, or 2 s past the wait of its call if that
# is later. With waits no longer than this it is the 6 s, and the call is over and made anew before them. Each
# is shorter by chance: all relays' calls begin with the same change, and would all be made anew together.
LONGEST_WAIT, SHORTER = 4 * SECOND, 0.5
# However soon the settings want it asked again: without a wait the two would go round as fast as they can.
LEAST_WAIT = 400 * MS
# How long past its wait a call may take: the answer stands in turn there. A whole list has no wait, and
# discovery may keep a call in turn for some seconds before it fails it.
PATIENCE, WHOLE_WITHIN = SECOND, 4 * SECOND
CONNECT_WITHIN = 2 * SECOND
# Where the list comes unasked, what stands beside this relay to tell it has it for this relay alone, and what
# that has counts as told whether a call is out or not: a lost call is made again after so long.
AGAIN = 100 * MS
# Where it is asked for, a change counts as received 6 s after discovery had it and could be reached, whatever
# calls failed before: however late the module would retry, the next call begins within this. Shorter by
# chance, as all relays lose discovery together; the rest of the 6 s is for a call that stands in turn there.
RETRY_WITHIN = 4 * SECOND
# Before what told nothing new is asked again. Discovery bears 200 ms between the calls of a watch.
PAUSE = 150 * MS


class HttpError(Exception):
    """An answer that is no HTTP/1.1, or none that can be used."""


class HttpAnswer(NamedTuple):
    status: int
    closes: bool
    body: bytes


class HttpReader:
    """Reads one answer after the other from a stream: by length, in chunks, or up to the end."""

    def __init__(self) -> None:
        self._data = b""
        self._read = self._head
        self._status = 0
        self._closes = False
        self._length = 0
        self._body: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> HttpAnswer | None:
        self._data += data
        while True:
            reader = self._read
            answer = reader()
            if answer is not None or self._read == reader:
                return answer

    def end(self) -> HttpAnswer | None:
        """The stream has ended, which ends an answer that gave no length."""
        if self._read != self._to_the_end:
            return None
        return self._done()

    def _take(self, size: int) -> bytes:
        taken, self._data = self._data[:size], self._data[size:]
        return taken

    def _line(self) -> bytes | None:
        at = self._data.find(b"\r\n")
        if at < 0:
            if len(self._data) > LONGEST_HEAD:
                raise HttpError("a line without an end")
            return None
        return self._take(at + 2)[:-2]

    def _keep(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > LONGEST_BODY:
            raise HttpError("a body past all measure")
        self._body.append(data)

    def _head(self) -> HttpAnswer | None:
        end = self._data.find(b"\r\n\r\n")
        if (end if end >= 0 else len(self._data)) > LONGEST_HEAD:
            raise HttpError("a head past all measure")
        if end < 0:
            return None
        first, *lines = self._take(end + 4)[:-4].decode("latin-1").split("\r\n")
        version, _, rest = first.partition(" ")
        if not version.startswith("HTTP/1.") or not rest[:3].isdecimal():
            raise HttpError(f"not an answer: {first[:60]!r}")
        self._status = int(rest[:3])
        if 100 <= self._status < 200:
            return None
        fields = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon:
                raise HttpError(f"not a header field: {line[:60]!r}")
            fields[name.strip().lower()] = value.strip().lower()
        self._closes = "close" in fields.get("connection", "") or version == "HTTP/1.0"
        self._body, self._size = [], 0
        length = fields.get("content-length")
        if "chunked" in fields.get("transfer-encoding", ""):
            self._read = self._chunk_head
        elif length is not None:
            if not length.isdecimal() or int(length) > LONGEST_BODY:
                raise HttpError(f"no length: {length[:20]!r}")
            self._length = int(length)
            self._read = self._by_length
        elif self._status in (204, 304):
            return self._done()
        else:
            self._closes = True
            self._read = self._to_the_end
        return None

    def _by_length(self) -> HttpAnswer | None:
        if len(self._data) < self._length:
            return None
        self._keep(self._take(self._length))
        return self._done()

    def _chunk_head(self) -> HttpAnswer | None:
        line = self._line()
        if line is not None:
            try:
                self._length = int(line.partition(b";")[0], 16)
            except ValueError as why:
                raise HttpError(f"no chunk: {line[:20]!r}") from why
            if not 0 <= self._length <= LONGEST_BODY:
                raise HttpError("a chunk past all measure")
            self._read = self._chunk if self._length else self._trailer
        return None

    def _chunk(self) -> HttpAnswer | None:
        if len(self._data) >= self._length + 2:
            chunk = self._take(self._length + 2)
            if chunk[-2:] != b"\r\n":
                raise HttpError("a chunk past its length")
            self._keep(chunk[:-2])
            self._read = self._chunk_head
        return None

    def _trailer(self) -> HttpAnswer | None:
        while (line := self._line()) is not None:
            if not line:
                return self._done()
        return None

    def _to_the_end(self) -> HttpAnswer | None:
        self._keep(self._take(len(self._data)))
        return None

    def _done(self) -> HttpAnswer:
        self._read = self._head
        return HttpAnswer(self._status, self._closes, b"".join(self._body))


class DiscoveryConnection(Protocol):
    """A connection to discovery, for one call at a time."""

    transport: Any

    def __init__(self) -> None:
        self._reader = HttpReader()
        self._asked: Deferred[HttpAnswer] | None = None

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)

    def ask(self, host: str, target: str) -> Deferred[HttpAnswer]:
        self._asked = Deferred()
        self.transport.write(
            f"GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode("ascii")
        )
        return self._asked

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            answer = self._reader.feed(data)
        except HttpError as why:
            self.transport.abortConnection()
            self._fail(why)
            return
        if answer is not None:
            self._succeed(answer)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        answer = self._reader.end() if reason.check(ConnectionDone) else None
        if answer is not None:
            self._succeed(answer)
        else:
            self._fail(reason.value)

    def _succeed(self, answer: HttpAnswer) -> None:
        asked, self._asked = self._asked, None
        if asked is not None:
            asked.callback(answer)

    def _fail(self, why: BaseException) -> None:
        asked, self._asked = self._asked, None
        if asked is not None:
            asked.errback(why)


class Watch:
    """Follows the list. Between the answers of a watch discovery bears a pause of 200 ms, so the next call
    goes out in the very event that brought the last answer."""

    def __init__(
        self,
        reactor: IReactorTCP,
        timers: Timers,
        address: Address,
        revision: int,
        wait: int,
        pushed: bool,
        chance: Callable[[], float],
        told: Callable[[bool, list], None],
        failed: Callable[[], None],
        current: Callable[[], None] = lambda: None,
    ) -> None:
        """`pushed`: a lost call is made again here, soon. Else `failed` has others say when, by `start`, up
        to RETRY_WITHIN. `current` is called after each answer, also one without news."""
        self._reactor = reactor
        self._timers = timers
        self._address = address
        self._revision: int | None = revision  # None: the whole list is asked for
        self._longest = max(LEAST_WAIT, min(wait or LONGEST_WAIT, LONGEST_WAIT))
        self._pushed = pushed
        self._chance = chance
        self._told = told
        self._failed = failed
        self._current = current
        self._link: DiscoveryConnection | None = None
        self._call: Deferred | None = None
        self._due: Timer | None = None
        self._asked_at = self._wait = 0
        # Of the calls since the last answer: whether one was silent, and whether one was lost.
        self._was_silent = self._was_lost = False

    def start(self) -> None:
        if self._call is None:
            self._ask()

    def set_address(self, address: Address) -> None:
        """Follows the list at another address from now on, and from the whole list on: whether revisions
        go on there is not known, and a change that neither place tells would be missed for good."""
        if address != self._address:
            self._address = address
            self.resume_from(None)

    @property
    def revision(self) -> int | None:
        """What is followed from here on; None: nothing that is known."""
        return self._revision

    def resume_from(self, revision: int | None) -> None:
        """Another process has followed the list up to there."""
        self.stop()
        self._revision = revision
        self._was_silent = self._was_lost = False  # what was heard before says nothing of who is asked now
        self._ask()

    def stop(self) -> None:
        """Gives back the call and its connection, and tells nobody: the list is not lost."""
        self._timers.cancel(self._due)
        call, self._call = self._call, None
        if call is not None:
            call.cancel()
        self._drop()

    def _ask(self) -> None:
        self._timers.cancel(self._due)
        self._asked_at = self._timers.now()
        self._wait = int(self._longest * (1 - SHORTER * self._chance()))
        if self._link is None:
            self._due = self._timers.after_pending_reads(CONNECT_WITHIN, self._hung)
            endpoint = TCP4ClientEndpoint(self._reactor, *self._address, timeout=None)
            self._call = connectProtocol(endpoint, DiscoveryConnection()).addCallback(self._connected)
        else:
            self._call = self._connected(self._link)
        self._call.addCallback(self._answered).addErrback(self._lost)

    def _connected(self, link: DiscoveryConnection) -> Deferred[HttpAnswer]:
        self._link = link
        self._timers.cancel(self._due)
        # The answer may lie unread where this process was paused, and a drain in it counts as told.
        self._due = self._timers.after_pending_reads(
            WHOLE_WITHIN if self._revision is None else self._wait + PATIENCE, self._hung
        )
        target = (
            PATH
            if self._revision is None
            else (f"{PATH}?since={self._revision}&timeout_ms={self._wait // MS}")
        )
        return link.ask("{}:{}".format(*self._address), target)

    def _hung(self) -> None:
        if self._link is not None and not self._was_silent:
            # A call that says nothing past its time is broken, which is no sign of a discovery in trouble:
            # that fails its calls. What was missed is about to count as told, so it is made anew at once,
            # though only once. The call for the whole list too: SIGHUP to a silent address was asked again
            # up to 10 s later.
            logger.warning("discovery: the watch is silent, opened anew")
            self._was_silent = True
            self.stop()
            self._ask()
        elif self._call is not None:
            self._call.cancel()

    def _answered(self, answer: HttpAnswer) -> None:
        if answer.status != 200:
            raise HttpError(f"status {answer.status}")
        try:
            news = json.loads(answer.body)
            revision, whole, members = int(news["revision"]), bool(news["complete"]), list(news["members"])
            newer = self._revision is None or revision > self._revision
            if newer or whole:
                self._told(whole, members)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as why:
            raise HttpError(f"not a list: {why!r}") from why
        self._current()
        self._timers.cancel(self._due)
        self._was_silent = self._was_lost = False
        early = self._timers.now() - self._asked_at < self._wait // 2
        if newer or not (members or early):
            self._revision = revision
            if answer.closes:
                self._drop()
            self._ask()
            return
        # Nothing newer, and not for want of news: a revision that went back, or an answer given twice,
        # behind which every later one would come a call late, and drains with it. What holds is asked for
        # from the start, on a connection where no other answer is on its way; with a pause, or the two would
        # go round as fast as they can.
        logger.warning("discovery: revision {} after {}: out of step", revision, self._revision)
        self._revision = revision if whole else None
        self._drop()
        self._due = self._timers.after(PAUSE, self._ask)

    def _lost(self, why: Failure) -> None:
        if self._call is None:
            # By stop(), whose doing this is.
            return
        self._call = None
        self.stop()
        if connect_not_attempted(why.value):
            # This machine lacked something for the connect: discovery was not asked.
            self._due = self._timers.after(AGAIN, self._ask)
            return
        known, self._was_lost = self._pushed and self._was_lost, True
        given_up = why.check(CancelledError, ConnectingCancelledError) is not None
        self._due = self._timers.after(AGAIN if self._pushed else self._retry_delay(given_up), self._ask)
        if not known:  # it would be told ten times a second
            logger.warning("discovery: {}", "no answer in time" if given_up else why.getErrorMessage())
            self._failed()

    def _retry_delay(self, given_up: bool) -> int:
        """How long until the next call at the latest. One that was given up has said nothing since it began:
        discovery may have been back since then."""
        spent = self._timers.now() - self._asked_at if given_up else 0
        return max(AGAIN, int(RETRY_WITHIN * (1 - SHORTER * self._chance())) - spent)

    def _drop(self) -> None:
        """The one place where the connection is given back."""
        link, self._link = self._link, None
        if link is not None and link.connected:
            link.transport.abortConnection()
