"""What a measured relay serves: discovery, backends that push lines, and clients, on one asyncio loop."""

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
OPEN_WITHIN = 10.0
RETRY_AFTER = (0.05, 0.3)
OPENED_AT_ONCE = 32
PUSH_EVERY = 0.005
# Latencies up to a minute, in microseconds, to three digits.
LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3


class _Lines(asyncio.Protocol):
    """Cuts what comes into lines."""

    def __init__(self) -> None:
        self.rest = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for line in lines:
            self.line_received(line)

    def line_received(self, line: bytes) -> None:
        """One whole line, without its end."""
        raise NotImplementedError


class BackendConnection(_Lines):
    """Takes every request, answers probes, and echoes."""

    def __init__(self, backends: Backends) -> None:
        super().__init__()
        self.backends = backends

    def line_received(self, line: bytes) -> None:
        """One whole line, without its end."""
        if line == b"STATS":
            self.backends.probes += 1
            self.transport.write(f"PONG {BACKEND_REPORT}\r\n".encode())
        elif line.startswith(b"OPEN"):
            self.backends.open[self] = None
            self.transport.write(b"UP r\r\n")
        else:
            self.transport.write(line + b"\r\n")

    def connection_lost(self, error: Exception | None) -> None:
        self.backends.open.pop(self, None)


class Backends:
    """Several backends; `open` are the connections that a client was let through on."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.open: dict[BackendConnection, None] = {}
        self.probes = 0
        self.addresses: list[str] = []
        self.longest_pause = 0.0  # of the loop that pushes, seconds

    async def start(self) -> None:
        """Listens on loopback."""
        loop = asyncio.get_running_loop()
        for _ in range(self.count):
            server = await loop.create_server(lambda: BackendConnection(self), HOST, 0)
            self.addresses.append("{}:{}".format(*server.sockets[0].getsockname()))

    def listing(self) -> list[dict[str, Any]]:
        """As discovery tells of them."""
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
        """Sends so many lines a second over the open connections in turn; how many were sent."""
        targets = itertools.cycle(list(self.open))
        began, sent = time.monotonic(), 0
        while (passed := time.monotonic() - began) < seconds:
            for _ in range(int(rate * passed) - sent):
                next(targets).transport.write(_stamped(line_bytes))
                sent += 1
            slept = time.monotonic()
            await asyncio.sleep(PUSH_EVERY)
            self.longest_pause = max(self.longest_pause, time.monotonic() - slept - PUSH_EVERY)
        return sent


def _stamped(size: int) -> bytes:
    head = b"D %d " % time.monotonic_ns()
    return head + b"x" * (size - len(head) - 2) + b"\r\n"


class DiscoveryConnection(_Lines):
    """Answers the whole list, or holds a watch until its wait is over: nothing ever changes."""

    def __init__(self, discovery: Discovery) -> None:
        super().__init__()
        self.discovery = discovery

    def line_received(self, line: bytes) -> None:
        """One whole line, without its end."""
        if not line.startswith(b"GET"):
            return
        self.discovery.calls += 1
        query = line.split()[1].decode().partition("?")[2]
        asked = dict(part.split("=") for part in query.split("&") if part)
        if not asked:
            self._answer(True)
            return
        wait = next((int(value) for name, value in asked.items() if "wait" in name), 2000)
        asyncio.get_running_loop().call_later(wait / 1000, self._answer, False)

    def _answer(self, whole: bool) -> None:
        if self.transport.is_closing():
            return
        members = self.discovery.backends.listing() if whole else []
        body = json.dumps({"revision": REVISION, "complete": whole, "members": members}).encode()
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class Discovery:
    """The list of backends; `calls` counts what relays ask."""

    def __init__(self, backends: Backends) -> None:
        self.backends = backends
        self.calls = 0
        self.address = ""

    async def start(self) -> None:
        """Listens on loopback."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: DiscoveryConnection(self), HOST, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())


class ClientConnection(_Lines):
    """One try of a client to be let through; then it reads what is delivered."""

    def __init__(self, clients: Clients, opened: asyncio.Future[bool]) -> None:
        super().__init__()
        self.clients = clients
        self.opened = opened

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        number = next(self.clients.numbers)
        transport.write(f"OPEN {number:016x} key-{number % 997} c=feed,d=3000,g=g1\r\n".encode())

    def line_received(self, line: bytes) -> None:
        """One whole line, without its end."""
        if self.opened.done():
            self.clients.delivered(line)
        else:
            self.opened.set_result(line.startswith(b"UP"))

    def connection_lost(self, error: Exception | None) -> None:
        if not self.opened.done():
            self.opened.set_result(False)
        elif self in self.clients.open:
            self.clients.lost += 1
        self.clients.open.discard(self)


class Clients:
    """Clients of one relay: how many are open, and how long lines take from the backend."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.numbers = itertools.count(1)
        self.open: set[ClientConnection] = set()
        self.lost = self.refused = self.received = 0
        self.latency = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)

    def delivered(self, line: bytes) -> None:
        """A line came to an open connection; its time stamp tells when it was sent."""
        if line.startswith(b"D "):
            self.received += 1
            took = time.monotonic_ns() - int(line.split(b" ", 2)[1])
            self.latency.record_value(max(1, took // 1000))

    async def grow(self, count: int, within: float) -> bool:
        """Opens until there are so many; whether that was reached."""
        until = time.monotonic() + within
        missing = deque(range(count - len(self.open)))
        await asyncio.gather(*(self._opener(missing, until) for _ in range(OPENED_AT_ONCE)))
        return len(self.open) >= count

    async def _opener(self, missing: deque[int], until: float) -> None:
        while missing and time.monotonic() < until:
            missing.popleft()
            while not await self._open() and time.monotonic() < until:
                self.refused += 1
                await asyncio.sleep(random.uniform(*RETRY_AFTER))

    async def _open(self) -> bool:
        loop = asyncio.get_running_loop()
        opened: asyncio.Future[bool] = loop.create_future()
        try:
            _, connection = await loop.create_connection(
                lambda: ClientConnection(self, opened), *self.address
            )
            async with asyncio.timeout(OPEN_WITHIN):
                good = await opened
        except (OSError, TimeoutError):
            return False
        if good:
            self.open.add(connection)
        else:
            connection.transport.abort()
        return good

    def close(self) -> None:
        """Resets all connections."""
        for connection in list(self.open):
            self.open.discard(connection)
            connection.transport.abort()
