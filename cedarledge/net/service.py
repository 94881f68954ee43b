"""What operators have said of this relay: in or out of service, which backends are out, when it is ready."""

from __future__ import annotations

from loguru import logger

from cedarledge.net.backend_registry import BackendRegistry
from cedarledge.net.backends import BackendConnector
from cedarledge.net.interfaces import Frontend
from cedarledge.net.policy_host import RelayPolicyHost
from cedarledge.net.timers import Timer, Timers
from cedarledge.net.tunnels import Tunnels
from cedarledge.terms import MS

# Within 4 s of the call nobody may be held who was not moved. One that came late may still wait for a setup:
# it is answered then. Most of the time is used, as the other relays place who is moved one after the other.
EMPTY_WITHIN, ANSWER_ALL_AFTER = 3300 * MS, 3700 * MS


class UnknownBackendError(Exception):
    """No list has named such a backend."""


class ServiceState:
    """Each call may come twice, and then changes nothing."""

    def __init__(
        self,
        timers: Timers,
        policy_host: RelayPolicyHost,
        registry: BackendRegistry,
        tunnels: Tunnels,
        backends: BackendConnector,
        frontend: Frontend,
    ) -> None:
        self.timers = timers
        self.policy_host = policy_host
        self.registry = registry
        self.tunnels = tunnels
        self.backends = backends
        self.frontend = frontend
        self.listening = False  # the clients' listener
        self.stopping = self.replaced = False  # this process, by a newer one
        self.taking_over = False  # while the process before is still there
        self._sweep: Timer | None = None
        # By the names that they have between two processes.
        self.operations = {
            "out-of-service": self.leave_service,
            "in-service": self.return_to_service,
            "offline": self.take_backend_offline,
            "online": self.bring_backend_online,
        }

    def why_not_ready(self) -> str:
        """Empty where this process can serve."""
        if self.stopping:
            return "this process ends"
        if self.replaced:
            return "a newer process serves"
        if not self.listening:
            return "the listener is not open yet"
        if self.frontend.out_of_service and not self.taking_over:
            # A process that took over from one out of service is what that one's end waits for.
            return "out of service"
        if not self.registry.has_discovery_list and not self.registry.ready:
            return "no list of backends yet"
        return ""

    def leave_service(self) -> None:
        if self.frontend.out_of_service:
            return
        self.frontend.out_of_service = True
        logger.info("out of service: {} tunnels are sent away", self.tunnels.table.used)
        if not self.stopping:
            self.policy_host.call(self.policy_host.balancer.drain_started, EMPTY_WITHIN)
            self._sweep = self.timers.after_pending_reads(ANSWER_ALL_AFTER, self.tunnels.close_all)

    def return_to_service(self) -> None:
        if not self.frontend.out_of_service:
            return
        self.frontend.out_of_service = False
        logger.info("in service again with {} tunnels", self.tunnels.table.used)
        if not self.stopping:
            self.timers.cancel(self._sweep)
            self.policy_host.call(self.policy_host.balancer.drain_cancelled)

    def take_backend_offline(self, name: str) -> None:
        backend_id = self._known(name)
        # The list's word first: whoever waits for a look at it is then placed elsewhere.
        self.registry.ban(backend_id, self.timers.now())
        self.backends.abort_probe(backend_id)

    def bring_backend_online(self, name: str) -> None:
        self.registry.unban(self._known(name), self.timers.now())

    def _known(self, name: str) -> int:
        backend_id = self.registry.find(name)
        if backend_id is None:
            raise UnknownBackendError(name)
        return backend_id
