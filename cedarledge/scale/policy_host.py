"""The relay's policy without clients or sockets: a host that counts probes and list calls."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cedarledge.policy import Balancer
from cedarledge.scale.relay_settings import RELAY_SETTINGS
from cedarledge.settings import Indices, deployment_settings
from cedarledge.terms import MS, BackendEntry, BackendState, ListForm, LoadReport

PROBE_ANSWERED_AFTER = 2 * MS
REPORTED_LOAD = 0.4
# The tokens of answers to probes are told from the policy's own by their size.
PROBE_TOKEN = 1 << 40


class PolicyHost:
    """Runs one Balancer and answers each of its probes with the same report. `wake` is the caller's."""

    def __init__(
        self, now: int, seed: int, relays: int, backends: int, wake: Callable[[int, int], None]
    ) -> None:
        self.now = now
        self.set_timer = wake
        self.probes = self.list_calls = 0
        # As on sockets, where clients' lines tell of hangs alone: see net/relay.py.
        facts = deployment_settings(RELAY_SETTINGS, seed, now, Indices(["here"]))._replace(
            message_delays_known=False, relays=relays, relay_index=0
        )
        self.balancer = Balancer(self, facts)
        self.balancer.list_changed(now, ListForm.RESTORED, [_entry(number) for number in range(backends)])

    def woke(self, now: int, token: int) -> None:
        """The policy's timer, or the answer to one of its probes."""
        self.now = now
        if token < PROBE_TOKEN:
            self.balancer.timer_fired(now, token)
            return
        report = LoadReport(busy_share=REPORTED_LOAD, offered_load=REPORTED_LOAD, service_time=4 * MS)
        self.balancer.probe_ended(now, token - PROBE_TOKEN, True, report)

    # -- what the policy calls ----------------------------------------------------------------------

    def probe(self, ep: int) -> None:
        self.probes += 1
        self.set_timer(PROBE_ANSWERED_AFTER, PROBE_TOKEN + ep)

    def request_list(self) -> None:
        # The first call makes a watch, which goes on by itself.
        self.list_calls += 1

    def log(self, text: str) -> None:
        """Counters of placements, of which there are none."""

    def attempt(self, *_: Any) -> None:
        raise AssertionError("nothing is placed without clients")

    reject = close_with_error = move = attempt


def _entry(number: int) -> BackendEntry:
    return BackendEntry(number, number // 6, 0, 0, 1.0, BackendState.READY, 0, number)
