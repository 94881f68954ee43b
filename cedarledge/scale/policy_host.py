"""Host for the balancing policy without clients or sockets; counts probes and list requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cedarledge.policy import Balancer
from cedarledge.scale.relay_settings import RELAY_SETTINGS
from cedarledge.settings import Indices, deployment_settings
from cedarledge.terms import MS, BackendEntry, BackendState, ListForm, LoadReport

PROBE_ANSWER_DELAY = 2 * MS
REPORTED_LOAD = 0.4
# Timer tokens from this one on are answers to probes; smaller ones belong to the policy.
FIRST_PROBE_TOKEN = 1 << 40


class PolicyHost:
    """Runs one Balancer and answers each of its probes with the same load report."""

    def __init__(
        self, now: int, seed: int, relays: int, backends: int, set_timer: Callable[[int, int], None]
    ) -> None:
        """Starts the policy with a list of `backends` backends, as one of `relays` relays.

        `set_timer` takes a delay in ns and a token; the caller passes the token to `timer_fired` after it.
        """
        self.now = now
        self.set_timer = set_timer
        self.probes = self.list_calls = 0
        # As in a real relay, where the messages of clients only reveal backends that hang: see net/relay.py.
        settings = deployment_settings(RELAY_SETTINGS, seed, now, Indices(["here"]))._replace(
            message_delays_known=False, relays=relays, relay_index=0
        )
        self.balancer = Balancer(self, settings)
        self.balancer.list_changed(
            now, ListForm.RESTORED, [_backend_entry(number) for number in range(backends)]
        )

    def timer_fired(self, now: int, token: int) -> None:
        """Handles an expired timer of the policy, or the answer to one of its probes."""
        self.now = now
        if token < FIRST_PROBE_TOKEN:
            self.balancer.timer_fired(now, token)
            return
        report = LoadReport(busy_share=REPORTED_LOAD, offered_load=REPORTED_LOAD, service_time=4 * MS)
        self.balancer.probe_ended(now, token - FIRST_PROBE_TOKEN, True, report)

    # -- calls from the policy ----------------------------------------------------------------------

    def probe(self, backend_id: int) -> None:
        """Counts a probe and schedules its answer."""
        self.probes += 1
        self.set_timer(PROBE_ANSWER_DELAY, FIRST_PROBE_TOKEN + backend_id)

    def request_list(self) -> None:
        """Counts a request for the backend list, which is not answered again."""
        # In a real relay the first request starts a watch, which needs no further requests.
        self.list_calls += 1

    def log(self, text: str) -> None:
        """Ignores the log line: it counts placements, and without clients there are none."""

    def attempt(self, *_: Any) -> None:
        """Raises AssertionError: without clients there are no connections to place."""
        raise AssertionError("the policy placed a connection although there are no clients")

    reject = close_with_error = move = attempt


def _backend_entry(number: int) -> BackendEntry:
    return BackendEntry(number, number // 6, 0, 0, 1.0, BackendState.READY, 0, number)
