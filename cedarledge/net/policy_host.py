"""Hosts the balancer in a relay: guards calls to it and carries out its actions."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger

from cedarledge.net.timers import Timers
from cedarledge.policy import Balancer
from cedarledge.terms import DeploymentSettings, ExternalView

if TYPE_CHECKING:
    from cedarledge.net.backend_registry import BackendRegistry
    from cedarledge.net.backends import BackendConnector
    from cedarledge.net.discovery import Watch
    from cedarledge.net.tunnels import Tunnels

MakeBalancer = Callable[["RelayPolicyHost", DeploymentSettings], Balancer]


class RelayPolicyHost:
    """Host of one Balancer (terms.PolicyHost); all events reach the balancer through it."""

    balancer: Balancer

    def __init__(self, clock: Callable[[], int], timers: Timers) -> None:
        """Uses `clock` (ns) and `timers`; connect and start must follow before any event."""
        self.clock = clock
        self.timers = timers
        self.external_view = ExternalView()

    def connect(
        self, tunnels: Tunnels, backends: BackendConnector, registry: BackendRegistry, watch: Watch
    ) -> None:
        """Sets the parts of the relay that carry out the balancer's actions."""
        self.tunnels = tunnels
        self.backends = backends
        self.registry = registry
        self.watch = watch
        # Attempts and answers concern one tunnel only and go straight to Tunnels.
        self.attempt, self.reject = tunnels.attempt, tunnels.reject
        self.close_with_error, self.move = tunnels.close_with_error, tunnels.move

    def start(self, settings: DeploymentSettings, make_balancer: MakeBalancer = Balancer) -> None:
        """Creates the balancer, which may act at once."""
        self.balancer = make_balancer(self, settings)

    def random(self) -> float:
        """Returns a number in [0, 1) from the relay's only source of random numbers."""
        return self.balancer.random()

    def call(self, method: Callable[..., None], *args: Any) -> bool:
        """Calls a method of the balancer with the current time and `args`; returns whether it succeeded.

        An exception loses this event but not the relay's connections. The balancer may then never answer the
        requests that wait for its decision, so they are answered here.
        """
        try:
            method(self.clock(), *args)
        except Exception:
            logger.exception("a call to the balancer failed")
            self.tunnels.fail_waiting_requests()
            return False
        return True

    def update_external_view(self, **fields: Any) -> None:
        """Replaces fields of the external view, and notifies the balancer if that changes it."""
        external_view = self.external_view._replace(**fields)
        if external_view != self.external_view:
            self.external_view = external_view
            self.call(self.balancer.external_view_changed, external_view)

    # -- the other methods of terms.PolicyHost -----------------------------------------------------

    def probe(self, backend_id: int) -> None:
        """Sends a probe to a backend."""
        self.backends.probe(backend_id, self.registry.addresses[backend_id])

    def set_timer(self, delay: int, token: int) -> None:
        """Calls the balancer with the token after a delay in ns."""
        # Received data is read first: the balancer takes an expired probe timer for an unanswered probe.
        self.timers.after_pending_reads(delay, self._on_timer, token)

    def _on_timer(self, token: int) -> None:
        self.call(self.balancer.timer_fired, token)

    def request_list(self) -> None:
        """Starts to follow the list of backends."""
        self.watch.start()

    def log(self, text: str) -> None:
        """Writes a line of the balancer to the log."""
        logger.info("{}", text)
