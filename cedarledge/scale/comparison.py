"""Measures real relay processes, with membership and without clients, in the same way as hollow relays."""

from __future__ import annotations

import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from cedarledge.scale.counting import Traffic
from cedarledge.scale.hollow import free_addresses
from cedarledge.scale.process_cost import processor_ns, resident_bytes
from cedarledge.scale.relay_process import RelayProcess, free_tcp_address
from cedarledge.scale.traffic import Backends, Discovery
from cedarledge.terms import MS

OPERATOR_FILE = """[log]
level = "warning"
[peers]
on = true
fleet = "scale"
listen = "{listen}"
seeds = {seeds}
region = "region-0"
"""


class RelaySample(msgspec.Struct, frozen=True):
    """Means per relay process over a fleet, without clients."""

    bytes_per_second: float
    messages_per_second: float
    processor_ms_per_second: float
    memory_bytes: float
    probes_per_relay_second: float
    list_calls_per_second: float


def measure(size: int, backends: int, settle_seconds: float, calm_seconds: float) -> RelaySample:
    """Runs one fleet of relay processes on loopback. Raises RelayError if a relay does not start."""
    with TemporaryDirectory() as folder:
        return asyncio.run(_measure(Path(folder), size, backends, settle_seconds, calm_seconds))


async def _measure(
    folder: Path, size: int, backend_count: int, settle_seconds: float, calm_seconds: float
) -> RelaySample:
    backends = Backends(backend_count)
    discovery = Discovery(backends)
    await backends.start()
    await discovery.start()
    relays = _start_all(folder, size, discovery, backends)
    try:
        for relay in relays:
            await relay.wait_until_ready()
        await asyncio.sleep(settle_seconds)
        before = [_read_traffic(folder, relay) for relay in relays]
        processor = sum(processor_ns(relay.pid) for relay in relays)
        probes, requests = backends.probes, discovery.requests
        await asyncio.sleep(calm_seconds)
        after = [_read_traffic(folder, relay) for relay in relays]
        processor = sum(processor_ns(relay.pid) for relay in relays) - processor
        relay_seconds = size * calm_seconds
        return RelaySample(
            (sum(traffic.sent_bytes for traffic in after) - sum(traffic.sent_bytes for traffic in before))
            / relay_seconds,
            (sum(traffic.sent for traffic in after) - sum(traffic.sent for traffic in before))
            / relay_seconds,
            processor / MS / relay_seconds,
            sum(resident_bytes(relay.pid) for relay in relays) / size,
            (backends.probes - probes) / relay_seconds,
            (discovery.requests - requests) / relay_seconds,
        )
    finally:
        for relay in relays:
            relay.stop()


def _start_all(folder: Path, size: int, discovery: Discovery, backends: Backends) -> list[RelayProcess]:
    addresses = free_addresses(size)
    relays = []
    for index, address in enumerate(addresses):
        relay = RelayProcess(folder, f"relay-{index}", free_tcp_address(), discovery, backends)
        relay.config["limits"] = {"cores": 1.0, "memory_mb": 256, "sockets": 512}
        operator_file = folder / f"{relay.name}.toml"
        seeds = msgspec.json.encode(addresses[:3]).decode()
        operator_file.write_text(OPERATOR_FILE.format(listen=address, seeds=seeds))
        arguments = ("-m", "cedarledge.scale.counted_relay", str(operator_file))
        relay.start(arguments, SCALE_COUNTS=str(_counts_path(folder, relay)))
        relays.append(relay)
    return relays


def _counts_path(folder: Path, relay: RelayProcess) -> Path:
    return folder / f"{relay.name}.counts"


def _read_traffic(folder: Path, relay: RelayProcess) -> Traffic:
    return msgspec.json.decode(_counts_path(folder, relay).read_bytes(), type=Traffic)
