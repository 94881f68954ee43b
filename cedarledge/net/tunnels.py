"""Tunnels, the connections that this relay forwards: from a client's request to the release of the slot."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from functools import partial

from loguru import logger

from cedarledge.net.adoptions import Adoptions
from cedarledge.net.backend_registry import BackendRegistry
from cedarledge.net.backends import BackendConnector, SetupConnection
from cedarledge.net.clients import OpenRequest
from cedarledge.net.interfaces import ClientConnection
from cedarledge.net.line_connection import ConnectionContext
from cedarledge.net.lines import parse_finite
from cedarledge.net.message_latency import MessageTimer, MessageTimers
from cedarledge.net.observers import Observers
from cedarledge.net.policy_host import RelayPolicyHost
from cedarledge.net.request_guard import REJECTED, RequestGuard, RequestRecord
from cedarledge.net.request_ids import CLAIM_TIMEOUT, ClaimResult, RequestIds
from cedarledge.net.slots import NoFreeSlotError, SlotTable
from cedarledge.policy.estimators import DecayingSum
from cedarledge.terms import MS, SECOND, LoadReport, Outcome, RequestClassSettings

# A request is invalid if its timeout is more than this many times the client timeout of its profile.
MAX_TIMEOUT_FACTOR = 2
# The part of the client's timeout that a claim of its request id may take.
CLAIM_TIME_DIVISOR = 2
# Time that an answer takes to the client, which is part of the client's timeout.
ANSWER_DELIVERY_TIME = 5 * MS
# Time constant of the decaying count of clients that came from other relays.
RETURNED_CLIENTS_LIFETIME = 4 * SECOND
# Names of the counters in the log.
COUNTER_NAMES = ("taken", "opened", "rejected", "failed", "moved", "silent", "left")


class Tunnel:
    """A client's request and its resources; Tunnels._release releases its slot."""

    __slots__ = (
        "began",
        "client",
        "closed",
        "is_open",
        "known_to_policy",
        "message_timer",
        "open_request",
        "precedes_new_requests",
        "profile",
        "request",
        "setup",
        "tenant",
    )

    def __init__(
        self,
        client: ClientConnection,
        open_request: OpenRequest,
        profile: int,
        tenant: int | None,
        began: int,
    ) -> None:
        """Starts with a request that arrived at `began` (ns) and has no attempt yet."""
        self.client = client
        self.open_request = open_request
        self.profile = profile
        self.tenant = tenant
        self.began = began
        self.request = RequestRecord(
            open_request.id,
            profile,
            began + open_request.client_timeout if open_request.previous_backend is None else 0,
        )
        self.setup: SetupConnection | None = None
        self.message_timer: MessageTimer | None = None
        self.known_to_policy = False
        self.precedes_new_requests = False  # it arrived before any request for a new connection
        self.is_open = self.closed = False


