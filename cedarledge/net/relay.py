"""One running relay, put together from its parts; its start, its new configurations, its end."""

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
from cedarledge.net.clients import RESERVED_SLOTS, Listener
from cedarledge.net.config import BadConfigError, RelayConfig, TransientConfigError, read_config
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

# Descriptors for what is no line connection: standard streams, the listener, discovery, the reactor's own.
OWN_FILES = 24
# More for the operators' frontend, where there is one: its callers, those about to leave, its listener.
CONTROL_FILES = 28
# The platform kills a relay no sooner than the longest client timeout, this at most, and a little more after
# SIGTERM; new connections go on coming for a while.
LONGEST_STOP, STOP_LOOK = 3 * SECOND, 100 * MS
NEWCOMERS_FOR, NEWCOMERS_MOST = 400 * MS, SECOND
# How much of that little more is used until all are answered, and how often newcomers are before the end;
# after what part of the time moves that are put off begin, and the part of the tunnels that must have come
# from another relay of late for that.
KILL_LATER, LAST_LOOKS, LATE, REFUGEES = 300 * MS, 2, 0.65, 0.12
# How soon a new configuration is read again that this machine could not read.
RELOAD_AGAIN = 100 * MS
ReadOperatorFile = Callable[[], "OperatorFile"]
Joins = Callable[["Relay", RelayConfig, "OperatorFile"], None]


