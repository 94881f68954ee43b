"""Unit tests of the relay's parts that use sockets and timers."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from heapq import heappop, heappush
from itertools import pairwise
from types import SimpleNamespace

import hypothesis.strategies as st
from helpers import MS, SECOND, http
from hypothesis import given, settings
from loguru import logger
from pytest import mark, raises
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.protocol import Protocol
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from cedarledge.net.backends import BackendConnector
from cedarledge.net.buffers import BufferPool, NoBufferError
from cedarledge.net.clients import MAX_LOAD_HINT, MalformedError, parse_open_request
from cedarledge.net.http_reader import HttpError, HttpReader
from cedarledge.net.invariants import Invariants
from cedarledge.net.line_connection import ConnectionContext
from cedarledge.net.lines import BUFFER_SIZE, MAX_LINE_BYTES, LineBuffer, LineTooLongError
from cedarledge.net.message_latency import SILENCE_LIMIT, LatencyReporter, MessageTimer, MessageTimers
from cedarledge.net.probe_latency import ProbeLatencies
from cedarledge.net.rate_limited_log import MAX_LINES, RateLimitedLog
from cedarledge.net.slots import NoFreeSlotError, SlotTable
from cedarledge.net.timers import Timers
from cedarledge.settings import ReportReader
from cedarledge.terms import Outcome

many_examples = settings(derandomize=True, deadline=None, max_examples=200)


def split(data: bytes, places: list[int]) -> list[bytes]:
    edges = sorted({place % (len(data) + 1) for place in places} | {0, len(data)})
    return [data[start:end] for start, end in pairwise(edges)]


SPLIT_POSITIONS = st.lists(st.integers(0, 10_000), max_size=12)


@given(
    lines=st.lists(st.binary(max_size=60).filter(lambda line: b"\r" not in line and b"\n" not in line)),
    rest=st.binary(max_size=20).filter(lambda rest: b"\r" not in rest),
    places=SPLIT_POSITIONS,
)
@many_examples
def test_lines_are_reassembled_however_the_stream_is_split(
    lines: list[bytes], rest: bytes, places: list[int]
) -> None:
    pool = BufferPool(BUFFER_SIZE, 1)
    reader = LineBuffer(pool)
    data = b"".join(line + b"\r\n" for line in lines) + rest
    assert [line for part in split(data, places) for line in reader.feed(part)] == lines
    reader.close()
    assert pool.acquire() is not None, "the buffer was given back"


def test_a_line_of_maximum_length_is_accepted_and_a_longer_one_is_not() -> None:
    for size in (1, 1000, MAX_LINE_BYTES + 1):
        reader = LineBuffer(BufferPool(BUFFER_SIZE, 1))
        data = b"x" * MAX_LINE_BYTES + b"\r\n"
        received = [
            line for start in range(0, len(data), size) for line in reader.feed(data[start : start + size])
        ]
        assert received == [b"x" * MAX_LINE_BYTES]
        with raises(LineTooLongError):
            reader.feed(b"x" * (MAX_LINE_BYTES + 1) + b"\r\n")
        with raises(LineTooLongError):
            reader.feed(b"x" * (MAX_LINE_BYTES + 2))


def test_the_pool_is_limited_and_reuses_its_buffers() -> None:
    pool = BufferPool(8, 2)
    first, second = pool.acquire(), pool.acquire()
    with raises(NoBufferError):
        pool.acquire()
    pool.release(second)
    assert pool.acquire() is second and first is not second


@given(steps=st.lists(st.integers(-3, 4), max_size=60))
@many_examples
def test_an_old_handle_never_reaches_the_next_holder_of_its_slot(steps: list[int]) -> None:
    slots: SlotTable[str] = SlotTable(3)
    held: dict[int, str] = {}
    past: list[int] = []
    for number, step in enumerate(steps):
        if step >= 0 and len(held) < 3:
            handle = slots.allocate(f"holder {number}")
            assert handle not in held and handle not in past
            held[handle] = f"holder {number}"
        elif held and step < 0:
            handle = sorted(held)[step % len(held)]
            del held[handle]
            slots.release(handle)
            past.append(handle)
        assert slots.used == len(held) and sorted(slots.handles()) == sorted(held)
        assert all(slots.get(handle) == holder for handle, holder in held.items())
        assert not any(slots.get(handle) for handle in past)
    for handle in past:
        with raises(KeyError):
            slots.release(handle)
    if len(held) == 3:
        with raises(NoFreeSlotError):
            slots.allocate("one more")


@given(plan=st.lists(st.tuples(st.integers(0, 50), st.booleans(), st.integers(0, 9)), max_size=150))
@many_examples
def test_timers_fire_in_order_at_their_time_unless_cancelled(plan: list[tuple[int, bool, int]]) -> None:
    clock = Clock()
    timers = Timers(clock, lambda: int(clock.seconds()) * SECOND)
    due: list[tuple[int, int]] = []
    fired: list[tuple[int, int]] = []
    for number, (delay, cancelled, pause) in enumerate(plan):
        at = int(clock.seconds()) + delay
        timer = timers.after(delay * SECOND, lambda at=at, number=number: fired.append((at, number)))
        if cancelled:
            timers.cancel(timer)
            timers.cancel(timer)
        else:
            heappush(due, (at, number))
        clock.advance(pause)
        while due and due[0][0] <= clock.seconds():
            assert fired.pop(0) == heappop(due)
        assert not fired
        assert len(clock.getDelayedCalls()) <= 1, "one reactor call for all timers"
    clock.advance(100)
    assert fired == sorted(due)


def test_a_timer_whose_call_fails_does_not_affect_others() -> None:
    clock, fired = Clock(), []
    timers = Timers(clock, lambda: round(clock.seconds() * SECOND))
    timers.after(SECOND, lambda: 1 // 0)
    timers.after(SECOND, fired.append, "next")
    clock.advance(1)
    assert fired == ["next"]


def test_a_timeout_is_put_off_once_if_the_process_itself_was_late() -> None:
    clock, fired = Clock(), []
    timers = Timers(clock, lambda: round(clock.seconds() * SECOND))
    timers.after_pending_reads(SECOND, fired.append, "in time")
    clock.advance(1)
    assert fired == ["in time"]
    timers.after_pending_reads(SECOND, fired.append, "late")
    timers.after(SECOND, fired.append, "plain")
    cancelled = timers.after_pending_reads(SECOND, fired.append, "answered meanwhile")
    clock.advance(1.5)
    assert fired == ["in time", "plain"], "pending input may be read first"
    timers.cancel(cancelled)
    clock.advance(0.5)
    assert fired == ["in time", "plain", "late"], "put off only once, however late it is the second time"


def test_thousands_of_unanswered_lines_need_one_timer() -> None:
    clock = Clock()

    def now() -> int:
        return round(clock.seconds() * SECOND) + SECOND

    timers, silent = Timers(clock, now), []
    message_timers = MessageTimers(now, timers, LatencyReporter(now, 0, lambda *_: None), silent.append)
    message_timer_list = [MessageTimer(message_timers, tunnel_id, 0) for tunnel_id in range(3000)]
    for timer in message_timer_list:
        timer.line_sent()
        clock.advance(0.0005)
    assert len(timers) == 1
    for timer in message_timer_list[:-2]:
        timer.line_answered()
    message_timer_list[-1].close()
    clock.advance(SILENCE_LIMIT / SECOND)
    clock.advance(0.002)  # a jump of the clock looks like a pause, after which input is read first
    assert silent == [2998]
    message_timer_list[-2].close()
    clock.advance(SILENCE_LIMIT / SECOND)
    clock.advance(0.002)  # a jump of the clock looks like a pause, after which input is read first
    assert not len(timers)
    assert silent == [2998]


class FakeTransport(StringTransport):
    """A transport in memory with those methods of a socket's transport that the connections use."""

    dataBuffer, _tempDataBuffer = b"", ()  # noqa: N815
    writing = False  # the reactor calls the producer once the system takes data

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        """Does nothing here."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Does nothing if no producer is registered, like a socket's transport."""
        self.producer = None

    def startWriting(self) -> None:  # noqa: N802
        self.writing = True

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.disconnecting = True


