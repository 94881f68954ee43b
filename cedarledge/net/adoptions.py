"""Opens connections again that were open before the run, each at the backend that held it and at no other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from cedarledge.net.backend_registry import BackendRegistry
from cedarledge.net.line_connection import ConnectionContext
from cedarledge.net.policy_host import RelayPolicyHost
from cedarledge.net.slots import SlotTable
from cedarledge.terms import MS, NEVER_RAN, SECOND, Outcome

if TYPE_CHECKING:
    from cedarledge.net.tunnels import Tunnel

# Connections that were open before the run must be open again within 40 s of its start. For one of them: time
# for all attempts, time to connect, and delay before the next attempt.
TIMEOUT, CONNECT_TIMEOUT, RETRY_DELAY = 38 * SECOND, 4 * SECOND, 250 * MS
# How long a request that follows new requests waits for discovery to list its backend.
LATE_LIST_TIMEOUT = 2 * SECOND


class AttemptStarter(Protocol):
    """Begins attempts and gives the final answer where none may follow. Durations are in ns."""

    def begin_attempt(self, tunnel_id: int, backend_id: int, timeout: int, connect_timeout: int) -> None:
        """Begins an attempt; its end is reported to `Adoptions.attempt_failed` unless it opens."""
        ...

    def close_with_error(self, tunnel_id: int) -> None:
        """Answers a request with an error."""
        ...


class Adoptions:
    """Attempts each connection until its backend takes it, may have taken it, or can't be expected to.

    The run begins once all of them are open again. One that comes after a new request is not genuine, and
    must not occupy a slot and load a backend for as long: it gets one attempt.
    """

    def __init__(
        self,
        context: ConnectionContext,
        table: SlotTable[Tunnel],
        registry: BackendRegistry,
        policy_host: RelayPolicyHost,
        attempts: AttemptStarter,
    ) -> None:
        """Looks tunnels up in `table` and backends in `registry`."""
        self.clock = context.clock
        self.timers = context.timers
        self.rate_limited_log = context.rate_limited_log
        self.table = table
        self.registry = registry
        self.policy_host = policy_host
        self.attempts = attempts
        self._saw_new_request = False

    def new_request_arrived(self) -> None:
        """Notes a request for a new connection."""
        self._saw_new_request = True

    def start(self, tunnel_id: int) -> None:
        """Begins to open the connection of a tunnel again."""
        self.table.get(tunnel_id).precedes_new_requests = not self._saw_new_request
        self._proceed(tunnel_id)

    def attempt_failed(self, tunnel_id: int, outcome: Outcome) -> None:
        """Handles the end of an attempt that has not opened the connection."""
        if outcome in NEVER_RAN and self.table.get(tunnel_id).precedes_new_requests:
            self.timers.after(RETRY_DELAY, self._proceed, tunnel_id)
        else:
            self.attempts.close_with_error(tunnel_id)

    def _proceed(self, tunnel_id: int) -> None:
        """Begins an attempt, waits for discovery's list, or gives up."""
        tunnel = self.table.get(tunnel_id)
        if tunnel is None or tunnel.closed:
            return
        age = self.clock() - tunnel.began
        backend_id = self.registry.backend_ids.get(tunnel.open_request.previous_backend)
        if age >= TIMEOUT:
            self._give_up(tunnel_id, "its time is over")
        elif backend_id in self.registry.banned:
            self._give_up(tunnel_id, "operators have taken its backend offline")
        elif backend_id in self.registry.addresses:
            self.attempts.begin_attempt(tunnel_id, backend_id, TIMEOUT - age, CONNECT_TIMEOUT)
        elif self.registry.has_discovery_list:
            self._give_up(tunnel_id, "discovery does not list its backend")
        elif age > LATE_LIST_TIMEOUT and not tunnel.precedes_new_requests:
            self._give_up(tunnel_id, "discovery has not answered, and new requests came before it")
        else:
            # The backend may be newer than the list that this relay was started with, which only discovery's
            # answer can tell.
            if age < RETRY_DELAY:
                # Relays that start together spread their first call of the discovery service; this
                # connection can't wait for it.
                self.policy_host.request_list()
            self.timers.after(RETRY_DELAY, self._proceed, tunnel_id)

    def _give_up(self, tunnel_id: int, reason: str) -> None:
        open_request = self.table.get(tunnel_id).open_request
        self.rate_limited_log.warn(
            "adoption", f"{open_request.id} is not opened again at {open_request.previous_backend}: {reason}"
        )
        self.attempts.close_with_error(tunnel_id)