def _may_hold(sockets: int) -> int:
    """How many descriptors the process may hold: as many as it was told, if the system lets it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < sockets <= hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, hard))
        soft = sockets
    return min(sockets, soft)


class Relay:
    """The assembly: makes every part, tells each of those it works with, and owns nothing that a part could
    own."""

    def __init__(self, reactor: Any, config: RelayConfig, balancer: MakeBalancer = Balancer) -> None:
        settings = config.settings
        self.clock = steady_clock()
        self.timers = Timers(reactor, self.clock)
        files = _may_hold(config.sockets)
        most = files - OWN_FILES - (CONTROL_FILES if config.control else 0)
        if most < 2 * RESERVED_SLOTS:
            raise BadConfigError(f"{files} descriptors are too few")
        self.context = ConnectionContext(
            reactor,
            self.clock,
            self.timers,
            BufferPool(BUFFER_SIZE, most),
            SlotTable(most),
            RateLimitedLog(self.timers),
            Invariants(),
        )
        self.observers = Observers(self.clock, self.timers)
        self.policy_host = RelayPolicyHost(self.clock, self.timers)
        try:
            self.registry = BackendRegistry(self.policy_host, self.observers, settings)
            # Names may be numbers there; on the wire they are words.
            self.profiles, tenants = (
                {str(row["name"]): place for place, row in enumerate(settings.get(kind) or ())}
                for kind in ("profiles", "tenants")
            )
            # Clients say whole milliseconds.
            waits = [max(MS, int(row["client_timeout"]) * US or LONGEST_STOP) for row in settings["profiles"]]
            # Clients' lines come back at once however slow the backend's messages are; they show hangs alone.
            facts = deployment_settings(settings, config.seed, self.clock(), self.registry.zones)._replace(
                message_delays_known=False
            )
            allowed, reports = settings["allowed"], settings.get("load_report") or {}
            connect_within = int(allowed["connect_timeout"]) * US or LONGEST_STOP  # 0: no limit is told
            known = self.registry.load_initial(config.known["members"])
            self.watch = Watch(
                reactor,
                self.timers,
                config.discovery,
                int(config.known["revision"]),
                facts.list_request_interval,
                not facts.requests_list,
                self.policy_host.random,
                self.registry.update,
                self.registry.mark_unavailable,
                self.registry.start_times.mark_list_current,
            )
            self.tunnels = Tunnels(
                self.context,
                self.policy_host,
                self.registry,
                self.observers,
                (most - RESERVED_SLOTS - min(len(known), RESERVED_SLOTS)) // 2,
                self.profiles,
                tenants,
                waits,
                connect_within,
                facts.request_classes,
            )
            goals = [row.setup_latency_target for row in facts.request_classes]
            self.backends = BackendConnector(
                self.context,
                self.tunnels,
                self.probe_ended,
                ReportReader(settings),
                ProbeLatencies((facts.shortest_message_latency_target or min(goals)) // 5),
                connect_within,
                # A probe that takes longer than the tightest setup may tells nothing good of its backend.
                probe_timeout=min(goals),
                idle_timeout=int(allowed.get("conn_idle") or 15_000_000) * US,
                probe_word=b"PING" if reports.get("how", "off") == "off" else b"STATS",
            )
            self.stop_within = min(LONGEST_STOP, max(waits))
            tells = (settings.get("domain") or {}).get("tells_delay")
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as why:
            raise BadConfigError(f"the settings can't be used: {why!r}") from why
        slow = facts.shortest_message_latency_target // 3 if tells else 0
        self.reported, in_lines = (LatencyReporter(self.clock, slow, self.message_delayed) for _ in range(2))
        self.tunnels.connect(
            self.backends, MessageTimers(self.clock, self.timers, in_lines, self.tunnels.silent)
        )
        self.policy_host.connect(self.tunnels, self.backends, self.registry, self.watch)
        self.frontend: Frontend = Listener(self.context, self.tunnels)
        self.service = ServiceState(
            self.timers, self.policy_host, self.registry, self.tunnels, self.backends, self.frontend
        )
        self.audit = Audit(self.timers, self.tunnels, self.context.invariants)
        self.handover: Handover | None = None
        self.ended = False
        self._reload_again: Timer | None = None
        self.listeners: list[Observer] = []
        self.policy_host.start(facts, balancer)
        self.registry.apply_list(ListForm.RESTORED, config.known["members"])
        if not facts.requests_list:
            # Where the module is told of changes unasked, it leaves the asking to its host.
            self.watch.start()

    def open(self, config: RelayConfig) -> None:
        """Raises CannotListenError."""
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

            Control(self.context, self.service, self.handover).open(config.control)
        if self.handover is not None:
            self.handover.take_over()
        self.frontend.open(config.listen, config.inherited)
        self.audit.start()
        self.service.listening = True
        if self.handover is not None:
            self.handover.listen()

    # -- what is heard of backends beside their tunnels --------------------------------------------

    def message_delayed(self, backend_id: int, delay: int) -> None:
        logger.debug("a message takes {} ms at {}", delay // MS, self.registry.backend_ids.names[backend_id])
        self.policy_host.call(self.policy_host.balancer.message_delay_changed, backend_id, delay)

    def probe_ended(self, backend_id: int, answered: bool, report: LoadReport) -> None:
        logger.debug("probe of {}: {}, {}", self.registry.backend_ids.names[backend_id], answered, report)
        if report.service_time is not None:
            # The clients' lines don't tell how long messages take; what a backend says of itself does.
            self.reported.record(backend_id, int(report.service_time))
        self.policy_host.call(self.policy_host.balancer.probe_ended, backend_id, answered, report)
        self.observers.notify("probed", backend_id, answered, report)

    def add_observer(self, hearer: Observer) -> None:
        """Adds a hearer that stays whatever the operator's file says later."""
        self.listeners.append(hearer)
        self.observers.add(hearer)

    # -- a new configuration -----------------------------------------------------------------------

    def reload(self, read_operator_file: ReadOperatorFile | None = None) -> None:
        """SIGHUP: what can change while connections are held is where the list is, and the operator's file.
        All else takes a restart, and a file that can't be used changes nothing: the operator sees why, the
        clients nothing."""
        self.timers.cancel(self._reload_again)
        try:
            config = read_config(os.environ)
            wanted = read_operator_file() if read_operator_file is not None else None
        except TransientConfigError as why:
            # A change told at the new place counts within seconds, whatever this machine lacks.
            self.context.rate_limited_log.warn("configuration", f"tried again: {why}")
            self._reload_again = self.timers.after(RELOAD_AGAIN, self.reload, read_operator_file)
            return
        except BadConfigError as why:
            logger.error("the new configuration can't be used, the old one stays: {}", why)
            return
        logger.info("configuration read again: discovery at {}:{}", *config.discovery)
        self.watch.set_address(config.discovery)
        if wanted is not None:
            self.apply_operator_file(wanted)

    def apply_operator_file(self, wanted: OperatorFile) -> None:
        """The operator's file takes effect, at the start and on SIGHUP."""
        log_to_stderr(wanted.log.level, wanted.log.form, wanted.log.waiting_kb << 10)
        self.observers.clear()
        for hearer in self.listeners:
            self.observers.add(hearer)
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
        """The platform wants this relay to end, and will kill it."""
        if self.service.stopping:
            return
        self.service.stopping = True
        held = self.tunnels.table.used
        logger.info("stops within {} ms: {} tunnels", self.stop_within // MS, held)
        # Relays are restarted one after the other. Where another's clients have just come here it is not back
        # yet, and who is moved now finds nobody, then all come at once: they stay for as long as they can.
        wait, within = 0, self.stop_within * 2 // 3
        # Where clients wait for a few hundred ms this process is killed before a second is over.
        newcomers_for = 0 if self.service.replaced else min(NEWCOMERS_MOST, NEWCOMERS_FOR + self.stop_within)
        if (
            not self.service.replaced
            and self.tunnels.net_returned_clients.read(self.clock()) > REFUGEES * held
        ):
            wait = int(LATE * self.stop_within)
            within = self.stop_within + KILL_LATER - wait
        self.timers.after(wait, self.policy_host.call, self.policy_host.balancer.drain_started, within)
        # Where this process was paused, connections that came meanwhile wait to be accepted, and lines to be
        # read: looked at first, as the end would reset them without an answer.
        self.timers.after_pending_reads(STOP_LOOK, self._end_if_empty, self.clock() + newcomers_for)
        self.timers.after_pending_reads(self.stop_within + KILL_LATER, self._answer_all, LAST_LOOKS)

    def _end_if_empty(self, earliest: int) -> None:
        if self.context.connections.used > len(self.backends.probes) or self.clock() < earliest:
            self.timers.after_pending_reads(STOP_LOOK, self._end_if_empty, earliest)
        else:
            self._end()

    def _answer_all(self, looks: int) -> None:
        """What is still held now would be cut off; newcomers likewise. Peers that have had their last word
        and do not end their side, or a crowd that says nothing whole, must not hold the end up until the
        platform kills this process."""
        if not looks:
            self._end()
            return
        self.tunnels.close_all()
        self.frontend.turn_away()
        self.timers.after(STOP_LOOK, self._answer_all, looks - 1)

    def _end(self) -> None:
        if self.ended:
            return
        self.ended = True
        logger.info("ends, {} connections held", self.context.connections.used - len(self.backends.probes))
        self.audit.final_check()
        self.watch.stop()
        if self.handover is not None:
            self.handover.detach()
        self.context.reactor.stop()


def run(
    config: RelayConfig,
    read_operator_file: ReadOperatorFile | None = None,
    balancer: MakeBalancer = Balancer,
    joins: Joins | None = None,
) -> int:
    """Runs one relay until it is told to end, and gives its exit code. `joins` adds what the operator's file
    has on. Raises BadConfigError."""
    signals.block()
    wanted = read_operator_file() if read_operator_file is not None else None
    log_to_stderr("info")
    redirect_twisted_log()
    reactor = install_reactor()
    relay = Relay(reactor, config, balancer)
    if wanted is not None:
        relay.apply_operator_file(wanted)
    if signals.termination_pending():
        logger.info("told to end before it served")
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
    if joins is not None and wanted is not None:
        joins(relay, config, wanted)
    # Twisted's own handler for SIGTERM, made as it starts, would end the reactor with every connection.
    reactor.callWhenRunning(
        signals.install_handlers,
        {signal.SIGHUP: lambda: relay.reload(read_operator_file), signal.SIGTERM: relay.stop},
        reactor.callFromThread,
    )
    reactor.run()
    signals.block()
    return 0