class Tunnels:
    """All tunnels of a relay.

    Implements interfaces.RequestHandler for the frontend and backends.SetupObserver for the attempts, and
    carries out the balancer's actions on requests and connections.
    """

    backends: BackendConnector
    message_timers: MessageTimers

    def __init__(
        self,
        context: ConnectionContext,
        policy_host: RelayPolicyHost,
        registry: BackendRegistry,
        observers: Observers,
        capacity: int,
        profiles: Mapping[str, int],
        tenants: Mapping[str, int],
        client_timeouts: Sequence[int],
        connect_timeout: int,
        classes: Sequence[RequestClassSettings] = (),
    ) -> None:
        """Holds at most `capacity` tunnels.

        `profiles` and `tenants` map names to indices. `client_timeouts` (by profile) and `connect_timeout`
        are in ns. Without `classes` repeated execution of requests is not checked.
        """
        self.context = context
        self.guard = RequestGuard(
            context.invariants, context.clock, classes, registry.entries, registry.backend_ids.names
        )
        self.clock = context.clock
        self.timers = context.timers
        self.policy_host = policy_host
        self.registry = registry
        self.observers = observers
        self.table: SlotTable[Tunnel] = SlotTable(capacity)
        self.ids = RequestIds(context.timers)  # of all tunnels, as given by the clients
        self.profiles = profiles
        self.tenants = tenants
        self.client_timeouts = client_timeouts
        self.connect_timeout = connect_timeout
        self.adoptions = Adoptions(context, self.table, registry, policy_host, self)
        self._counts: Counter[str] = Counter()
        # Clients that came here after losing a connection, minus those that lost theirs here. High while
        # another relay is down; near zero while a backend is down, as about as many come as leave.
        self.net_returned_clients = DecayingSum(RETURNED_CLIENTS_LIFETIME)

    def connect(self, backends: BackendConnector, message_timers: MessageTimers) -> None:
        """Sets the parts that are created with this object; call it before any request arrives."""
        self.backends = backends
        self.message_timers = message_timers

    def counts(self) -> str:
        """Returns the counters of request outcomes in one line, for the log."""
        return ", ".join(f"{self._counts[name]} {name}" for name in COUNTER_NAMES)

    # -- actions of the balancer -------------------------------------------------------------------

    def attempt(self, tunnel_id: int, backend_id: int, timeout: int) -> None:
        """Begins an attempt at a backend, to be answered within `timeout` ns.

        An attempt that would violate an invariant, or finds no free slot, is reported as not sent.
        """
        if not self.guard.may_attempt(
            self.table.get(tunnel_id).request, backend_id, backend_id in self.registry.ready
        ):
            self._report_not_sent(tunnel_id, backend_id)
            return
        self.begin_attempt(tunnel_id, backend_id, timeout, self.connect_timeout)
        self.observers.notify("set_up", tunnel_id, backend_id, timeout)

    def _report_not_sent(self, tunnel_id: int, backend_id: int) -> None:
        """Reports an attempt as not sent, after the balancer's current call has returned."""
        self.timers.after(0, self.setup_over, tunnel_id, backend_id, Outcome.NOT_SENT, 0, None, False)

    def begin_attempt(self, tunnel_id: int, backend_id: int, timeout: int, connect_timeout: int) -> None:
        """Begins an attempt that is allowed; without a free slot it is reported as not sent."""
        tunnel = self.table.get(tunnel_id)
        self.guard.record_attempt(tunnel.request, backend_id)
        try:
            tunnel.setup = self.backends.set_up(
                tunnel_id,
                backend_id,
                self.registry.addresses[backend_id],
                tunnel.open_request.line_for_backend,
                timeout,
                connect_timeout,
                self.guard.send_deadline(tunnel.request),
            )
        except NoFreeSlotError:
            self._report_not_sent(tunnel_id, backend_id)

    def reject(self, tunnel_id: int, retry_after: int) -> None:
        """Rejects a request; answers with an error if it may have run and must not be repeated."""
        tunnel = self.table.get(tunnel_id)
        if not self.guard.may_reject(tunnel.request):
            self.close_with_error(tunnel_id)
            return
        tunnel.client.reject(retry_after)
        self.context.rate_limited_log.warn("rejected", lambda: self.guard.describe(tunnel.request))
        self._finish_answered(tunnel_id, True)

    def close_with_error(self, tunnel_id: int) -> None:
        """Answers a request with an error."""
        tunnel = self.table.get(tunnel_id)
        tunnel.client.send_error()
        self.context.rate_limited_log.warn("failed", lambda: self.guard.describe(tunnel.request))
        self._finish_answered(tunnel_id, False)

    def move(self, tunnel_id: int) -> None:
        """Closes an open connection and asks its client to open it anew; no effect if it is not open."""
        tunnel = self.table.get(tunnel_id)
        if tunnel is None or tunnel.closed or not tunnel.is_open:
            return
        setup = tunnel.setup
        logger.debug("tunnel {}: moved off {}", tunnel_id, self.registry.backend_ids.names[setup.backend_id])
        self.net_returned_clients.add(self.clock(), -1)
        self._counts["moved"] += 1
        self._detach_attempt(tunnel)
        tunnel.request.attempt_ended(Outcome.CANCELLED)
        tunnel.client.send_move()
        setup.cancel()
        self.observers.notify("moved", tunnel_id, setup.backend_id)
        # The balancer is within the call that moves the connection and is told of its end afterwards.
        self.timers.after(0, self._finish_moved, tunnel_id, setup.backend_id, self.clock() - setup.began)

    # -- events of the frontend --------------------------------------------------------------------

    def request_arrived(self, client: ClientConnection, open_request: OpenRequest) -> int:
        """Takes a request and returns its tunnel id; -1 if it was answered at once."""
        try:
            profile = self.profiles[open_request.profile]
            tenant = None if open_request.tenant is None else self.tenants[open_request.tenant]
        except KeyError as why:
            client.protocol_error(f"unknown profile or tenant {why}")
            return -1
        if (
            open_request.previous_backend is None
            and open_request.client_timeout > MAX_TIMEOUT_FACTOR * self.client_timeouts[profile]
        ):
            client.protocol_error(
                f"{open_request.profile} does not allow a timeout of {open_request.client_timeout // MS} ms"
            )
            return -1
        if self.ids.is_taken(open_request.id):
            # Backends could not distinguish two requests of one id; the first one is served.
            client.protocol_error(f"request id {open_request.id[:40]} is in use")
            return -1
        tunnel = Tunnel(client, open_request, profile, tenant, self.clock())
        try:
            tunnel_id = self.table.allocate(tunnel)
        except NoFreeSlotError:
            self.context.rate_limited_log.warn("client", "no slot is left for a tunnel")
            client.reject(0)
            return -1
        self._counts["taken"] += 1
        self.observers.notify("arrived", tunnel_id, profile, open_request.returning)
        self.ids.take(
            open_request.id,
            open_request.client_timeout // CLAIM_TIME_DIVISOR or CLAIM_TIMEOUT,
            partial(self._id_claimed, tunnel_id),
        )
        return tunnel_id

    def _id_claimed(self, tunnel_id: int, result: ClaimResult) -> None:
        """Places a request whose id no other process has in use, or answers it."""
        tunnel = self.table.get(tunnel_id)
        if tunnel is None:
            return  # its client has left
        if result is ClaimResult.GRANTED:
            self._place(tunnel_id, tunnel)
        elif result is ClaimResult.IN_USE:
            tunnel.client.protocol_error(f"request id {tunnel.open_request.id[:40]} is in use")
        else:
            self.context.rate_limited_log.warn("client", "the next process does not answer for a request id")
            self.reject(tunnel_id, 0)

    def _place(self, tunnel_id: int, tunnel: Tunnel) -> None:
        """Passes a request to the policy, or to the adoptions if it was open before the run."""
        open_request = tunnel.open_request
        if open_request.previous_backend is not None:
            self.adoptions.start(tunnel_id)
            return
        tunnel.known_to_policy = True
        self.adoptions.new_request_arrived()
        if open_request.returning:
            self.net_returned_clients.add(self.clock(), 1)
        if not self.policy_host.call(
            self.policy_host.balancer.connection_requested,
            tunnel_id,
            tunnel.profile,
            tunnel.tenant,
            open_request.key,
            open_request.group,
            max(MS, self.client_time_left(tunnel_id)),
            open_request.load_hint,
            open_request.returning,
        ):
            self.fail_request(tunnel_id)

    def lines_from_client(self, tunnel_id: int, lines: list[bytes]) -> None:
        """Forwards lines to the backend and starts to wait for its response."""
        tunnel = self.table.get(tunnel_id)
        if tunnel is None or tunnel.closed:
            return
        tunnel.setup.send_lines(lines)
        tunnel.message_timer.line_sent()

    def client_closed(self, tunnel_id: int, abrupt: bool) -> None:
        """Ends a tunnel whose client has left; the backend's connection is reset if `abrupt`."""
        tunnel = self.table.get(tunnel_id)
        if tunnel is None or tunnel.closed:
            return
        setup, was_open = tunnel.setup, tunnel.is_open
        self._counts["left"] += 1
        self._detach_attempt(tunnel)
        if tunnel.known_to_policy and not was_open:
            self.policy_host.call(self.policy_host.balancer.client_gone, tunnel_id)
        if setup is not None:
            setup.cancel(abrupt)
            outcome = Outcome.CANCELLED if setup.written else Outcome.NOT_SENT
            tunnel.request.attempt_ended(outcome)
            if tunnel.known_to_policy:
                self.policy_host.call(
                    self.policy_host.balancer.attempt_ended,
                    tunnel_id,
                    setup.backend_id,
                    True,
                    outcome,
                    self.clock() - setup.began,
                    None,
                )
        self._release(tunnel_id)

    # -- events of attempts ------------------------------------------------------------------------

    def may_send(self, tunnel_id: int, backend_id: int) -> bool:
        """Returns whether the request may be written to the backend now.

        New requests need a backend that is ready, and that still discards them if they may have run.
        Connections that were open before only need one that operators have not taken offline.
        """
        tunnel = self.table.get(tunnel_id)
        return (
            tunnel is not None
            and backend_id not in self.registry.banned
            and (backend_id in self.registry.ready or not tunnel.known_to_policy)
            and self.guard.may_send(tunnel.request, backend_id)
        )

    def client_time_left(self, tunnel_id: int) -> int:
        """Returns how long the client still waits for its answer, in ns; below 0 if no longer."""
        tunnel = self.table.get(tunnel_id)
        return (
            -1
            if tunnel is None
            else tunnel.began + tunnel.open_request.client_timeout - ANSWER_DELIVERY_TIME - self.clock()
        )

    def client_has_left(self, tunnel_id: int) -> bool:
        """Returns whether the client has closed its connection, even if that was not read yet."""
        tunnel = self.table.get(tunnel_id)
        return tunnel is None or tunnel.client.peer_has_left()

    def setup_opened(self, tunnel_id: int, line: bytes, took: int) -> None:
        """Opens the tunnel: the backend accepted with `line`, `took` ns after the attempt began."""
        tunnel = self.table.get(tunnel_id)
        logger.debug(
            "tunnel {} at {}: open after {} ms",
            tunnel_id,
            self.registry.backend_ids.names[tunnel.setup.backend_id],
            took // MS,
        )
        tunnel.is_open = True
        self._counts["opened"] += 1
        self.guard.record_answer(tunnel.request, "UP")
        setup, client = tunnel.setup, tunnel.client
        tunnel.message_timer = MessageTimer(self.message_timers, tunnel_id, setup.backend_id)
        client.accept(line)
        # If one side reads slowly, reading from the other one pauses, so that no data piles up here.
        client.transport.registerProducer(setup.transport, True)
        setup.transport.registerProducer(client.transport, True)
        if tunnel.known_to_policy:
            self.policy_host.call(self.policy_host.balancer.connection_opened, tunnel_id, took)
        else:
            open_request = tunnel.open_request
            tunnel.known_to_policy = True
            self.policy_host.call(
                self.policy_host.balancer.connection_adopted,
                tunnel_id,
                tunnel.profile,
                tunnel.tenant,
                open_request.key,
                open_request.group,
                setup.backend_id,
                open_request.load_hint,
            )
        self.observers.notify("opened", tunnel_id, setup.backend_id, took)

    def backend_lines_received(self, tunnel_id: int, lines: list[bytes]) -> None:
        """Forwards lines to the client and reads the load in LOAD lines."""
        tunnel = self.table.get(tunnel_id)
        if tunnel is None or tunnel.closed:
            return
        tunnel.client.send_lines(lines)
        for line in lines:
            if not line.startswith(b"LOAD "):
                tunnel.message_timer.line_answered()
                continue
            try:
                load = parse_finite(line[5:].decode("ascii"))
            except ValueError:
                self.context.rate_limited_log.warn("backend", f"invalid load: {line[:80]!r}")
                continue
            self.policy_host.call(self.policy_host.balancer.load_changed, tunnel_id, load)

    def setup_over(
        self,
        tunnel_id: int,
        backend_id: int,
        outcome: Outcome,
        took: int,
        report: LoadReport | None,
        abrupt: bool,
    ) -> None:
        """Handles the end of an attempt, or of an open connection at its backend.

        `took` is in ns from the beginning of the attempt; `abrupt` tells that the connection was reset.
        """
        tunnel = self.table.get(tunnel_id)
        if tunnel is None:
            # The attempt found no free slot and its client has left since; the balancer still counts it.
            self.policy_host.call(
                self.policy_host.balancer.attempt_ended, tunnel_id, backend_id, True, outcome, took, report
            )
            return
        logger.debug(
            "tunnel {} at {}: {} after {} ms, open {}",
            tunnel_id,
            self.registry.backend_ids.names[backend_id],
            outcome.name,
            took // MS,
            tunnel.is_open,
        )
        was_open = tunnel.is_open
        tunnel.request.attempt_ended(outcome)
        self._detach_attempt(tunnel, over=was_open)
        self.observers.notify("setup_over", tunnel_id, backend_id, outcome, took, was_open)
        if was_open:
            if outcome is not Outcome.DONE:
                self.net_returned_clients.add(self.clock(), -1)
            if abrupt and outcome is Outcome.RESET:
                tunnel.client.abort()
            else:
                tunnel.client.finish()
        if not tunnel.known_to_policy:
            self.adoptions.attempt_failed(tunnel_id, outcome)
            return
        if not self.policy_host.call(
            self.policy_host.balancer.attempt_ended, tunnel_id, backend_id, was_open, outcome, took, report
        ):
            self.fail_request(tunnel_id)
        if was_open:
            self._release(tunnel_id)

    def backend_lines_malformed(self, tunnel_id: int) -> None:
        """Moves a connection whose backend sends lines that can't be forwarded."""
        self.move(tunnel_id)

    def silent(self, tunnel_id: int) -> None:
        """Reports to the balancer that lines of an open connection get no response."""
        tunnel = self.table.get(tunnel_id)
        self._counts["silent"] += 1
        logger.info("silent: {}", self.guard.describe(tunnel.request))
        self.policy_host.call(self.policy_host.balancer.connection_unresponsive, tunnel_id)

    # -- the end of a tunnel -----------------------------------------------------------------------

    def _finish_moved(self, tunnel_id: int, backend_id: int, took: int) -> None:
        self.policy_host.call(
            self.policy_host.balancer.attempt_ended,
            tunnel_id,
            backend_id,
            True,
            Outcome.CANCELLED,
            took,
            None,
        )
        self._release(tunnel_id)

    def _detach_attempt(self, tunnel: Tunnel, over: bool = True) -> None:
        """Drops the tunnel's attempt, and with `over` everything but its slot."""
        tunnel.setup = None
        tunnel.closed = tunnel.closed or over
        if over and tunnel.message_timer is not None:
            tunnel.message_timer.close()

    def _finish_answered(self, tunnel_id: int, rejected: bool) -> None:
        """Ends a tunnel whose final answer was sent.

        The balancer answers only while no attempt is in progress.
        """
        tunnel = self.table.get(tunnel_id)
        self._counts["rejected" if rejected else "failed"] += 1
        self.guard.record_answer(tunnel.request, REJECTED if rejected else "ERR")
        self._detach_attempt(tunnel)
        self.observers.notify("answered", tunnel_id, rejected, self.clock() - tunnel.began)
        self._release(tunnel_id)

    def fail_request(self, tunnel_id: int) -> None:
        """Answers a request with an error after a call to the balancer failed on it."""
        tunnel = self.table.get(tunnel_id)
        if tunnel is not None and not tunnel.closed:
            self.guard.record_answer(tunnel.request, "ERR")
            self.client_closed(tunnel_id, abrupt=False)
            tunnel.client.send_error()

    def fail_waiting_requests(self) -> None:
        """Answers all requests that have no attempt in progress and wait for the balancer only.

        Called after a call to the balancer failed, as it is unknown which requests it concerned.
        """
        for tunnel_id in self.table.handles():
            tunnel = self.table.get(tunnel_id)
            # Each answer notifies the balancer that the client is gone, and that may fail as well.
            if tunnel is not None and tunnel.known_to_policy and tunnel.setup is None:
                self.fail_request(tunnel_id)

    def close_all(self) -> None:
        """Answers each waiting request and moves each open connection, which would otherwise be cut off."""
        for tunnel_id in self.table.handles():
            tunnel = self.table.get(tunnel_id)
            # If a call to the balancer fails here, all waiting requests have been answered already.
            if tunnel is not None and tunnel.is_open:
                self.move(tunnel_id)
            elif tunnel is not None:
                self.fail_request(tunnel_id)

    def _release(self, tunnel_id: int) -> None:
        """Releases a tunnel's slot and its id; nothing else does."""
        tunnel = self.table.get(tunnel_id)
        self.observers.notify("ended", tunnel_id, self.clock() - tunnel.began)
        self.table.release(tunnel_id)
        self.ids.release(tunnel.open_request.id, self.guard.must_not_run_again(tunnel.request))
