"""Settings of other customers: what may be left out, be null, be zero or lie at its ends, and what not."""

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

from cedarledge.net import relay as relays
from cedarledge.net.clients import parse_open_request
from cedarledge.net.config import RelayConfig
from cedarledge.settings import REQUIRED_CLASS_SETTINGS, REQUIRED_SETTINGS, check_settings
from cedarledge.terms import LoadReport

# With all that the pages name and the program reads.
WHOLE: dict[str, Any] = copy.deepcopy(SETTINGS) | {
    "me": 0,
    "overage_credit": 0.1,
    "prices": {"cross_zone": 0.01},
    "client_habits": {"marks_retry": True},
    "tenants": [{"name": "one", "quota_per_s": 3}, {"name": "two", "quota_per_s": 0}],
}
WHOLE["allowed"] |= {"max_retry_after": 2_000_000, "retry_after": True, "second_copies": False}
WHOLE["domain"] |= {"tenant_quota_connections": [10.0, 0.0], "tells_load": True, "mode": "proxy"}
WHOLE["profiles"].append(WHOLE["profiles"][0] | {"name": "7", "semantics": "token", "group": "cell"})
# What the members of the fleet say of themselves in turn.
LOADS = (0.2, 0.5, 0.9, 1.4)
ROUNDS = 30


def places(node: Any, at: tuple = ()) -> Iterator[tuple]:
    for name, value in node.items() if isinstance(node, dict) else enumerate(node):
        yield (*at, name)
        if isinstance(value, dict | list):
            yield from places(value, (*at, name))


def changed(told: dict[str, Any], place: tuple, value: Any) -> None:
    node: Any = told
    for name in place[:-1]:
        try:
            node = node[name]
        except (KeyError, IndexError):
            return  # gone with another change
        if not isinstance(node, dict | list):
            return
    if value == "gone" and isinstance(node, dict):
        node.pop(place[-1], None)
    elif isinstance(node, dict) or place[-1] < len(node):
        node[place[-1]] = value


class Client(test_tunnels.Client):
    """One that is no bad client."""

    def protocol_error(self, why: str) -> None:
        raise AssertionError(why)


def assembled(told: dict[str, Any], monkeypatch: MonkeyPatch) -> tuple[relays.Relay, MemoryReactorClock]:
    """A relay on a clock of its own, with a cold member among warm ones."""
    reactor = MemoryReactorClock()
    monkeypatch.setattr(relays, "steady_clock", lambda: lambda: round((reactor.seconds() + 1e9) * SECOND))
    members = [
        {
            "id": f"s-{ep}",
            "host_port": f"127.0.0.1:{9000 + ep}",
            "cell": ep % 2,
            "phase": "up",
            "up_since_ms": 1_000_000_003_000 * (ep == 2),
        }
        for ep in range(len(LOADS))
    ]
    return relays.Relay(
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
            told,
        ),
    ), reactor


