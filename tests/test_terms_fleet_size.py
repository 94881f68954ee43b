"""Fleets of 1,100 relays and 1,100 backends, beyond a limit of 1,024: memory and start time of a relay."""

from __future__ import annotations

from ipaddress import IPv4Address
from pathlib import Path

from helpers import SETTINGS, Backend, RelayProgram, wait_until
from test_terms_limits import descriptors
from test_terms_start import processor_seconds

from cedarledge.standins.plan import (
    MAX_BOXES,
    MAX_RELAYS,
    box_address,
    box_proxy_address,
    discovery_address,
    discovery_proxy_address,
    peer_address,
    peer_proxy_address,
    relay_address,
)

RELAYS = BACKENDS = 1100
MEMORY_MB, START_PROCESSOR_S = 64, 3.0
SOCKETS = 512
CLIENTS = 100


def peak_memory_mb(relay: RelayProgram) -> float:
    status = Path(f"/proc/{relay.process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


def entries_of(backends: list[Backend]) -> list[dict]:
    """Returns 1,100 list entries that share a few processes; the last entry has the last process for
    itself."""
    *shared, own = backends
    entries = [
        shared[number % len(shared)].entry() | {"id": f"backend-{number}", "cell": number % 50}
        for number in range(BACKENDS - 1)
    ]
    return [*entries, own.entry() | {"id": f"backend-{BACKENDS - 1}"}]


def test_a_relay_of_1100_with_1100_backends_starts_and_serves(tmp_path: Path) -> None:
    """Fails if BackendRegistry.apply_list keeps only 1,000 entries of the list."""
    backends = [Backend(f"process {number}") for number in range(4)]
    entries = entries_of(backends)
    options = {
        "settings": SETTINGS | {"group_size": RELAYS, "me": RELAYS - 1},
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
        "known": {"revision": 7, "complete": True, "members": entries},
    }
    with RelayProgram(tmp_path, backends, **options) as relay:
        assert f"{BACKENDS} backends known" in relay.log.read_text()
        assert processor_seconds(relay) < START_PROCESSOR_S
        clients = [relay.client() for _ in range(CLIENTS)]
        assert {client.open(f"key-{number}") for number, client in enumerate(clients)} == {"UP r"}
        wait_until(lambda: relay.discovery.calls)
        relay.discovery.publish(*(entry | {"phase": "draining"} for entry in entries[:-1]))
        wait_until(lambda: len(relay.discovery.calls) >= 2)
        attempts = sum(len(backend.open_lines) for backend in backends[:-1])
        for number in range(4):
            assert relay.client().open(f"late-{number}") in ("UP r", "BUSY"), "one cold backend is left"
        assert sum(len(backend.open_lines) for backend in backends[:-1]) == attempts, "1,099 are draining"
        assert peak_memory_mb(relay) < MEMORY_MB
        assert descriptors(relay) < SOCKETS


def test_the_rig_has_an_address_for_each_of_1100_relays_at_each_of_1100_backends() -> None:
    """The rig used to have addresses for 64 relays only."""
    assert min(MAX_RELAYS, MAX_BOXES) >= RELAYS
    edges = [0, 1, 63, 64, 199, 200, 1023, 1024, RELAYS - 1, MAX_RELAYS - 1]
    of_pairs = (box_address, box_proxy_address)
    of_relays = (relay_address, peer_address, peer_proxy_address, discovery_address, discovery_proxy_address)
    addresses = [address(box, relay) for address in of_pairs for box in edges for relay in edges]
    addresses += [address(relay) for address in of_relays for relay in edges]
    assert len(set(addresses)) == len(addresses), "all addresses differ"
    assert all(IPv4Address(address).is_loopback for address in addresses)
