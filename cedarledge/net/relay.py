"""Assembly of a relay from its parts, and its start, reconfiguration and end."""

from __future__ import annotations

import os
import resource
import signal
from collections.abc import Callable
from pathlib import Path
from tempfile import gettempdir
from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.internet.error import CannotListenError

from cedarledge.net import signals
from cedarledge.net.audit import Audit
from cedarledge.net.backend_registry import BackendRegistry
from cedarledge.net.backends import BackendConnector
from cedarledge.net.buffers import BufferPool
from cedarledge.net.clients import Listener
from cedarledge.net.config import BadConfigError, RelayConfig, TransientConfigError, read_config
from cedarledge.net.descriptor_budget import TooFewDescriptorsError, divide_descriptors
from cedarledge.net.discovery import Watch
from cedarledge.net.interfaces import Frontend, Observer
from cedarledge.net.invariants import Invariants
from cedarledge.net.line_connection import ConnectionContext
from cedarledge.net.lines import BUFFER_SIZE
from cedarledge.net.logs import log_to_stderr, redirect_twisted_log
from cedarledge.net.message_latency import LatencyReporter, MessageTimers
from cedarledge.net.observers import Observers
from cedarledge.net.policy_host import MakeBalancer, RelayPolicyHost
from cedarledge.net.probe_latency import ProbeLatencies
from cedarledge.net.rate_limited_log import RateLimitedLog
from cedarledge.net.reactor import install_reactor
from cedarledge.net.service import ServiceState
from cedarledge.net.slots import SlotTable
from cedarledge.net.timers import Timer, Timers, steady_clock
from cedarledge.net.tunnels import Tunnels
from cedarledge.policy import Balancer
from cedarledge.settings import US, ReportReader, deployment_settings
from cedarledge.terms import MS, SECOND, ListForm, LoadReport

if TYPE_CHECKING:
    from cedarledge.net.handover import Handover
    from cedarledge.operator.file import OperatorFile

# After SIGTERM the platform waits for the longest client timeout, at most for the first number, and a little
# longer before it kills a relay. The second number is how often the relay checks whether it can end.
MAX_STOP_TIME, STOP_CHECK_INTERVAL = 3 * SECOND, 100 * MS
# New connections still arrive for a while after SIGTERM: the relay stays for the stop time and the first
# number, but no longer than the second number.
NEW_CONNECTIONS_TIME, MAX_NEW_CONNECTIONS_TIME = 400 * MS, SECOND
# How much of the platform's extra time passes before everything is answered; how often new connections are
# answered from then on; the part of the stop time by which moves are delayed if more than the last number, a
# part of the tunnels, came recently from another relay.
EXTRA_STOP_TIME, FINAL_ANSWER_ROUNDS, MOVE_DELAY_SHARE, RETURNED_CLIENTS_SHARE = 300 * MS, 2, 0.65, 0.12
# Delay before a configuration that could not be read for want of a system resource is read again.
RELOAD_RETRY_DELAY = 100 * MS
ReadOperatorFile = Callable[[], "OperatorFile"]
StartFeatures = Callable[["Relay", RelayConfig, "OperatorFile"], None]