# The setups of these tests: their connect limit, their whole time, and until when one may be written, if that
# is limited.
CONNECT_TIMEOUT, SETUP_TIMEOUT, SEND_DEADLINE = 150 * MS, 2 * SECOND, 100 * MS


def start_setup(
    send_deadline: int | None = None, may_send: Callable[..., bool] = lambda *_: True
) -> tuple[MemoryReactorClock, list[Outcome]]:
    """Starts a setup whose connect is in progress, and returns the list of its outcomes."""
    reactor, outcomes = MemoryReactorClock(), []

    def now() -> int:
        return round(reactor.seconds() * SECOND)

    timers = Timers(reactor, now)
    context = ConnectionContext(
        reactor, now, timers, BufferPool(BUFFER_SIZE, 4), SlotTable(4), RateLimitedLog(timers), Invariants()
    )
    observer = SimpleNamespace(
        may_send=may_send,
        client_time_left=lambda _: 2 * SECOND,
        client_has_left=lambda _: False,
        setup_over=lambda *args: outcomes.append(args[2]),
    )
    backends = BackendConnector(
        context,
        observer,
        lambda *_: None,
        ReportReader({}),
        ProbeLatencies(1),
        150 * MS,
        SECOND,
        SECOND,
        b"PING",
    )
    backends.set_up(0, 0, ("127.0.0.1", 9), lambda _: b"OPEN", SETUP_TIMEOUT, CONNECT_TIMEOUT, send_deadline)
    return reactor, outcomes


