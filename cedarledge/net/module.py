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

MakeBalancer = Callable[["Module", DeploymentSettings], Balancer]


class Module:
    """The host of one Balancer (terms.PolicyHost), and the way by which everything reaches it."""

    balancer: Balancer

    def __init__(self, clock: Callable[[], int], timers: Timers) -> None:
        self.clock = clock
        self.timers = timers
        self.external_view = ExternalView()

    def join(self, tunnels: Tunnels, backends: Backends, boxes: BoxList, watching: Watch) -> None:
        self.tunnels = tunnels
        self.backends = backends
        self.boxes = boxes
        self.watching = watching
        # Sends and answers are a tunnel's business alone; they need no way through here.
        self.attempt, self.reject = tunnels.send, tunnels.decline
        self.close_with_error, self.move = tunnels.close_with_error, tunnels.move

    def start(self, facts: DeploymentSettings, make: MakeBalancer = Balancer) -> None:
        self.balancer = make(self, facts)

    def chance(self) -> float:
        """A draw from the one source of random numbers that a relay has."""
        return self.balancer.random()

    def tell(self, method: Callable[..., None], *args: Any) -> bool:
        """Calls the module. A fault there costs one event, not the connections that this relay holds; but
        who was waiting for its word may never hear it, and is answered now."""
        try:
            method(self.clock(), *args)
        except Exception:
            logger.exception("the decision module failed")
            self.tunnels.answer_waiting()
            return False
        return True

    def knows(self, **known: Any) -> None:
        """A subsystem's fields of the external view have changed."""
        external_view = self.external_view._replace(**known)
        if external_view != self.external_view:
            self.external_view = external_view
            self.tell(self.balancer.external_view_changed, external_view)

    # -- the rest of the host interface ------------------------------------------------------------

    def probe(self, ep: int) -> None:
        self.backends.probe(ep, self.boxes.addresses[ep])

    def set_timer(self, delay: int, token: int) -> None:
        # The module takes the end of a look for its box's silence.
        self.timers.after_reading(delay, self._woke, token)

    def _woke(self, token: int) -> None:
        self.tell(self.balancer.timer_fired, token)

    def request_list(self) -> None:
        self.watching.start()

    def log(self, text: str) -> None:
        logger.info("{}", text)