def _raise_descriptor_limit(sockets: int) -> int:
    """Raises the process's limit of descriptors to `sockets` if possible, and returns how many it may use."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < sockets <= hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, hard))
        soft = sockets
    return min(sockets, soft)


class Relay:
    """Creates the parts of a relay and connects them.

    It holds only state that belongs to no part.
    """

    def __init__(self, reactor: Any, config: RelayConfig, balancer: MakeBalancer = Balancer) -> None:
        """Creates a relay that does not listen yet. Raises BadConfigError if it can't use the settings."""
        settings = config.settings
        self.clock = steady_clock()
        self.timers = Timers(reactor, self.clock)
        try:
            self.descriptors = divide_descriptors(
                _raise_descriptor_limit(config.sockets), has_control=config.control is not None
            )
        except TooFewDescriptorsError as why:
            raise BadConfigError(str(why)) from why
        self.context = ConnectionContext(
            reactor,
            self.clock,
            self.timers,
            BufferPool(BUFFER_SIZE, self.descriptors.connections),
            SlotTable(self.descriptors.connections),
            RateLimitedLog(self.timers),
            Invariants(),
        )
        self.observers = Observers(self.clock, self.timers)
        self.policy_host = RelayPolicyHost(self.clock, self.timers)
        try:
            self.registry = BackendRegistry(self.policy_host, self.observers, settings)
            # Names may be numbers in the settings; in the protocol they are strings.
            self.profiles, tenants = (
                {str(row["name"]): place for place, row in enumerate(settings.get(kind) or ())}
                for kind in ("profiles", "tenants")
            )
            # Clients give their timeouts in whole milliseconds, so 1 ms is the minimum.
            client_timeouts = [
                max(MS, int(row["client_timeout"]) * US or MAX_STOP_TIME) for row in settings["profiles"]
            ]
            # Clients' lines come back at once however slow the backend's messages are, so they only reveal
            # backends that hang.
            deployment = deployment_settings(
                settings, config.seed, self.clock(), self.registry.zones
            )._replace(message_delays_known=False)
            allowed, reports = settings["allowed"], settings.get("load_report") or {}
            connect_timeout = int(allowed["connect_timeout"]) * US or MAX_STOP_TIME  # 0: no limit is set
            known = self.registry.load_initial(config.known["members"])
            self.watch = Watch(
                reactor,
                self.timers,
                config.discovery,
                int(config.known["revision"]),
                deployment.list_request_interval,
                not deployment.requests_list,
                self.policy_host.random,
                self.registry.update,
                self.registry.mark_unavailable,
                self.registry.discovery_answered,
            )
            self.tunnels = Tunnels(
                self.context,
                self.policy_host,
                self.registry,
                self.observers,
                self.descriptors.tunnels(len(known)),
                self.profiles,
                tenants,
                client_timeouts,
                connect_timeout,
                deployment.request_classes,
            )
            setup_goals = [row.setup_latency_target for row in deployment.request_classes]
            self.backends = BackendConnector(
                self.context,
                self.tunnels,
                self.probe_ended,
                ReportReader(settings),
                ProbeLatencies((deployment.shortest_message_latency_target or min(setup_goals)) // 5),
                connect_timeout,
                # A probe that takes longer than the shortest setup goal counts as failed.
                probe_timeout=min(setup_goals),
                idle_timeout=int(allowed.get("conn_idle") or 15_000_000) * US,
                probe_word=b"PING" if reports.get("how", "off") == "off" else b"STATS",
                probe_free=self.descriptors.probe_free,
            )
            self.stop_within = min(MAX_STOP_TIME, max(client_timeouts))
            tells = (settings.get("domain") or {}).get("tells_delay")
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as why:
            raise BadConfigError(f"the settings can't be used: {why!r}") from why
        slow = deployment.shortest_message_latency_target // 3 if tells else 0
        self.reported_delays, line_delays = (
            LatencyReporter(self.clock, slow, self.message_delayed) for _ in range(2)
        )
        self.tunnels.connect(
            self.backends, MessageTimers(self.clock, self.timers, line_delays, self.tunnels.silent)
        )
        self.policy_host.connect(self.tunnels, self.backends, self.registry, self.watch)
        listener = Listener(self.context, self.descriptors, self.tunnels)
        listener.reclaim_slots = self.backends.reclaim_slots
        self.frontend: Frontend = listener
        self.service = ServiceState(
            self.timers, self.policy_host, self.registry, self.tunnels, self.backends, self.frontend
        )
        self.audit = Audit(self.timers, self.tunnels, self.context.invariants)
        self.handover: Handover | None = None
        self.ended = False
        self._reload_retry: Timer | None = None
        self.permanent_observers: list[Observer] = []
        self.policy_host.start(deployment, balancer)
        self.registry.apply_list(ListForm.RESTORED, config.known["members"])
        if not deployment.requests_list:
            # If the list is pushed, the balancer leaves it to its host to start following it.
            self.watch.start()

    def open(self, config: RelayConfig) -> None:
        """Takes over from a predecessor process, if there is one, and starts to listen.

        Raises CannotListenError.
        """
        if config.inherited is not None:
            from cedarledge.net.handover import Handover

            folder = Path(os.environ.get("TMPDIR") or gettempdir())
            self.handover = Handover(
                self.context,
                folder,
                config.name,
                self.service,
                self.registry,
                self.tunnels,
                self.frontend,
                self.watch,
            )
        if config.control is not None:
            from cedarledge.net.control import Control

            Control(self.context, self.descriptors, self.service, self.handover).open(config.control)
        if self.handover is not None:
            self.handover.take_over()
        self.frontend.open(config.listen, config.inherited)
        self.audit.start()
        self.service.listening = True
        if self.handover is not None:
            self.handover.listen()

    # -- information about backends that does not belong to a tunnel -------------------------------

    def message_delayed(self, backend_id: int, delay: int) -> None:
        """Reports to the balancer how long (ns) a message takes at a backend."""
        logger.debug("a message takes {} ms at {}", delay // MS, self.registry.backend_ids.names[backend_id])
        self.policy_host.call(self.policy_host.balancer.message_delay_changed, backend_id, delay)

    def probe_ended(self, backend_id: int, answered: bool, report: LoadReport) -> None:
        """Reports the end of a probe to the balancer and the observers."""
        logger.debug("probe of {}: {}, {}", self.registry.backend_ids.names[backend_id], answered, report)
        if report.service_time is not None:
            # Clients' lines do not show how long messages take; the backend's own report does.
            self.reported_delays.record(backend_id, int(report.service_time))
        self.policy_host.call(self.policy_host.balancer.probe_ended, backend_id, answered, report)
        self.observers.notify("probed", backend_id, answered, report)

    def add_observer(self, observer: Observer) -> None:
        """Adds an observer that stays when the operator file is read again."""
        self.permanent_observers.append(observer)
        self.observers.add(observer)

    # -- reconfiguration ---------------------------------------------------------------------------

    def reload(self, read_operator_file: ReadOperatorFile | None = None) -> None:
        """Reads the configuration again, on SIGHUP.

        Only the address of discovery and the operator file can change while connections are open; everything
        else needs a restart. A file that can't be used changes nothing, and the reason is logged.
        """
        self.timers.cancel(self._reload_retry)
        try:
            config = read_config(os.environ)
            wanted = read_operator_file() if read_operator_file is not None else None
        except TransientConfigError as why:
            # Changes of the list at the new address must be known within seconds, even if this machine lacks
            # resources now.
            self.context.rate_limited_log.warn("configuration", f"tried again: {why}")
            self._reload_retry = self.timers.after(RELOAD_RETRY_DELAY, self.reload, read_operator_file)
            return
        except BadConfigError as why:
            logger.error("the new configuration can't be used, the old one stays: {}", why)
            return
        logger.info("configuration read again: discovery at {}:{}", *config.discovery)
        self.watch.set_address(config.discovery)
        if wanted is not None:
            self.apply_operator_file(wanted)

    def apply_operator_file(self, wanted: OperatorFile) -> None:
        """Applies the operator file, at the start and on SIGHUP."""
        log_to_stderr(wanted.log.level, wanted.log.form, wanted.log.waiting_kb << 10)
        self.observers.clear()
        for observer in self.permanent_observers:
            self.observers.add(observer)
        self.observers.time_limit = int(wanted.hearers.most_share * SECOND)
        self.observers.exclusion = int(wanted.hearers.left_out_s * SECOND)
        if wanted.log.events:
            from cedarledge.net.eventlog import EventLog

            self.observers.add(
                EventLog(wanted.log.events, list(self.profiles), self.registry.backend_ids.names)
            )
        self.registry.set_excluded(wanted.boxes.aside)

    # -- the end ---------------------------------------------------------------------------------

    def stop(self) -> None:
        """Ends the relay, on SIGTERM: the platform will kill it soon."""
        if self.service.stopping:
            return
        self.service.stopping = True
        held = self.tunnels.table.used
        logger.info("stops within {} ms: {} tunnels", self.stop_within // MS, held)
        # Relays are restarted one after the other. If the clients of another relay have just come here, that
        # relay is not back yet. Clients moved now would find neither relay and then all return at once, so
        # they stay for as long as possible.
        wait, within = 0, self.stop_within * 2 // 3
        # If clients wait for only a few hundred ms, this process is killed before a second is over.
        new_connections_time = (
            0
            if self.service.replaced
            else min(MAX_NEW_CONNECTIONS_TIME, NEW_CONNECTIONS_TIME + self.stop_within)
        )
        if (
            not self.service.replaced
            and self.tunnels.net_returned_clients.read(self.clock()) > RETURNED_CLIENTS_SHARE * held
        ):
            wait = int(MOVE_DELAY_SHARE * self.stop_within)
            within = self.stop_within + EXTRA_STOP_TIME - wait
        self.timers.after(wait, self.policy_host.call, self.policy_host.balancer.drain_started, within)
        # Received data is read first: after a pause of this process there may be connections to accept and
        # lines to read, which the end of the process would reset without an answer.
        self.timers.after_pending_reads(
            STOP_CHECK_INTERVAL, self._end_if_empty, self.clock() + new_connections_time
        )
        self.timers.after_pending_reads(
            self.stop_within + EXTRA_STOP_TIME, self._answer_all, FINAL_ANSWER_ROUNDS
        )

    def _end_if_empty(self, earliest: int) -> None:
        if self.context.connections.used > len(self.backends.probes) or self.clock() < earliest:
            self.timers.after_pending_reads(STOP_CHECK_INTERVAL, self._end_if_empty, earliest)
        else:
            self._end()

    def _answer_all(self, rounds: int) -> None:
        """Answers all connections, including new ones, several times, then ends the process.

        Otherwise they would be cut off. Peers that keep an answered connection open, or many connections
        without a complete request, must not delay the end until the platform kills this process.
        """
        if not rounds:
            self._end()
            return
        self.tunnels.close_all()
        self.frontend.turn_away()
        self.timers.after(STOP_CHECK_INTERVAL, self._answer_all, rounds - 1)

    def _end(self) -> None:
        if self.ended:
            return
        self.ended = True
        logger.info("ends, {} connections open", self.context.connections.used - len(self.backends.probes))
        self.audit.final_check()
        self.watch.stop()
        if self.handover is not None:
            self.handover.detach()
        self.context.reactor.stop()


def run(
    config: RelayConfig,
    read_operator_file: ReadOperatorFile | None = None,
    balancer: MakeBalancer = Balancer,
    start_features: StartFeatures | None = None,
) -> int:
    """Runs a relay until it is told to end, and returns its exit code.

    `start_features` starts what the operator file enables. Raises BadConfigError.
    """
    signals.block()
    wanted = read_operator_file() if read_operator_file is not None else None
    log_to_stderr("info")
    redirect_twisted_log()
    reactor = install_reactor()
    relay = Relay(reactor, config, balancer)
    if wanted is not None:
        relay.apply_operator_file(wanted)
    if signals.termination_pending():
        logger.info("terminated before it started to serve")
        return 0
    try:
        relay.open(config)
    except CannotListenError as why:
        raise BadConfigError(str(why)) from why
    logger.info(
        "{} listens, {} backends known, room for {} tunnels",
        config.name,
        len(relay.registry.ready),
        relay.tunnels.table.capacity,
    )
    if start_features is not None and wanted is not None:
        start_features(relay, config, wanted)
    # Installed once the reactor runs: Twisted's own SIGTERM handler, installed as it starts, would stop the
    # reactor and drop every connection.
    reactor.callWhenRunning(
        signals.install_handlers,
        {signal.SIGHUP: lambda: relay.reload(read_operator_file), signal.SIGTERM: relay.stop},
        reactor.callFromThread,
    )
    reactor.run()
    signals.block()
    return 0