def establish(reactor: MemoryReactorClock, takes: int = 99) -> tuple[Protocol, FakeTransport]:
    """Completes the connect. The system takes `takes` bytes of the line; the transport keeps the rest."""
    link, transport = reactor.tcpClients[0][2].buildProtocol(None), FakeTransport()
    transport.socket = SimpleNamespace(send=lambda data: transport.write(data[:takes]) or len(data[:takes]))
    link.makeConnection(transport)
    transport.producer.resumeProducing()  # as a socket's transport does once it is writable
    return link, transport


def test_a_connection_established_while_the_relay_was_paused_is_used() -> None:
    reactor, outcomes = start_setup()
    reactor.advance(1)
    assert not outcomes, "the timer is late, so that what has arrived meanwhile is handled first"
    _, transport = establish(reactor)
    assert transport.value() == b"OPEN\r\n"
    reactor.advance(0.2)
    assert not outcomes


def test_an_answer_before_the_request_was_written_is_rejected() -> None:
    """Such an answer used to be forwarded, and the connection then failed inside the relay, so that requests
    that are not idempotent were answered as if they had run."""
    reactor, outcomes = start_setup()
    link, transport = establish(reactor, takes=3)
    assert transport.value() == b"OPEN\r\n" and transport.producer is not None
    link.dataReceived(b"UP r\r\n")
    assert outcomes == [Outcome.CONNECT_FAILED] and transport.disconnected


@mark.parametrize(
    ("takes", "later", "outcome"),
    [
        (99, False, Outcome.RESET),
        (3, True, Outcome.RESET),
        (5, False, Outcome.CONNECT_FAILED),
        (0, False, Outcome.CONNECT_FAILED),
    ],
)
def test_the_outcome_of_a_reset_depends_on_whether_the_system_took_the_whole_line(
    takes: int, later: bool, outcome: Outcome
) -> None:
    reactor, outcomes = start_setup()
    link, transport = establish(reactor, takes)
    if later:
        transport.producer.resumeProducing()  # the system takes the rest
    link.connectionLost(Failure(ConnectionLost()))
    assert outcomes == [outcome]


def test_a_connect_ends_at_the_send_deadline_and_says_nothing_of_the_backend() -> None:
    """Guards against ejecting a backend that had less time to accept than the settings' limit."""
    reactor, outcomes = start_setup(SEND_DEADLINE)
    reactor.advance(SEND_DEADLINE / SECOND)
    reactor.advance(0)  # what lies unread is read before the deadline counts
    assert outcomes == [Outcome.NOT_SENT]
    reactor, outcomes = start_setup(SETUP_TIMEOUT)
    reactor.advance(CONNECT_TIMEOUT / SECOND)
    reactor.advance(0)
    assert outcomes == [Outcome.CONNECT_FAILED]


def test_a_line_that_the_system_takes_in_parts_is_not_finished_past_the_send_deadline() -> None:
    """Guards against a second execution: an attempt counts when its last byte has come."""
    reactor, outcomes = start_setup(SEND_DEADLINE)
    _, transport = establish(reactor, takes=3)
    reactor.advance(SEND_DEADLINE / SECOND)
    assert outcomes == [Outcome.NOT_SENT] and transport.disconnected


@mark.parametrize(
    ("takes", "sent", "outcomes_expected"), [(0, b"", [Outcome.NOT_SENT]), (3, b"OPEN\r\n", [])]
)
def test_a_line_of_which_the_system_took_nothing_is_not_sent_once_it_may_not_be(
    takes: int, sent: bytes, outcomes_expected: list[Outcome]
) -> None:
    """Guards against writing to a backend that began to drain while the system's calls failed.

    A send counts from its first byte, so a line that was begun is finished.
    """
    answers = [True, False]
    reactor, outcomes = start_setup(may_send=lambda *_: answers.pop(0) if len(answers) > 1 else answers[0])
    _, transport = establish(reactor, takes)
    transport.producer.resumeProducing()  # the system can take data again
    assert transport.value() == sent and outcomes == outcomes_expected


