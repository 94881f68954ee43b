"""Environment of a measured relay on one asyncio loop: discovery, backends that send lines, and clients."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from collections import deque
from typing import Any

from hdrh.histogram import HdrHistogram

HOST = "127.0.0.1"
REVISION = 7
BACKEND_REPORT = "utilization=0.2,recent_ms=4,x0=0.2"
OPEN_TIMEOUT = 10.0
RETRY_DELAY_RANGE = (0.05, 0.3)
CONCURRENT_OPENS = 32
PUSH_INTERVAL = 0.005
# Range of the latency histogram in microseconds, up to a minute, with a precision of three digits.
MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 1, 60_000_000, 3


class _LineProtocol(asyncio.Protocol):
    """Splits the received bytes into lines, which end with CR LF."""

    def __init__(self) -> None:
        self.incomplete = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport for replies."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Calls `line_received` for each complete line and keeps the rest."""
        *lines, self.incomplete = (self.incomplete + data).split(b"\r\n")
        for line in lines:
            self.line_received(line)

    def line_received(self, line: bytes) -> None:
        """Handles one complete line, without its line ending."""
        raise NotImplementedError


class BackendConnection(_LineProtocol):
    """One connection at a backend: accepts every request, answers probes and echoes other lines."""

    def __init__(self, backends: Backends) -> None:
        """Counts probes and accepted connections in `backends`."""
        super().__init__()
        self.backends = backends

    def line_received(self, line: bytes) -> None:
        """Answers a probe, accepts a request or echoes the line."""
        if line == b"STATS":
            self.backends.probes += 1
            self.transport.write(f"PONG {BACKEND_REPORT}\r\n".encode())
        elif line.startswith(b"OPEN"):
            self.backends.open_connections[self] = None
            self.transport.write(b"UP r\r\n")
        else:
            self.transport.write(line + b"\r\n")

    def connection_lost(self, error: Exception | None) -> None:
        """Removes the connection from the open ones of the backends."""
        self.backends.open_connections.pop(self, None)


