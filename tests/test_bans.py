"""Backends that operators take out: nothing new goes there by any way, until the call back."""

from __future__ import annotations

import time
from pathlib import Path
from types import SimpleNamespace

import hypothesis.strategies as st
from helpers import MS, SECOND, START, Backend, RuleCheckingHost, make_settings, wait_until
from hypothesis import given, settings
from test_control import call, running

from cedarledge.net.backend_registry import BackendRegistry
from cedarledge.terms import BackendState, ExternalView, Outcome

NAMES = "abcd"


class Listed:
    """A module under the test's host, which hears of the list as the relay's does."""

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
        self.told(True, *[self.entry(name) for name in NAMES])

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

    def told(self, whole: bool, *members: dict) -> None:
        self.registry.update(whole, list(members))

    def ban(self, name: str) -> None:
        self.registry.ban(self.registry.find(name), self.host.now)

    def put_back(self, name: str) -> None:
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
    site = Listed()
    host, boxes = site.host, site.registry
    banned: set[str] = set()
    for what, name in steps:
        sends, probes = len(host.attempts), len(host.probes)
        if what == "ban":
            site.ban(name)
            banned.add(name)
        elif what == "back":
            site.put_back(name)
            banned.discard(name)
        elif what in ("up", "draining", "removed"):
            site.told(False, site.entry(name, what))
        elif what == "restarted":
            site.told(False, site.entry(name, "up", host.now // MS))
        elif what == "whole":
            site.told(True, *[site.entry(other) for other in NAMES if other != name])
        elif what == "aside":
            boxes.set_excluded([name])
        elif what == "wait":
            host.run(SECOND)
        else:
            tun = host.arrive(key=name)
            if not host.requests[tun].answered:
                # It fails there, and goes elsewhere as long as there is somewhere.
                host.end(tun, Outcome.FULL)
        new = host.attempts[sends:]
        assert not {boxes.backend_ids.names[ep] for _, _, ep in new} & banned
        assert not {boxes.backend_ids.names[ep] for _, ep in host.probes[probes:]} & banned
        # What is not banned, and up, is never lost by it.
        for ep, entry in host.listing.items():
            assert boxes.backend_ids.names[ep] not in banned or entry.state is not BackendState.READY


def test_a_ban_on_all_is_followed_where_a_list_of_all_to_set_aside_is_not() -> None:
    site = Listed()
    site.registry.set_excluded(NAMES)
    tun = site.host.arrive()
    assert site.host.attempts and not site.host.requests[tun].answered, "a slip, which would close the site"
    for name in NAMES:
        site.ban(name)
    sends = len(site.host.attempts)
    tun = site.host.arrive()
    assert site.host.requests[tun].answered and len(site.host.attempts) == sends
    site.put_back("b")
    site.host.now += 11 * SECOND  # warm
    assert site.host.arrive() >= 0 and [ep for _, _, ep in site.host.attempts[sends:]] == [1]


def test_one_that_comes_back_is_cold_and_forgotten_whatever_the_list_says() -> None:
    site = Listed()
    host, now = site.host, START
    struck = host.balancer.state.backends[0]
    struck.ejections, struck.ejected_until = 5, now + 100 * SECOND
    site.ban("a")
    host.now += 3 * SECOND
    site.put_back("a")
    member = host.balancer.state.backends[0]
    assert member.started_at == host.now and not member.ejections and member.reported < 0
    # An old word of discovery does not make it warm, nor forget again what was learned since.
    host.report(0, 0.3)
    site.told(False, site.entry("a", "up", 5))
    assert member.started_at == host.now and member.reported == 0.3
    host.now += SECOND
    site.told(False, site.entry("a", "up", host.now // MS))
    assert member.started_at == host.now and member.reported < 0, "one more restart is one"
    # Where the list has told of the restart while it was out, that is when it started.
    site.ban("b")
    host.now += SECOND
    at = host.now
    site.told(False, site.entry("b", "up", at // MS))
    host.now += SECOND
    site.put_back("b")
    assert host.balancer.state.backends[1].started_at == at


def test_its_clients_are_moved_and_it_gets_the_first_of_the_next(tmp_path: Path) -> None:
    backends = [Backend("a"), Backend("b")]
    with running(tmp_path, *backends) as (relay, control):
        clients = [relay.client() for _ in range(12)]
        assert all(client.open(str(number)) == "UP r" for number, client in enumerate(clients))
        held = len(backends[0].opened)
        assert 0 < held < 12
        assert call(control, "POST", "/control/backends/a/offline") == 200
        assert call(control, "POST", "/control/backends/a/offline") == 200
        start = time.monotonic()
        # The list says that it is there, in part and whole, and that it was started anew; so does SIGHUP's.
        relay.discovery.publish(backends[0].entry())
        relay.discovery.publish(backends[0].entry() | {"up_since_ms": int(time.time() * 1000)})
        relay.reload()
        asked = len(backends[0].open_lines)
        assert all(relay.client().open(f"new{number}") == "UP r" for number in range(10))
        moved = 0
        while moved < held and time.monotonic() - start < 6:
            moved = sum(end == "ended" for end in backends[0].ends)
            time.sleep(0.05)
        assert moved >= held and len(backends[0].open_lines) == asked
        assert call(control, "POST", "/control/backends/a/online") == 200
        start = time.monotonic()
        while len(backends[0].open_lines) == asked and time.monotonic() - start < 5:
            assert relay.client().open(f"back{time.monotonic()}") == "UP r"
            time.sleep(0.1)
        assert len(backends[0].open_lines) > asked


def test_a_ban_on_all_declines_and_probes_nobody(tmp_path: Path) -> None:
    backend = Backend("a")
    with running(tmp_path, backend) as (relay, control):
        assert relay.client().open() == "UP r"
        assert call(control, "POST", "/control/backends/a/offline") == 200
        wait_until(lambda: backend.ends.count("ended") + backend.ends.count("reset") >= 2)
        seen = len(backend.ends), len(backend.open_lines)
        time.sleep(2.5)
        assert relay.client().open() == "BUSY"
        before = relay.client().open("k", "c=feed,d=4294967,at=a")
        assert before == "ERR", "what was open there before, too"
        assert seen == (len(backend.ends), len(backend.open_lines)), "neither tunnels nor probes"
        assert call(control, "POST", "/control/backends/a/online") == 200


def test_what_is_being_connected_when_the_ban_comes_is_not_written() -> None:
    site = Listed()
    host = site.host
    tun = host.arrive(key="k")
    ep = host.attempts[-1][2]
    site.ban(site.registry.backend_ids.names[ep])
    # The host asks once more before it writes (Tunnels.may_send), and says that it was not sent.
    assert ep not in site.registry.ready
    host.end(tun, Outcome.NOT_SENT)
    while tun in host.balancer.state.awaiting_probe:
        host.report(host.balancer.state.awaiting_probe[tun].backend_id, 0.1)
    assert host.attempts[-1][2] != ep, "it goes elsewhere"


def test_names_are_as_the_list_has_them(tmp_path: Path) -> None:
    with running(tmp_path, Backend("a b/c")) as (_, control):
        answers = [
            call(control, "POST", f"/control/backends/{name}/offline")
            for name in ("x", "", "a%20b", "a%20b%2Fc")
        ]
        assert answers == [404, 404, 404, 200]