def test_a_line_of_which_the_system_took_nothing_is_sent_once_it_takes_data_again() -> None:
    reactor, outcomes = start_setup()
    _, transport = establish(reactor, takes=0)
    assert transport.writing
    transport.socket.send = lambda data: transport.write(data) or len(data)
    transport.producer.resumeProducing()
    assert transport.value() == b"OPEN\r\n" and transport.producer is None and not outcomes


@mark.parametrize("takes", [99, 3], ids=["whole", "in parts"])
def test_a_line_written_before_the_send_deadline_keeps_its_whole_time(takes: int) -> None:
    reactor, outcomes = start_setup(SEND_DEADLINE)
    _, transport = establish(reactor, takes)
    if takes < 99:
        transport.producer.resumeProducing()  # the system takes the rest
    reactor.advance(1.9)
    assert not outcomes and not transport.disconnected
    reactor.advance(0.1)
    assert outcomes == [Outcome.TIMEOUT]


def test_a_probe_connection_closed_at_its_idle_limit_does_not_fail_the_next_probe() -> None:
    reactor, answered = MemoryReactorClock(), []

    def now() -> int:
        return round(reactor.seconds() * SECOND)

    timers = Timers(reactor, now)
    context = ConnectionContext(
        reactor, now, timers, BufferPool(BUFFER_SIZE, 4), SlotTable(4), RateLimitedLog(timers), Invariants()
    )
    backends = BackendConnector(
        context,
        SimpleNamespace(),
        lambda *args: answered.append(args[1]),
        ReportReader({}),
        ProbeLatencies(1),
        150 * MS,
        SECOND,
        SECOND,
        b"PING",
    )
    for number in range(2):
        backends.probe(0, ("127.0.0.1", 9))
        link, transport = reactor.tcpClients[number][2].buildProtocol(None), FakeTransport()
        link.makeConnection(transport)
        link.dataReceived(b"PONG\r\n")
        reactor.advance(1)  # its idle limit
        assert transport.disconnecting and context.connections.used == 1 + number
    # The backend has the same limit and closes both at the same time.
    for _, _, factory, *_ in reactor.tcpClients:
        factory.buildProtocol(None).connectionLost(Failure(ConnectionDone()))
    assert answered == [True, True] and not context.connections.used


CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\nabcd\r\n3;x=y\r\nefg\r\n0\r\nTrailer: t\r\n\r\n"
)


@given(bodies=st.lists(st.binary(max_size=40), max_size=3), places=SPLIT_POSITIONS)
@many_examples
def test_responses_are_read_however_the_stream_is_split(bodies: list[bytes], places: list[int]) -> None:
    reader, received = HttpReader(), []
    for raw, body in ((CHUNKED, b"abcdefg"), *((http(body), body) for body in bodies)):
        for part in split(raw, places):
            response = reader.feed(part)
            if response is not None:
                received.append((response.status, response.body == body))
    assert received == [(200, True)] * (1 + len(bodies))


def test_a_response_without_length_ends_with_its_connection() -> None:
    reader = HttpReader()
    assert reader.feed(b"HTTP/1.0 200 OK\r\n\r\nab") is None and reader.feed(b"c") is None
    assert reader.end().body == b"abc"
    assert HttpReader().end() is None


@given(
    noise=st.binary(min_size=1, max_size=80), start=st.sampled_from([b"", b"HTTP/1.1 200", http(b"")[:-2]])
)
@many_examples
def test_an_invalid_response_raises_nothing_but_http_errors(noise: bytes, start: bytes) -> None:
    with suppress(HttpError):
        HttpReader().feed(start + noise + b"\r\n\r\n")


def test_oversized_and_malformed_responses_are_rejected() -> None:
    head, chunks, _ = CHUNKED.partition(b"4\r\n")
    for data in (
        b"x" * 20_000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        head + b"fffffffff\r\n",
        head + chunks + b"abcdef\r\n",
        b"HTTP/1.1 200 OK\r\nnothing\r\n\r\n",
    ):
        with raises(HttpError):
            HttpReader().feed(data)


