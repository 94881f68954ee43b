"""Settings of other customers: which ones may be absent, null, zero or extreme, and which may not."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import hypothesis.strategies as st
import test_tunnels
from helpers import SECOND, SETTINGS, Backend, RelayProgram
from hypothesis import given, settings
from loguru import logger
from pytest import MonkeyPatch, mark, raises
from twisted.internet.testing import MemoryReactorClock

from cedarledge.net import relay as relay_module
from cedarledge.net.clients import parse_open_request
from cedarledge.net.config import RelayConfig
from cedarledge.settings import REQUIRED_CLASS_SETTINGS, REQUIRED_SETTINGS, check_settings
from cedarledge.terms import LoadReport

# Every setting that is documented and that the program reads.
ALL_SETTINGS: dict[str, Any] = copy.deepcopy(SETTINGS) | {
    "me": 0,
    "overage_credit": 0.1,
    "prices": {"cross_zone": 0.01},
    "client_habits": {"marks_retry": True},
    "tenants": [{"name": "one", "quota_per_s": 3}, {"name": "two", "quota_per_s": 0}],
}
ALL_SETTINGS["allowed"] |= {"max_retry_after": 2_000_000, "retry_after": True, "second_copies": False}
ALL_SETTINGS["domain"] |= {"tenant_quota_connections": [10.0, 0.0], "tells_load": True, "mode": "proxy"}
ALL_SETTINGS["profiles"].append(
    ALL_SETTINGS["profiles"][0] | {"name": "7", "semantics": "token", "group": "cell"}
)
# The loads that the backends report.
LOADS = (0.2, 0.5, 0.9, 1.4)
ROUNDS = 30


def paths_in(node: Any, at: tuple = ()) -> Iterator[tuple]:
    for name, value in node.items() if isinstance(node, dict) else enumerate(node):
        yield (*at, name)
        if isinstance(value, dict | list):
            yield from paths_in(value, (*at, name))


def change(relay_settings: dict[str, Any], path: tuple, value: Any) -> None:
    node: Any = relay_settings
    for name in path[:-1]:
        try:
            node = node[name]
        except (KeyError, IndexError):
            return  # removed by another change
        if not isinstance(node, dict | list):
            return
    if value == "gone" and isinstance(node, dict):
        node.pop(path[-1], None)
    elif isinstance(node, dict) or path[-1] < len(node):
        node[path[-1]] = value


class Client(test_tunnels.RecordingClient):
    """A client whose input is always valid."""

    def protocol_error(self, why: str) -> None:
        raise AssertionError(why)


def make_relay(
    relay_settings: dict[str, Any], monkeypatch: MonkeyPatch
) -> tuple[relay_module.Relay, MemoryReactorClock]:
    """Returns a relay with a fake clock, and a cold backend among warm ones."""
    reactor = MemoryReactorClock()
    monkeypatch.setattr(
        relay_module, "steady_clock", lambda: lambda: round((reactor.seconds() + 1e9) * SECOND)
    )
    members = [
        {
            "id": f"s-{backend_id}",
            "host_port": f"127.0.0.1:{9000 + backend_id}",
            "cell": backend_id % 2,
            "phase": "up",
            "up_since_ms": 1_000_000_003_000 * (backend_id == 2),
        }
        for backend_id in range(len(LOADS))
    ]
    return relay_module.Relay(
        reactor,
        RelayConfig(
            "n",
            ("127.0.0.1", 9),
            ("127.0.0.1", 8),
            None,
            None,
            1,
            512,
            {"revision": 1, "members": members},
            relay_settings,
        ),
    ), reactor


def run_relay(relay_settings: dict[str, Any], monkeypatch: MonkeyPatch) -> None:
    errors: list[str] = []
    logger.remove()
    sink = logger.add(lambda message: errors.append(str(message)), level="ERROR")
    try:
        relay, reactor = make_relay(relay_settings, monkeypatch)
        rows = [
            (row["name"], max(1, min(900, int(row["client_timeout"] or 900_000) // 1000)))
            for row in relay_settings["profiles"]
        ]
        clients = []
        for number in range(ROUNDS):
            # In steps shorter than the grace time of answers, as each would be late with longer ones.
            reactor.pump([0.05] * 5)
            for backend_id, load in enumerate(LOADS):
                relay.probe_ended(backend_id, True, LoadReport(offered_load=load))
            clients.append(Client())
            name, wait = rows[number % len(rows)]
            relay.tunnels.request_arrived(
                clients[-1],
                parse_open_request(f"OPEN i{number} k{number} c={name},d={wait},g=g{number % 3}".encode()),
            )
        relay.stop()
        reactor.pump([0.05] * 120)
    finally:
        logger.remove(sink)
    assert not errors
    assert {len(client.answers) for client in clients} == {1}, (
        "no backend accepts, and each client gets one answer"
    )
    assert relay.tunnels.table.used == 0


values = st.sampled_from(["gone", None, 0, 1, 1e-9, 0.5, 10**12])
changes = st.lists(st.tuples(st.sampled_from(sorted(paths_in(ALL_SETTINGS), key=str)), values), max_size=4)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(changes_drawn=changes)
def test_settings_are_served_or_refused_with_their_path(changes_drawn: list[tuple]) -> None:
    relay_settings = copy.deepcopy(ALL_SETTINGS)
    for path, value in changes_drawn:
        change(relay_settings, path, value)
    try:
        check_settings(relay_settings)
    except ValueError as why:
        assert str(why).startswith("settings.") and "\n" not in str(why)
        return
    with MonkeyPatch.context() as patch:
        run_relay(relay_settings, patch)


def test_only_required_settings_are_refused_when_they_are_missing(monkeypatch: MonkeyPatch) -> None:
    """Guards against settings that ended the relay's start or its connections: no warm-up time, a latency
    goal or limit of zero, and null loads."""
    required = {("allowed",), ("safety",), *(tuple(path.split(".")) for path in REQUIRED_SETTINGS)}
    for path in paths_in(ALL_SETTINGS):
        relay_settings = copy.deepcopy(ALL_SETTINGS)
        change(relay_settings, path, None)
        in_row = path[0] in ("profiles", "tenants") and (
            len(path) == 2 or path[-1] in (*REQUIRED_CLASS_SETTINGS, "name")
        )
        if path in required or in_row or path in (("profiles",), ("dcs", 0)):
            with raises(ValueError, match=r"settings\."):
                check_settings(relay_settings)
            continue
        check_settings(relay_settings)
        run_relay(relay_settings, monkeypatch)
    for path in (
        *REQUIRED_SETTINGS,
        "profiles.0.setup_goal",
        "profiles.0.client_timeout",
        "profiles.0.credit",
    ):
        relay_settings = copy.deepcopy(ALL_SETTINGS)
        change(relay_settings, tuple(int(name) if name.isdigit() else name for name in path.split(".")), 0)
        check_settings(relay_settings)
        run_relay(relay_settings, monkeypatch)


@mark.parametrize("held", [0, 1])
@mark.parametrize("deadline", [1, 100, 400, 1500, 9000])
def test_a_relay_ends_before_it_is_killed_however_short_its_deadlines(
    deadline: int, held: int, monkeypatch: MonkeyPatch
) -> None:
    """Guards against a relay that is killed before it ends.

    It waited a second for new connections although it is killed after 0.8 s, and another second for peers
    that kept their answered connections open. New connections arrive for 0.4 s.
    """
    relay_settings = ALL_SETTINGS | {
        "profiles": [row | {"client_timeout": deadline * 1000} for row in ALL_SETTINGS["profiles"]]
    }
    relay, reactor = make_relay(relay_settings, monkeypatch)
    for _ in range(held):
        relay.context.connections.allocate(SimpleNamespace())
    relay.stop()
    killed = min(3.0, deadline / 1000) + 0.7
    spent = 0.0
    while not reactor.hasStopped and spent < killed:
        reactor.advance(0.01)
        spent += 0.01
    assert 0.4 <= spent < killed - 0.09, "the process must end by itself before it is killed"


@mark.parametrize(
    "other",
    [
        {"allowed": {"most_setups": 1, "probes": False, "connect_timeout": 0}, "load_report": None},
        {
            "membership_mode": "push",
            "group_size": None,
            "domain": None,
            "dcs": None,
            "zone": None,
            "host_types": None,
            "prices": None,
        },
        {
            "profiles": [
                {
                    "name": 7,
                    "semantics": "token",
                    "group": "zone",
                    "window": 0,
                    "credit": 0,
                    "setup_goal": 0,
                    "client_timeout": 0,
                }
            ],
            "dcs": [1, 0],
            "zone": 0,
        },
        {"safety": {"cold_from": 0, "warm_within": 0, "fall_multiple": 0, "overload_for": 0, "ask_every": 1}},
    ],
    ids=[
        "no probes, one setup, no limit",
        "pushed, few settings",
        "numbers for names, no times",
        "no safety",
    ],
)
def test_a_started_relay_serves_another_customer(other: dict, tmp_path: Path) -> None:
    relay_settings = SETTINGS | other
    name = relay_settings["profiles"][0]["name"]
    backends = [Backend("a"), Backend("b")]
    with RelayProgram(tmp_path, backends, settings=relay_settings) as relay:
        clients = [relay.client() for _ in range(6)]
        names = f"c={name},d=1500,g=g"
        assert {client.open(str(number), names) for number, client in enumerate(clients)} == {"UP r"}
        assert clients[0].exchange("M 1") == "M 1"
        assert len(relay.discovery.calls) < 20, "discovery must not be overloaded by calls"
        assert "failed" not in relay.log.read_text()
