"""Service state of the relay: in or out of service, backends taken offline by operators, readiness."""

from __future__ import annotations

from loguru import logger

from cedarledge.net.backend_registry import BackendRegistry
from cedarledge.net.backends import BackendConnector
from cedarledge.net.interfaces import Frontend
from cedarledge.net.policy_host import RelayPolicyHost
from cedarledge.net.timers import Timer, Timers
from cedarledge.net.tunnels import Tunnels
from cedarledge.terms import MS

# No connection may be left 4 s after the call that takes the relay out of service. Open connections are moved
# over most of that time, so that the other relays place them one after the other. A request that arrived late
# may still wait for a backend when the moves are done; END_ALL_AFTER answers it.
MOVE_ALL_WITHIN, END_ALL_AFTER = 3300 * MS, 3700 * MS


class UnknownBackendError(Exception):
    """Raised for a backend name that no list of backends has contained."""


class ServiceState:
    """The operators' view of this process, and the operations that change it.

    Every operation is idempotent: a repeated call changes nothing.
    """

    def __init__(
        self,
        timers: Timers,
        policy_host: RelayPolicyHost,
        registry: BackendRegistry,
        tunnels: Tunnels,
        backends: BackendConnector,
        frontend: Frontend,
    ) -> None:
        """Starts in service and not yet listening; the relay sets the flags as it starts and stops."""
        self.timers = timers
        self.policy_host = policy_host
        self.registry = registry
        self.tunnels = tunnels
        self.backends = backends
        self.frontend = frontend
        self.listening = False  # the clients' listener is open
        # Told to end; and a newer process of this relay accepts the connections.
        self.stopping = self.replaced = False
        self.taking_over = False  # the previous process of this relay is still running
        self._end_all_timer: Timer | None = None
        # The keys are the operations' names in the control calls and in messages between two processes.
        self.operations = {
            "out-of-service": self.leave_service,
            "in-service": self.return_to_service,
            "offline": self.take_backend_offline,
            "online": self.bring_backend_online,
        }

    def why_not_ready(self) -> str:
        """Returns the reason why this process is not ready, or an empty string if it is."""
        if self.stopping:
            return "this process ends"
        if self.replaced:
            return "a newer process serves"
        if not self.listening:
            return "the listener is not open yet"
        if self.frontend.out_of_service and not self.taking_over:
            # While a process takes over it reports ready even out of service: the previous process is
            # stopped only once the new one is ready.
            return "out of service"
        if not self.registry.has_discovery_list and not self.registry.ready:
            return "no list of backends yet"
        return ""

    def leave_service(self) -> None:
        """Tells the platform to send no more clients here and moves all open connections to other relays."""
        if self.frontend.out_of_service:
            return
        self.frontend.out_of_service = True
        logger.info("out of service: moving {} tunnels to other relays", self.tunnels.table.used)
        if not self.stopping:
            self.policy_host.call(self.policy_host.balancer.drain_started, MOVE_ALL_WITHIN)
            self._end_all_timer = self.timers.after_pending_reads(END_ALL_AFTER, self.tunnels.close_all)

    def return_to_service(self) -> None:
        """Takes clients in again and keeps the connections that have not been moved yet."""
        if not self.frontend.out_of_service:
            return
        self.frontend.out_of_service = False
        logger.info("in service again; {} tunnels are still open", self.tunnels.table.used)
        if not self.stopping:
            self.timers.cancel(self._end_all_timer)
            self.policy_host.call(self.policy_host.balancer.drain_cancelled)

    def take_backend_offline(self, name: str) -> None:
        """Sends nothing new to a backend until it is brought online; raises UnknownBackendError.

        If discovery has not answered yet, its first answer may name the unknown backend, which then stays
        offline.
        """
        if self.registry.find(name) is None:
            self.registry.ban_unlisted(name, self.timers.now())
        backend_id = self._backend_id_of(name)
        # The list changes first, so that a request that waits for a probe of this backend goes to another
        # one.
        self.registry.ban(backend_id, self.timers.now())
        self.backends.abort_probe(backend_id)

    def bring_backend_online(self, name: str) -> None:
        """Lets a backend that was taken offline be chosen again; raises UnknownBackendError."""
        self.registry.unban_unlisted(name)
        self.registry.unban(self._backend_id_of(name), self.timers.now())

    def _backend_id_of(self, name: str) -> int:
        backend_id = self.registry.find(name)
        if backend_id is None:
            raise UnknownBackendError(name)
        return backend_id
