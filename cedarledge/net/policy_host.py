"""The decision module in its place: calls to it are guarded, what it wants done is handed on."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger

from cedarledge.net.timers import Timers
from cedarledge.policy import Balancer
from cedarledge.terms import DeploymentSettings, ExternalView

if TYPE_CHECKING:
    from cedarledge.net.backends import Backends
    from cedarledge.net.boxlist import BoxList
    from cedarledge.net.discovery import Watch
    from cedarledge.net.tunnels import Tunnels

MakeBalancer = Callable[["RelayPolicyHost", DeploymentSettings], Balancer]


class RelayPolicyHost:
    """The host of one Balancer (terms.PolicyHost), and the way by which everything reaches it."""

    balancer: Balancer

    def __init__(self, clock: Callable[[], int], timers: Timers) -> None:
        self.clock = clock
        self.timers = timers
        self.external_view = ExternalView()

    def connect(self, tunnels: Tunnels, backends: Backends, boxes: BoxList, watching: Watch) -> None:
        self.tunnels = tunnels
        self.backends = backends
        self.boxes = boxes
        self.watching = watching
        # Sends and answers are a tunnel's business alone; they need no way through here.
        self.send, self.decline = tunnels.send, tunnels.decline
        self.close_with_error, self.move = tunnels.close_with_error, tunnels.move

    def start(self, settings: DeploymentSettings, make_balancer: MakeBalancer = Balancer) -> None:
        self.balancer = make_balancer(self, settings)

    def random(self) -> float:
        """A draw from the one source of random numbers that a relay has."""
        return self.balancer.chance()

    def call(self, method: Callable[..., None], *args: Any) -> bool:
        """Calls the module. A fault there costs one event, not the connections that this relay holds; but
        who was waiting for its word may never hear it, and is answered now."""
        try:
            method(self.clock(), *args)
        except Exception:
            logger.exception("the decision module failed")
            self.tunnels.fail_waiting_requests()
            return False
        return True

    def update_external_view(self, **known: Any) -> None:
        """A subsystem's fields of the external view have changed."""
        external_view = self.external_view._replace(**known)
        if external_view != self.external_view:
            self.external_view = external_view
            self.call(self.balancer.knows, external_view)

    # -- the rest of the host interface ------------------------------------------------------------

    def probe(self, backend_id: int) -> None:
        self.backends.probe(backend_id, self.boxes.addresses[backend_id])

    def wake(self, delay: int, token: int) -> None:
        # The module takes the end of a look for its box's silence.
        self.timers.after_reading(delay, self._on_timer, token)

    def _on_timer(self, token: int) -> None:
        self.call(self.balancer.woke, token)

    def watch(self) -> None:
        self.watching.start()

    def log(self, text: str) -> None:
        logger.info("{}", text)
