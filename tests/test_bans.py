"""Bans of backends by operators: a banned backend gets nothing new by any path until it is readmitted."""

from __future__ import annotations

import time
from pathlib import Path
from types import SimpleNamespace

import hypothesis.strategies as st
from helpers import MS, SECOND, START, Backend, RelayProgram, RuleCheckingHost, make_settings, wait_until
from hypothesis import given, settings
from test_adopted_connections import LateDiscovery, start_with_old_list
from test_control import call, free_address, running

from cedarledge.net.backend_registry import BackendRegistry
from cedarledge.terms import BackendState, ExternalView, Outcome

NAMES = "abcd"
REQUESTS = 20


class RegistryHarness:
    """A policy under the test's host whose list comes from a BackendRegistry, as in the relay."""

    def __init__(self) -> None:
        self.host = host = RuleCheckingHost(make_settings())

        def call(method: object, *args: object) -> bool:
            if method == host.balancer.list_changed:
                form, entries = args
                host.update_list(form, *entries)
            else:
                method(host.now, *args)
            return True

        policy_host = SimpleNamespace(
            clock=lambda: host.now,
            call=call,
            balancer=host.balancer,
            update_external_view=lambda excluded: host.balancer.external_view_changed(
                host.now, ExternalView(excluded=excluded)
            ),
        )
        self.registry = BackendRegistry(policy_host, SimpleNamespace(notify=lambda *_: None), {"dcs": ["z"]})
        self.update(True, *[self.entry(name) for name in NAMES])

    def entry(self, name: str, phase: str = "up", started: int = 0) -> dict:
        return {
            "id": name,
            "host_port": "127.0.0.1:1",
            "locality": "z",
            "cell": NAMES.index(name) % 2,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": started,
        }

    def update(self, whole: bool, *members: dict) -> None:
        self.registry.update(whole, list(members))

    def ban(self, name: str) -> None:
        self.registry.ban(self.registry.find(name), self.host.now)

    def unban(self, name: str) -> None:
        self.registry.unban(self.registry.find(name), self.host.now)


