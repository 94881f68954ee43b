"""Today's relay: what a connection at rest takes, what opening one takes, and what a delivered line takes."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from cedarledge.scale.process_cost import processor_ns, resident_bytes
from cedarledge.scale.relay_process import RelayError, RelayProcess, free_tcp_address
from cedarledge.scale.traffic import Backends, Clients, Discovery
from cedarledge.terms import MS

OPEN_LONGEST = 240.0
# How long lines may be under way after the last one was sent.
DRAIN, DRAIN_LOOK = 10.0, 0.05


class RestSample(msgspec.Struct, frozen=True):
    """A relay with so many connections on which nothing is said."""

    resident_bytes: float
    processor_ms_per_second: float
    processor_ms_per_open: float
    opens_per_second: float
    refused_share: float
    lost: float


class DeliverySample(msgspec.Struct, frozen=True):
    """A relay that passes on so many lines a second from backends to clients.

    `generator_late_ms` is the longest that the process which sends and reads lines stood still: latencies up
    to that are its own.
    """

    processor_ms_per_second: float
    delivered_share: float
    latency_p50_ms: float
    latency_p99_ms: float
    latency_max_ms: float
    generator_late_ms: float


class Stage:
    """Discovery, backends, one relay process and its clients."""

    def __init__(self, folder: Path, backends: int) -> None:
        self.backends = Backends(backends)
        self.discovery = Discovery(self.backends)
        self.folder = folder
        self.relay: RelayProcess
        self.clients: Clients

    async def start(self) -> None:
        """Starts all of them and waits for the relay."""
        await self.backends.start()
        await self.discovery.start()
        address = free_tcp_address()
        self.relay = RelayProcess(self.folder, "relay-0", address, self.discovery, self.backends)
        self.relay.start()
        await self.relay.until_ready()
        self.clients = Clients(self.relay.address)

    async def fill(self, connections: int) -> None:
        """Raises RelayError if so many can't be opened."""
        if not await self.clients.grow(connections, OPEN_LONGEST):
            raise RelayError(f"{len(self.clients.open)} of {connections} connections could be opened")

    async def drain(self, sent: int) -> None:
        """Waits until all lines have come, or no longer."""
        until = time.monotonic() + DRAIN
        while self.clients.received < sent and time.monotonic() < until:
            await asyncio.sleep(DRAIN_LOOK)

    def stop(self) -> None:
        """Ends the relay and its clients."""
        self.clients.close()
        self.relay.stop()


def measure_rest(connections: int, backends: int, settle_seconds: float, calm_seconds: float) -> RestSample:
    """One relay process with so many connections at rest."""
    with TemporaryDirectory() as folder:
        return asyncio.run(_rest(Path(folder), connections, backends, settle_seconds, calm_seconds))


async def _rest(
    folder: Path, connections: int, backends: int, settle_seconds: float, calm_seconds: float
) -> RestSample:
    stage = Stage(folder, backends)
    await stage.start()
    try:
        began, before = time.monotonic(), processor_ns(stage.relay.pid)
        await stage.fill(connections)
        opening, took = processor_ns(stage.relay.pid) - before, time.monotonic() - began
        await asyncio.sleep(settle_seconds)
        before = processor_ns(stage.relay.pid)
        await asyncio.sleep(calm_seconds)
        resting = processor_ns(stage.relay.pid) - before
        clients = stage.clients
        return RestSample(
            resident_bytes(stage.relay.pid),
            resting / MS / calm_seconds,
            opening / MS / connections,
            connections / took,
            clients.refused / (clients.refused + connections),
            clients.lost,
        )
    finally:
        stage.stop()


def measure_deliveries(
    rate: int, connections: int, backends: int, line_bytes: int, settle_seconds: float, seconds: float
) -> DeliverySample:
    """One relay process that passes on lines at a rate."""
    with TemporaryDirectory() as folder:
        return asyncio.run(
            _deliveries(Path(folder), rate, connections, backends, line_bytes, settle_seconds, seconds)
        )


async def _deliveries(
    folder: Path,
    rate: int,
    connections: int,
    backends: int,
    line_bytes: int,
    settle_seconds: float,
    seconds: float,
) -> DeliverySample:
    stage = Stage(folder, backends)
    await stage.start()
    try:
        await stage.fill(connections)
        await asyncio.sleep(settle_seconds)
        before = processor_ns(stage.relay.pid)
        sent = await stage.backends.push(rate, seconds, line_bytes)
        await stage.drain(sent)
        busy = processor_ns(stage.relay.pid) - before
        latency = stage.clients.latency
        return DeliverySample(
            busy / MS / seconds,
            stage.clients.received / max(1, sent),
            latency.get_value_at_percentile(50) / 1000,
            latency.get_value_at_percentile(99) / 1000,
            latency.get_max_value() / 1000,
            stage.backends.longest_pause * 1000,
        )
    finally:
        stage.stop()