class Backends:
    """Emulated backends; `open_connections` are the connections whose request was accepted."""

    def __init__(self, count: int) -> None:
        """Creates `count` backends, which accept connections after `start`."""
        self.count = count
        self.open_connections: dict[BackendConnection, None] = {}
        self.probes = 0
        self.addresses: list[str] = []
        self.longest_stall = 0.0  # of the loop that sends lines, in seconds

    async def start(self) -> None:
        """Listens on loopback."""
        loop = asyncio.get_running_loop()
        for _ in range(self.count):
            server = await loop.create_server(lambda: BackendConnection(self), HOST, 0)
            self.addresses.append("{}:{}".format(*server.sockets[0].getsockname()))

    def discovery_entries(self) -> list[dict[str, Any]]:
        """Returns the backends as members of the discovery list."""
        return [
            {
                "id": f"backend-{number}",
                "host_port": address,
                "locality": "here",
                "flavor": "box",
                "cell": number // 6,
                "phase": "up",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for number, address in enumerate(self.addresses)
        ]

    async def push(self, rate: float, seconds: float, line_bytes: int) -> int:
        """Sends `rate` lines per second over the open connections in turn; returns the number of lines sent.

        Also measures the longest stall of the loop, since lines then leave late.
        """
        connections = itertools.cycle(list(self.open_connections))
        started_at, sent = time.monotonic(), 0
        while (elapsed := time.monotonic() - started_at) < seconds:
            for _ in range(int(rate * elapsed) - sent):
                next(connections).transport.write(_timestamped_line(line_bytes))
                sent += 1
            sleep_started_at = time.monotonic()
            await asyncio.sleep(PUSH_INTERVAL)
            self.longest_stall = max(self.longest_stall, time.monotonic() - sleep_started_at - PUSH_INTERVAL)
        return sent


def _timestamped_line(size: int) -> bytes:
    """Returns a line of `size` bytes that carries the monotonic time in ns, for the latency."""
    header = b"D %d " % time.monotonic_ns()
    return header + b"x" * (size - len(header) - 2) + b"\r\n"


class DiscoveryConnection(_LineProtocol):
    """One HTTP connection to discovery, whose list never changes.

    A request without query parameters gets the complete list at once. A watch (a request with parameters) is
    held for a while and then gets an answer without changes.
    """

    def __init__(self, discovery: Discovery) -> None:
        """Counts the requests in `discovery`."""
        super().__init__()
        self.discovery = discovery

    def line_received(self, line: bytes) -> None:
        """Answers a request line; the lines of the headers are ignored.

        A watch is held for as many milliseconds as the first parameter with "wait" in its name says, or
        for 2000 without one.
        """
        if not line.startswith(b"GET"):
            return
        self.discovery.requests += 1
        query = line.split()[1].decode().partition("?")[2]
        parameters = dict(part.split("=") for part in query.split("&") if part)
        if not parameters:
            self._answer(True)
            return
        wait = next((int(value) for name, value in parameters.items() if "wait" in name), 2000)
        asyncio.get_running_loop().call_later(wait / 1000, self._answer, False)

    def _answer(self, complete: bool) -> None:
        if self.transport.is_closing():
            return
        members = self.discovery.backends.discovery_entries() if complete else []
        body = json.dumps({"revision": REVISION, "complete": complete, "members": members}).encode()
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class Discovery:
    """Emulated discovery; `requests` counts the requests of all relays."""

    def __init__(self, backends: Backends) -> None:
        """Serves the list of these backends after `start`."""
        self.backends = backends
        self.requests = 0
        self.address = ""

    async def start(self) -> None:
        """Listens on loopback."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: DiscoveryConnection(self), HOST, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())


class ClientConnection(_LineProtocol):
    """One connection of a client: sends the request and, once accepted, receives the delivered lines."""

    def __init__(self, clients: Clients, opened: asyncio.Future[bool]) -> None:
        """The future `opened` receives whether the request was accepted."""
        super().__init__()
        self.clients = clients
        self.opened = opened

    def connection_made(self, transport: Any) -> None:
        """Sends the request."""
        super().connection_made(transport)
        number = next(self.clients.connection_numbers)
        transport.write(f"OPEN {number:016x} key-{number % 997} c=feed,d=3000,g=g1\r\n".encode())

    def line_received(self, line: bytes) -> None:
        """Handles the answer to the request, or a delivered line after it."""
        if self.opened.done():
            self.clients.record_delivery(line)
        else:
            self.opened.set_result(line.startswith(b"UP"))

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the request if it is unanswered, otherwise counts a lost connection."""
        if not self.opened.done():
            self.opened.set_result(False)
        elif self in self.clients.open_connections:
            self.clients.lost += 1
        self.clients.open_connections.discard(self)


class Clients:
    """Clients of one relay, and the latency of the lines that they receive from the backends.

    `lost` counts accepted connections that ended by themselves, `refused` failed attempts to open one, and
    `received` the delivered lines.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Connects to the relay at this address when `connect` is called."""
        self.address = address
        self.connection_numbers = itertools.count(1)
        self.open_connections: set[ClientConnection] = set()
        self.lost = self.refused = self.received = 0
        self.latency = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record_delivery(self, line: bytes) -> None:
        """Counts a delivered line and records its latency from the time stamp that it carries."""
        if line.startswith(b"D "):
            self.received += 1
            latency_ns = time.monotonic_ns() - int(line.split(b" ", 2)[1])
            self.latency.record_value(max(1, latency_ns // 1000))

    async def connect(self, count: int, timeout: float) -> bool:
        """Opens connections until there are `count`; returns False if the timeout in seconds ends first."""
        deadline = time.monotonic() + timeout
        remaining = deque(range(count - len(self.open_connections)))
        await asyncio.gather(*(self._connect_remaining(remaining, deadline) for _ in range(CONCURRENT_OPENS)))
        return len(self.open_connections) >= count

    async def _connect_remaining(self, remaining: deque[int], deadline: float) -> None:
        while remaining and time.monotonic() < deadline:
            remaining.popleft()
            while not await self._connect_once() and time.monotonic() < deadline:
                self.refused += 1
                await asyncio.sleep(random.uniform(*RETRY_DELAY_RANGE))

    async def _connect_once(self) -> bool:
        loop = asyncio.get_running_loop()
        opened: asyncio.Future[bool] = loop.create_future()
        try:
            _, connection = await loop.create_connection(
                lambda: ClientConnection(self, opened), *self.address
            )
            async with asyncio.timeout(OPEN_TIMEOUT):
                accepted = await opened
        except (OSError, TimeoutError):
            return False
        if accepted:
            self.open_connections.add(connection)
        else:
            connection.transport.abort()
        return accepted

    def close(self) -> None:
        """Resets all open connections."""
        for connection in list(self.open_connections):
            self.open_connections.discard(connection)
            connection.transport.abort()