@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(
                (
                    "ban",
                    "ban",
                    "back",
                    "up",
                    "draining",
                    "removed",
                    "whole",
                    "restarted",
                    "arrive",
                    "arrive",
                    "aside",
                    "wait",
                )
            ),
            st.sampled_from(NAMES),
        ),
        max_size=60,
    )
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_nothing_new_goes_to_a_banned_backend_whatever_the_list_says(steps: list[tuple[str, str]]) -> None:
    harness = RegistryHarness()
    host, registry = harness.host, harness.registry
    banned: set[str] = set()
    for action, name in steps:
        attempts, probes = len(host.attempts), len(host.probes)
        if action == "ban":
            harness.ban(name)
            banned.add(name)
        elif action == "back":
            harness.unban(name)
            banned.discard(name)
        elif action in ("up", "draining", "removed"):
            harness.update(False, harness.entry(name, action))
        elif action == "restarted":
            harness.update(False, harness.entry(name, "up", host.now // MS))
        elif action == "whole":
            harness.update(True, *[harness.entry(other) for other in NAMES if other != name])
        elif action == "aside":
            registry.set_excluded([name])
        elif action == "wait":
            host.run(SECOND)
        else:
            connection_id = host.arrive(key=name)
            if not host.requests[connection_id].answered:
                # The attempt fails, and the policy tries other backends as long as there are any.
                host.end(connection_id, Outcome.FULL)
        new = host.attempts[attempts:]
        assert not {registry.backend_ids.names[backend_id] for _, _, backend_id in new} & banned
        assert not {registry.backend_ids.names[backend_id] for _, backend_id in host.probes[probes:]} & banned
        # The policy never sees a banned backend as ready.
        for backend_id, entry in host.listing.items():
            assert (
                registry.backend_ids.names[backend_id] not in banned or entry.state is not BackendState.READY
            )


def test_a_ban_of_all_backends_is_obeyed_and_excluding_all_of_them_is_not() -> None:
    harness = RegistryHarness()
    harness.registry.set_excluded(NAMES)
    connection_id = harness.host.arrive()
    assert harness.host.attempts and not harness.host.requests[connection_id].answered, (
        "excluding all would stop all traffic, so it is taken for a mistake"
    )
    for name in NAMES:
        harness.ban(name)
    attempts = len(harness.host.attempts)
    connection_id = harness.host.arrive()
    assert harness.host.requests[connection_id].answered and len(harness.host.attempts) == attempts
    harness.unban("b")
    harness.host.now += 11 * SECOND  # warm
    assert harness.host.arrive() >= 0 and [
        backend_id for _, _, backend_id in harness.host.attempts[attempts:]
    ] == [1]


def test_a_readmitted_backend_is_cold_and_without_history_whatever_the_list_says() -> None:
    harness = RegistryHarness()
    host, now = harness.host, START
    ejected = host.balancer.state.backends[0]
    ejected.ejections, ejected.ejected_until = 5, now + 100 * SECOND
    harness.ban("a")
    host.now += 3 * SECOND
    harness.unban("a")
    member = host.balancer.state.backends[0]
    assert member.started_at == host.now and not member.ejections and member.reported < 0
    # An outdated entry of discovery neither makes it warm nor drops what was learned since.
    host.report(0, 0.3)
    harness.update(False, harness.entry("a", "up", 5))
    assert member.started_at == host.now and member.reported == 0.3
    host.now += SECOND
    harness.update(False, harness.entry("a", "up", host.now // MS))
    assert member.started_at == host.now and member.reported < 0, "a later restart counts as a restart"
    # If the list reported the restart during the ban, that is the start.
    harness.ban("b")
    host.now += SECOND
    started = host.now
    harness.update(False, harness.entry("b", "up", started // MS))
    host.now += SECOND
    harness.unban("b")
    assert host.balancer.state.backends[1].started_at == started


def test_a_banned_backends_clients_are_moved_and_it_gets_new_ones_after_the_ban(tmp_path: Path) -> None:
    backends = [Backend("a"), Backend("b")]
    with running(tmp_path, *backends) as (relay, control):
        clients = [relay.client() for _ in range(12)]
        assert all(client.open(str(number)) == "UP r" for number, client in enumerate(clients))
        held = len(backends[0].opened)
        assert 0 < held < 12
        assert call(control, "POST", "/control/backends/a/offline") == 200
        assert call(control, "POST", "/control/backends/a/offline") == 200
        start = time.monotonic()
        # The list reports it as up, by a change and whole, and as restarted; so does the list after a SIGHUP.
        relay.discovery.publish(backends[0].entry())
        relay.discovery.publish(backends[0].entry() | {"up_since_ms": int(time.time() * 1000)})
        relay.reload()
        requests = len(backends[0].open_lines)
        assert all(relay.client().open(f"new{number}") == "UP r" for number in range(10))
        moved = 0
        while moved < held and time.monotonic() - start < 6:
            moved = sum(end == "ended" for end in backends[0].ends)
            time.sleep(0.05)
        assert moved >= held and len(backends[0].open_lines) == requests
        assert call(control, "POST", "/control/backends/a/online") == 200
        start = time.monotonic()
        while len(backends[0].open_lines) == requests and time.monotonic() - start < 5:
            assert relay.client().open(f"back{time.monotonic()}") == "UP r"
            time.sleep(0.1)
        assert len(backends[0].open_lines) > requests


def test_with_all_backends_banned_clients_are_rejected_and_nothing_is_probed(tmp_path: Path) -> None:
    backend = Backend("a")
    with running(tmp_path, backend) as (relay, control):
        assert relay.client().open() == "UP r"
        assert call(control, "POST", "/control/backends/a/offline") == 200
        wait_until(lambda: backend.ends.count("ended") + backend.ends.count("reset") >= 2)
        seen = len(backend.ends), len(backend.open_lines)
        time.sleep(2.5)
        assert relay.client().open() == "BUSY"
        before = relay.client().open("k", "c=feed,d=4294967,at=a")
        assert before == "ERR", "a connection that was open there before is not served either"
        assert seen == (len(backend.ends), len(backend.open_lines)), "neither connections nor probes"
        assert call(control, "POST", "/control/backends/a/online") == 200


def test_a_request_whose_connect_is_in_progress_at_the_ban_is_not_sent() -> None:
    harness = RegistryHarness()
    host = harness.host
    connection_id = host.arrive(key="k")
    backend_id = host.attempts[-1][2]
    harness.ban(harness.registry.backend_ids.names[backend_id])
    # The host checks once more before it writes (Tunnels.may_send), and reports that it was not sent.
    assert backend_id not in harness.registry.ready
    host.end(connection_id, Outcome.NOT_SENT)
    while connection_id in host.balancer.state.awaiting_probe:
        host.report(host.balancer.state.awaiting_probe[connection_id].backend_id, 0.1)
    assert host.attempts[-1][2] != backend_id, "it is sent to another backend"


def test_backend_names_in_calls_are_percent_decoded(tmp_path: Path) -> None:
    with running(tmp_path, Backend("a b/c")) as (_, control):
        answers = [
            call(control, "POST", f"/control/backends/{name}/offline")
            for name in ("x", "", "a%20b", "a%20b%2Fc")
        ]
        assert answers == [404, 404, 404, 200]


def open_until_served(relay: RelayProgram, backend: Backend) -> None:
    """Opens connections, which stay open and so fill the other backends, until one is at this backend."""
    clients = []

    def is_served() -> bool:
        clients.append(relay.client())
        assert clients[-1].open(str(len(clients))) == "UP r"
        return bool(backend.open_lines)

    wait_until(is_served)


def test_a_backend_taken_offline_before_discovery_has_told_of_it_gets_nothing(tmp_path: Path) -> None:
    """Guards against forgetting a call because the relay's old list lacks its backend."""
    backends = [Backend("early"), Backend("late")]
    discovery = LateDiscovery([backend.entry() for backend in backends], "slow")
    control = free_address()
    with start_with_old_list(tmp_path, backends, backends[:1], discovery, control=control) as relay:
        answers = [call(control, "POST", "/control/backends/late/offline") for _ in range(2)]
        assert answers == [404] * 2, "a name that no list has had is unknown"
        discovery.released.set()
        wait_until(lambda: len(discovery.calls) > 1)
        assert [relay.client().open(str(number)) for number in range(REQUESTS)] == ["UP r"] * REQUESTS
        assert not backends[1].open_lines and len(backends[0].open_lines) == REQUESTS
        assert call(control, "POST", "/control/backends/late/online") == 200
        open_until_served(relay, backends[1])


def test_a_call_for_a_backend_that_discovery_does_not_know_is_forgotten_at_its_first_answer(
    tmp_path: Path,
) -> None:
    """Guards against keeping a backend out that joins later, by a call that was answered with no."""
    backends = [Backend("early"), Backend("late")]
    discovery = LateDiscovery([backends[0].entry()], "slow")
    control = free_address()
    with start_with_old_list(tmp_path, backends[:1], backends[:1], discovery, control=control) as relay:
        assert call(control, "POST", "/control/backends/late/offline") == 404
        discovery.released.set()
        wait_until(lambda: len(discovery.calls) > 1)
        discovery.publish(backends[1].entry())
        open_until_served(relay, backends[1])