def play(told: dict[str, Any], monkeypatch: MonkeyPatch) -> None:
    faults: list[str] = []
    logger.remove()
    heard = logger.add(lambda message: faults.append(str(message)), level="ERROR")
    try:
        relay, reactor = assembled(told, monkeypatch)
        rows = [
            (row["name"], max(1, min(900, int(row["client_timeout"] or 900_000) // 1000)))
            for row in told["profiles"]
        ]
        clients = []
        for number in range(ROUNDS):
            # In steps shorter than the grace of an answer: with longer ones each would come late.
            reactor.pump([0.05] * 5)
            for ep, load in enumerate(LOADS):
                relay.probe_ended(ep, True, LoadReport(offered_load=load))
            clients.append(Client())
            name, wait = rows[number % len(rows)]
            relay.tunnels.request_arrived(
                clients[-1],
                parse_open_request(f"OPEN i{number} k{number} c={name},d={wait},g=g{number % 3}".encode()),
            )
        relay.stop()
        reactor.pump([0.05] * 120)
    finally:
        logger.remove(heard)
    assert not faults
    assert {len(client.said) for client in clients} == {1}, "nobody takes them, and each hears so once"
    assert relay.tunnels.table.used == 0


values = st.sampled_from(["gone", None, 0, 1, 1e-9, 0.5, 10**12])
changes = st.lists(st.tuples(st.sampled_from(sorted(places(WHOLE), key=str)), values), max_size=4)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(made=changes)
def test_settings_are_served_or_refused_by_their_place(made: list[tuple]) -> None:
    told = copy.deepcopy(WHOLE)
    for place, value in made:
        changed(told, place, value)
    try:
        check_settings(told)
    except ValueError as why:
        assert str(why).startswith("settings.") and "\n" not in str(why)
        return
    with MonkeyPatch.context() as patch:
        play(told, patch)


def test_only_what_no_relay_can_do_without_is_refused_where_it_is_missing(monkeypatch: MonkeyPatch) -> None:
    """Backends that need no time to warm, a goal or limit of zero and null loads ended starts or tunnels."""
    needed = {("allowed",), ("safety",), *(tuple(place.split(".")) for place in REQUIRED_SETTINGS)}
    for place in places(WHOLE):
        told = copy.deepcopy(WHOLE)
        changed(told, place, None)
        in_row = place[0] in ("profiles", "tenants") and (
            len(place) == 2 or place[-1] in (*REQUIRED_CLASS_SETTINGS, "name")
        )
        if place in needed or in_row or place in (("profiles",), ("dcs", 0)):
            with raises(ValueError, match=r"settings\."):
                check_settings(told)
            continue
        check_settings(told)
        play(told, monkeypatch)
    for place in (
        *REQUIRED_SETTINGS,
        "profiles.0.setup_goal",
        "profiles.0.client_timeout",
        "profiles.0.credit",
    ):
        told = copy.deepcopy(WHOLE)
        changed(told, tuple(int(name) if name.isdigit() else name for name in place.split(".")), 0)
        check_settings(told)
        play(told, monkeypatch)


@mark.parametrize("held", [0, 1])
@mark.parametrize("deadline", [1, 100, 400, 1500, 9000])
def test_a_relay_ends_before_it_is_killed_however_short_its_deadlines(
    deadline: int, held: int, monkeypatch: MonkeyPatch
) -> None:
    """It waited a second for newcomers where it is killed after 0.8 s, and a second more for whoever had had
    the last word and did not end its side. Newcomers come for 0.4 s."""
    told = WHOLE | {"profiles": [row | {"client_timeout": deadline * 1000} for row in WHOLE["profiles"]]}
    relay, reactor = assembled(told, monkeypatch)
    for _ in range(held):
        relay.context.connections.allocate(SimpleNamespace())
    relay.stop()
    killed = min(3.0, deadline / 1000) + 0.7
    spent = 0.0
    while not reactor.hasStopped and spent < killed:
        reactor.advance(0.01)
        spent += 0.01
    assert 0.4 <= spent < killed - 0.09, "the process has its own end before it"


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
    ids=["no probes, one setup, no limit", "pushed, little told", "numbers for names, no times", "no safety"],
)
def test_a_started_relay_serves_another_customer(other: dict, tmp_path: Path) -> None:
    told = SETTINGS | other
    name = told["profiles"][0]["name"]
    backends = [Backend("a"), Backend("b")]
    with RelayProgram(tmp_path, backends, settings=told) as relay:
        clients = [relay.client() for _ in range(6)]
        names = f"c={name},d=1500,g=g"
        assert {client.open(str(number), names) for number, client in enumerate(clients)} == {"UP r"}
        assert clients[0].say("M 1") == "M 1"
        assert len(relay.discovery.calls) < 20, "and discovery is not run down"
        assert "failed" not in relay.log.read_text()
