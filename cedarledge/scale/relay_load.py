"""Cost of one relay process: of an idle connection, of opening a connection and of delivering a line."""

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

OPEN_TIMEOUT = 240.0
# How long to wait for outstanding lines after the last one was sent, s.
DRAIN_TIMEOUT, DRAIN_POLL_INTERVAL = 10.0, 0.05


class IdleSample(msgspec.Struct, frozen=True):
    """One relay process with idle connections.

    `refused_share` is the share of refused attempts among all attempts to open. `lost` counts the
    connections that ended during the run.
    """

    resident_bytes: float
    processor_ms_per_second: float
    processor_ms_per_open: float
    opens_per_second: float
    refused_share: float
    lost: float


class DeliverySample(msgspec.Struct, frozen=True):
    """One relay process that forwards lines from backends to clients at a constant rate.

    `generator_late_ms` is the longest stall of the process that sends and receives the lines. Latencies up to
    this value may be caused by that process and not by the relay.
    """

    processor_ms_per_second: float
    delivered_share: float
    latency_p50_ms: float
    latency_p99_ms: float
    latency_max_ms: float
    generator_late_ms: float


class RelayTestbed:
    """Discovery, backends, one relay process and its clients."""

    def __init__(self, folder: Path, backends: int) -> None:
        """Creates `backends` backends; `folder` receives the relay's configuration and log."""
        self.backends = Backends(backends)
        self.discovery = Discovery(self.backends)
        self.folder = folder
        self.relay: RelayProcess
        self.clients: Clients

    async def start(self) -> None:
        """Starts all parts and waits until the relay accepts connections, else raises RelayError."""
        await self.backends.start()
        await self.discovery.start()
        address = free_tcp_address()
        self.relay = RelayProcess(self.folder, "relay-0", address, self.discovery, self.backends)
        self.relay.start()
        await self.relay.wait_until_ready()
        self.clients = Clients(self.relay.address)

    async def open_connections(self, connections: int) -> None:
        """Opens connections until there are this many. Raises RelayError after OPEN_TIMEOUT."""
        if not await self.clients.connect(connections, OPEN_TIMEOUT):
            raise RelayError(f"{len(self.clients.open_connections)} of {connections} connections were opened")

    async def wait_for_deliveries(self, sent: int) -> None:
        """Waits until the clients have received all `sent` lines, at most for DRAIN_TIMEOUT."""
        deadline = time.monotonic() + DRAIN_TIMEOUT
        while self.clients.received < sent and time.monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)

    def stop(self) -> None:
        """Resets the clients' connections and kills the relay."""
        self.clients.close()
        self.relay.stop()


def measure_idle(connections: int, backends: int, settle_seconds: float, calm_seconds: float) -> IdleSample:
    """Opens the connections, waits `settle_seconds` and measures the idle relay over `calm_seconds`.

    Raises RelayError if the relay does not start or not all connections can be opened.
    """
    with TemporaryDirectory() as folder:
        return asyncio.run(_measure_idle(Path(folder), connections, backends, settle_seconds, calm_seconds))


async def _measure_idle(
    folder: Path, connections: int, backends: int, settle_seconds: float, calm_seconds: float
) -> IdleSample:
    testbed = RelayTestbed(folder, backends)
    await testbed.start()
    try:
        started_at, before = time.monotonic(), processor_ns(testbed.relay.pid)
        await testbed.open_connections(connections)
        opening_cost, opening_seconds = (
            processor_ns(testbed.relay.pid) - before,
            time.monotonic() - started_at,
        )
        await asyncio.sleep(settle_seconds)
        before = processor_ns(testbed.relay.pid)
        await asyncio.sleep(calm_seconds)
        idle_cost = processor_ns(testbed.relay.pid) - before
        clients = testbed.clients
        return IdleSample(
            resident_bytes(testbed.relay.pid),
            idle_cost / MS / calm_seconds,
            opening_cost / MS / connections,
            connections / opening_seconds,
            clients.refused / (clients.refused + connections),
            clients.lost,
        )
    finally:
        testbed.stop()


def measure_deliveries(
    rate: int, connections: int, backends: int, line_bytes: int, settle_seconds: float, seconds: float
) -> DeliverySample:
    """Opens the connections, then sends `rate` lines per second through the relay for `seconds`.

    Raises RelayError if the relay does not start or not all connections can be opened.
    """
    with TemporaryDirectory() as folder:
        return asyncio.run(
            _measure_deliveries(
                Path(folder), rate, connections, backends, line_bytes, settle_seconds, seconds
            )
        )


async def _measure_deliveries(
    folder: Path,
    rate: int,
    connections: int,
    backends: int,
    line_bytes: int,
    settle_seconds: float,
    seconds: float,
) -> DeliverySample:
    testbed = RelayTestbed(folder, backends)
    await testbed.start()
    try:
        await testbed.open_connections(connections)
        await asyncio.sleep(settle_seconds)
        before = processor_ns(testbed.relay.pid)
        sent = await testbed.backends.push(rate, seconds, line_bytes)
        await testbed.wait_for_deliveries(sent)
        delivery_cost = processor_ns(testbed.relay.pid) - before
        latency = testbed.clients.latency
        return DeliverySample(
            delivery_cost / MS / seconds,
            testbed.clients.received / max(1, sent),
            latency.get_value_at_percentile(50) / 1000,
            latency.get_value_at_percentile(99) / 1000,
            latency.get_max_value() / 1000,
            testbed.backends.longest_stall * 1000,
        )
    finally:
        testbed.stop()