@given(
    line=st.one_of(
        st.binary(max_size=60),
        st.builds(
            lambda names, key: f"OPEN 1 {key} {','.join(names)}".encode(),
            st.lists(
                st.sampled_from(
                    [
                        "c=feed",
                        "d=40",
                        "d=x",
                        "d=-1",
                        "d=0",
                        "d=7777777777",
                        "h=inf",
                        "h=2.5",
                        "h=-2",
                        "h=1e300",
                        "r=1",
                        "again=1",
                        "at=b",
                        "g=",
                        "g=" + "g" * 999,
                        "=",
                        "",
                    ]
                )
            ),
            st.sampled_from(["k", "", "a/b", "\u00e9", "k" * 999]),
        ),
    )
)
@many_examples
def test_an_open_line_is_parsed_or_malformed(line: bytes) -> None:
    try:
        open_request = parse_open_request(line)
    except MalformedError:
        return
    assert (
        open_request.profile
        and 0 < len(open_request.key) < 999
        and (open_request.client_timeout > 0 or open_request.previous_backend)
    )
    assert open_request.client_timeout < 10_000 * SECOND and len(open_request.group or "") < 999
    assert open_request.load_hint in (None, 2.5, MAX_LOAD_HINT), (
        "a larger hint would dominate all learned loads"
    )
    head = open_request.line_for_backend(7 * MS)
    assert head == line if open_request.previous_backend else head.replace(b"d=7", b"d=40", 1) == line


def test_the_line_for_a_backend_differs_in_its_timeout_only() -> None:
    line = b"OPEN 1 d=5,d=6 c=feed,dd=1,d=2000,g=d=9,x=1"
    assert parse_open_request(line).line_for_backend(80 * MS) == b"OPEN 1 d=5,d=6 c=feed,dd=1,d=80,g=d=9,x=1"


def test_growing_delays_and_their_end_and_silence_are_reported() -> None:
    clock, reports, silent = Clock(), [], []
    step = SECOND // 128  # a whole number of ns, and exact in the clock's floats

    def now() -> int:
        return int(clock.seconds() * SECOND)

    def report(backend_id: int, delay: int) -> None:
        reports.append((backend_id, delay))

    load_reports = LatencyReporter(now, 3 * step, report)
    message_timers = MessageTimers(
        now, Timers(clock, now), LatencyReporter(now, 3 * step, report), silent.append
    )
    clock.advance(10)
    timer = MessageTimer(message_timers, 5, 3)
    load_reports.record(3, SECOND)
    timer.line_sent()
    timer.line_answered()
    assert reports == [(3, SECOND)], "a fast line does not cancel a slow report"
    reports.clear()
    growing = [3 * step << times for times in range(7)]
    for steps, expected in ((2, []), (200, growing), (2, [2 * step])):
        timer.line_sent()
        for _ in range(steps):
            clock.advance(1 / 128)
        timer.line_answered()
        assert reports == [(3, delay) for delay in expected] and not silent
        reports.clear()
    timer.line_sent()
    for _ in range(5 * 128):
        clock.advance(1 / 128)
        assert bool(silent) == (clock.seconds() - 10 - 204 / 128 >= SILENCE_LIMIT / SECOND)
    assert silent == [5]


def test_repeated_warnings_are_a_few_lines_and_a_count() -> None:
    clock, logged = Clock(), []
    rate_limited_log = RateLimitedLog(Timers(clock, lambda: round(clock.seconds() * SECOND)))
    sink = logger.add(logged.append, format="{message}")
    for _ in range(2):
        for number in range(500):
            rate_limited_log.warn("client", f"bad line {number}")
        rate_limited_log.warn("backend", "another category has a limit of its own")
        clock.advance(20)
    logger.remove(sink)
    assert (
        len(logged) == 2 * (MAX_LINES + 2)
        and logged[MAX_LINES + 1] == f"client: {500 - MAX_LINES} more such lines in 10 s\n"
    )


def test_slowdown_is_relative_to_the_usual_time_and_to_other_backends() -> None:
    probe_latencies = ProbeLatencies(10 * MS)
    for backend_id in range(5):
        assert probe_latencies.slowdown(backend_id, (2 + backend_id) * MS) == 1.0
    assert probe_latencies.slowdown(1, 12 * MS) == 1.0  # within the minimum excess
    assert 3.5 < probe_latencies.slowdown(1, 13 * MS + MS) < 5
    for backend_id in (0, 2, 3, 4):
        probe_latencies.slowdown(backend_id, 40 * MS)
    assert probe_latencies.slowdown(1, 45 * MS) < 2  # all are slow, so the fleet is loaded


def test_an_open_line_as_in_the_operators_documentation() -> None:
    line = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f6e1a2b3d4c59"
    open_request = parse_open_request(line)
    assert (
        open_request.profile,
        open_request.key,
        open_request.client_timeout,
        open_request.group,
        open_request.previous_backend,
    ) == (
        "chat",
        "7f3a9c21e0b4d655",
        2 * SECOND,
        "5c0f6e1a2b3d4c59",
        None,
    )
