"""One relay: the decision module's host, the table of tunnels, and who owns what."""

from __future__ import annotations

import os
import resource
import signal
import sys
from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.error import CannotListenError
from twisted.logger import LogLevel, formatEvent, globalLogBeginner

from cedarledge.choice import Balancer, Fading
from cedarledge.net.backends import Backends, SetupLink
from cedarledge.net.buffers import Pool
from cedarledge.net.clients import SPARE_LINKS, ClientLink, Listener, Opening
from cedarledge.net.complaints import Complaints
from cedarledge.net.config import Address, BadConfigError, StartingOrders, address_of, read_orders
from cedarledge.net.deadlines import Deadlines, steady_clock
from cedarledge.net.discovery import Watch
from cedarledge.net.echoes import Delays, Echo, Echoes
from cedarledge.net.lines import BUFFER_SIZE, figure
from cedarledge.net.links import Means
from cedarledge.net.paces import Paces
from cedarledge.net.slots import FullError, Slots
from cedarledge.terms import MS, SECOND, Listed, ListForm, LoadReport, Outcome, Standing
from cedarledge.words import US, Indices, ReportReader, mark_of, site_facts

PHASES = {"up": Standing.READY, "draining": Standing.DRAINING, "removed": Standing.GONE}
# Descriptors for what is no line connection: standard streams, the listener, discovery, the reactor's own.
OWN_FILES = 24
# A client that would wait for so many times its profile's client timeout is none of ours.
LONGER = 2
# The way back of an answer is part of the client's wait.
WAY_BACK = 5 * MS
# Connections that were open before the run must be up again within 40 s of its start.
ADOPT_WITHIN, ADOPT_CONNECT_WITHIN, ADOPT_AGAIN = 38 * SECOND, 4 * SECOND, 250 * MS
UNKNOWN_FOR = 2 * SECOND
# The platform kills a relay no sooner than the longest client timeout, this at most, and a little more after
# SIGTERM; new connections go on coming for a while.
LONGEST_STOP, NEWCOMERS_FOR, STOP_LOOK = 3 * SECOND, SECOND, 100 * MS
# How much of that little more is used, after what part of the time moves that are put off begin, and the part
# of the tunnels that must have come from another relay of late for that, by a sum that fades within seconds.
KILL_LATER, LATE, REFUGEES, LATELY = 300 * MS, 0.65, 0.12, 4 * SECOND


def _may_hold(sockets: int) -> int:
    """How many descriptors the process may hold: as many as it was told, if the system lets it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < sockets <= hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, hard))
        soft = sockets
    return min(sockets, soft)


class Tunnel:
    """A client's request and what it holds; its slot is given back in Relay._free."""

    __slots__ = ("began", "client", "echo", "known", "opening", "over", "profile", "setup", "tenant", "up")

    def __init__(self, client: ClientLink, opening: Opening, profile: int, tenant: int | None,
                 began: int) -> None:
        self.client = client
        self.opening = opening
        self.profile = profile
        self.tenant = tenant
        self.began = began
        self.setup: SetupLink | None = None
        self.echo: Echo | None = None
        self.known = False  # to the decision module
        self.up = self.over = False


class Relay:
    def __init__(self, reactor: Any, orders: StartingOrders) -> None:
        settings = orders.settings
        self.clock = steady_clock()
        self.deadlines = Deadlines(reactor, self.clock)
        files = _may_hold(orders.sockets)
        most = files - OWN_FILES
        if most < 2 * SPARE_LINKS:
            raise BadConfigError(f"{files} descriptors are too few")
        self.means = Means(reactor, self.clock, self.deadlines, Pool(BUFFER_SIZE, most), Slots(most),
                           Complaints(self.deadlines))
        self.ids: set[str] = set()  # of all tunnels here, as their clients named them
        self.eps = Indices()
        self.addresses: dict[int, Address] = {}
        self.ready: set[int] = set()
        self.stopping = self.heard = self.begun = False
        # Clients that came back here less those that were sent away from here: more come than go while
        # another relay is down, and about as many where a backend is.
        self.refugees = Fading(LATELY)
        try:
            self.zones = Indices(settings.get("dcs"))
            self.kinds = Indices(settings.get("host_types"))
            self.profiles = {row["name"]: place for place, row in enumerate(settings.get("profiles") or ())}
            self.tenants = {row["name"]: place for place, row in enumerate(settings.get("tenants") or ())}
            self.waits = [int(row["client_timeout"]) * US for row in settings["profiles"]]
            # Clients' lines come back at once however slow the backend's messages are; they show hangs alone.
            self.facts = site_facts(settings, orders.seed, self.clock(), self.zones)._replace(
                delays_told=False)
            allowed = settings["allowed"]
            self.connect_within = int(allowed["connect_timeout"]) * US
            known = [self._listed(entry) for entry in orders.known["members"]]
            self.watching = Watch(reactor, self.deadlines, orders.discovery, int(orders.known["revision"]),
                                  self.facts.ask_every, self.list_told, self.list_lost)
            goals = [row.setup_goal for row in self.facts.profiles]
            self.backends = Backends(
                self.means, self, ReportReader(settings), Paces((self.facts.tightest or min(goals)) // 5),
                self.connect_within,
                # A probe that takes longer than the tightest setup may tells nothing good of its backend.
                probe_within=min(goals), idle_within=int(allowed.get("conn_idle") or 15_000_000) * US,
                probe_word=b"PING" if settings["load_report"]["how"] == "off" else b"STATS")
            self.stop_within = min(LONGEST_STOP, max(self.waits))
            tells = (settings.get("domain") or {}).get("tells_delay")
        except (KeyError, TypeError, ValueError, AttributeError) as why:
            raise BadConfigError(f"the settings can't be used: {why!r}") from why
        self.tunnels: Slots[Tunnel] = Slots((most - SPARE_LINKS - min(len(known), SPARE_LINKS)) // 2)
        slow = self.facts.tightest // 3 if tells else 0
        self.reported, in_lines = (Delays(self.clock, slow, self.delay_told) for _ in range(2))
        self.echoes = Echoes(self.clock, self.deadlines, in_lines, self.silent)
        self.listener = Listener(self.means, self)
        self.balancer = Balancer(self, self.facts)
        self._list_changed(ListForm.RESTORED, known)
        # Where the module is told of changes unasked, it leaves the asking to its host.
        self.watching.start()

    def _tell(self, method: Callable[..., None], *args: Any) -> bool:
        """Calls the module. A fault there costs one event, not the connections that this relay holds."""
        try:
            method(self.clock(), *args)
        except Exception:
            logger.exception("the decision module failed")
            return False
        return True

    # -- the host interface ----------------------------------------------------------------------

    def send(self, tun: int, ep: int, timeout: int) -> None:
        self._set_up(tun, ep, timeout, self.connect_within)

    def _set_up(self, tun: int, ep: int, timeout: int, connect_within: int) -> None:
        tunnel = self.tunnels.get(tun)
        try:
            tunnel.setup = self.backends.set_up(tun, ep, self.addresses[ep], tunnel.opening.head, timeout,
                                                connect_within)
        except FullError:
            self.deadlines.after(0, self.setup_over, tun, ep, Outcome.NOT_SENT, 0, None, False)

    def decline(self, tun: int, come_back: int) -> None:
        self.tunnels.get(tun).client.decline(come_back)
        self._answered(tun)

    def close_with_error(self, tun: int) -> None:
        self.tunnels.get(tun).client.fail()
        self._answered(tun)

    def move(self, tun: int) -> None:
        tunnel = self.tunnels.get(tun)
        if tunnel is None or tunnel.over or not tunnel.up:
            return
        setup = tunnel.setup
        logger.debug("tunnel {} is moved off {}", tun, self.eps.names[setup.ep])
        self.refugees.add(self.clock(), -1)
        self._part(tunnel)
        tunnel.client.move()
        setup.call_off()
        # The module is in the midst of moving, so it hears of the end afterwards.
        self.deadlines.after(0, self._moved, tun, setup.ep, self.clock() - setup.began)

    def probe(self, ep: int) -> None:
        self.backends.probe(ep, self.addresses[ep])

    def wake(self, delay: int, token: int) -> None:
        self.deadlines.after(delay, self._woke, token)

    def watch(self) -> None:
        self.watching.start()

    def log(self, text: str) -> None:
        logger.info("{}", text)

    # -- a tunnel's life -------------------------------------------------------------------------

    def arrived(self, client: ClientLink, opening: Opening) -> int:
        try:
            profile = self.profiles[opening.profile]
            tenant = None if opening.tenant is None else self.tenants[opening.tenant]
        except KeyError as why:
            client.bad_input(f"nothing is called {why}")
            return -1
        if opening.at is None and opening.wait > LONGER * self.waits[profile]:
            client.bad_input(f"{opening.profile} does not wait for {opening.wait // MS} ms")
            return -1
        if opening.id in self.ids:
            # Two of one id would be told apart by nobody behind this relay, and the first is the one served.
            client.bad_input(f"{opening.id[:40]} is open already")
            return -1
        tunnel = Tunnel(client, opening, profile, tenant, self.clock())
        try:
            tun = self.tunnels.take(tunnel)
        except FullError:
            self.means.complaints.about("client", "no slot is left for a tunnel")
            client.decline(0)
            return -1
        self.ids.add(opening.id)
        if opening.at is not None:
            self._adopt(tun)
            return tun
        tunnel.known = self.begun = True
        if opening.returning:
            self.refugees.add(self.clock(), 1)
        if not self._tell(self.balancer.tunnel_arrived, tun, profile, tenant, opening.key, opening.group,
                          max(MS, opening.wait - WAY_BACK), opening.hint, opening.returning):
            self._abandon(tun)
        return tun

    def _adopt(self, tun: int) -> None:
        """Brings up a connection that was open before, at its own backend and no other."""
        tunnel = self.tunnels.get(tun)
        if tunnel is None or tunnel.over:
            return
        age = self.clock() - tunnel.began
        ep = self.eps.get(tunnel.opening.at)
        if age >= ADOPT_WITHIN:
            self.close_with_error(tun)
        elif ep in self.addresses:
            self._set_up(tun, ep, ADOPT_WITHIN - age, ADOPT_CONNECT_WITHIN)
        elif self.heard or age > UNKNOWN_FOR:
            # Nobody has such a backend. It may only be new since this relay's list was made.
            self.close_with_error(tun)
        else:
            self.deadlines.after(ADOPT_AGAIN, self._adopt, tun)

    def setup_up(self, tun: int, line: bytes, took: int) -> None:
        tunnel = self.tunnels.get(tun)
        logger.debug("tunnel {} at {}: up after {} ms", tun, self.eps.names[tunnel.setup.ep], took // MS)
        tunnel.up = True
        setup, client = tunnel.setup, tunnel.client
        tunnel.echo = Echo(self.echoes, tun, setup.ep)
        client.opened(line)
        # A side that reads slowly holds up the other one's reading, not this relay's memory.
        client.transport.registerProducer(setup.transport, True)
        setup.transport.registerProducer(client.transport, True)
        if tunnel.known:
            self._tell(self.balancer.opened, tun, took)
            return
        opening = tunnel.opening
        tunnel.known = True
        self._tell(self.balancer.adopted, tun, tunnel.profile, tunnel.tenant, opening.key, opening.group,
                   setup.ep, opening.hint)

    def lines_on(self, tun: int, lines: list[bytes]) -> None:
        tunnel = self.tunnels.get(tun)
        if tunnel is None or tunnel.over:
            return
        tunnel.setup.send_lines(lines)
        tunnel.echo.asked()

    def lines_back(self, tun: int, lines: list[bytes]) -> None:
        tunnel = self.tunnels.get(tun)
        if tunnel is None or tunnel.over:
            return
        tunnel.client.send_lines(lines)
        for line in lines:
            if not line.startswith(b"LOAD "):
                tunnel.echo.answered()
                continue
            try:
                load = figure(line[5:].decode("ascii"))
            except ValueError:
                self.means.complaints.about("backend", f"no load: {line[:80]!r}")
                continue
            self._tell(self.balancer.load_told, tun, load)

    def setup_over(self, tun: int, ep: int, outcome: Outcome, took: int, report: LoadReport | None,
                   abrupt: bool) -> None:
        tunnel = self.tunnels.get(tun)
        if tunnel is None:
            return
        logger.debug("tunnel {} at {}: {} after {} ms, up {}", tun, self.eps.names[ep], outcome.name,
                     took // MS, tunnel.up)
        was_open = tunnel.up
        self._part(tunnel, over=was_open)
        if was_open:
            if outcome is not Outcome.DONE:
                self.refugees.add(self.clock(), -1)
            if abrupt and outcome is Outcome.RESET:
                tunnel.client.abort()
            else:
                tunnel.client.finish()
        if not tunnel.known:
            # Where others have come already the run has begun, which it does not while one of these waits:
            # only a stranger asks now, and is not to hold a slot and press a backend for as long.
            if outcome in (Outcome.CONNECT_FAILED, Outcome.FULL, Outcome.NOT_SENT) and not self.begun:
                self.deadlines.after(ADOPT_AGAIN, self._adopt, tun)
            else:
                self.close_with_error(tun)
            return
        if not self._tell(self.balancer.setup_ended, tun, ep, was_open, outcome, took, report):
            self._abandon(tun)
        if was_open:
            self._free(tun)

    def client_ended(self, tun: int, abrupt: bool) -> None:
        tunnel = self.tunnels.get(tun)
        if tunnel is None or tunnel.over:
            return
        setup, was_up = tunnel.setup, tunnel.up
        self._part(tunnel)
        if tunnel.known and not was_up:
            self._tell(self.balancer.client_gone, tun)
        if setup is not None:
            setup.call_off(abrupt)
            if tunnel.known:
                outcome = Outcome.CANCELLED if setup.written else Outcome.NOT_SENT
                self._tell(self.balancer.setup_ended, tun, setup.ep, True, outcome,
                           self.clock() - setup.began, None)
        self._free(tun)

    def _moved(self, tun: int, ep: int, took: int) -> None:
        self._tell(self.balancer.setup_ended, tun, ep, True, Outcome.CANCELLED, took, None)
        self._free(tun)

    def delay_told(self, ep: int, delay: int) -> None:
        logger.debug("a message takes {} ms at {}", delay // MS, self.eps.names[ep])
        self._tell(self.balancer.delay_told, ep, delay)

    def garbled(self, tun: int) -> None:
        """Its backend's lines can't be passed on, so the client is better off elsewhere."""
        self.move(tun)

    def silent(self, tun: int) -> None:
        logger.info("tunnel {} is silent", tun)
        self._tell(self.balancer.silent, tun)

    def _part(self, tunnel: Tunnel, over: bool = True) -> None:
        """The tunnel lets go of its setup, and with over of all else but its slot."""
        tunnel.setup = None
        tunnel.over = tunnel.over or over
        if over and tunnel.echo is not None:
            tunnel.echo.close()

    def _answered(self, tun: int) -> None:
        """The final answer is out. The module gives it only when no setup is."""
        self._part(self.tunnels.get(tun))
        self._free(tun)

    def _abandon(self, tun: int) -> None:
        """The module failed on this tunnel: its client still gets an answer."""
        tunnel = self.tunnels.get(tun)
        if tunnel is not None and not tunnel.over:
            self.client_ended(tun, abrupt=False)
            tunnel.client.fail()

    def _free(self, tun: int) -> None:
        """The one place where a tunnel's slot and its id are given back."""
        self.ids.remove(self.tunnels.get(tun).opening.id)
        self.tunnels.give_back(tun)

    # -- a new configuration -----------------------------------------------------------------------

    def reload(self) -> None:
        """SIGHUP: what can change while connections are held is where the list is. All else takes a restart,
        and a file that can't be used changes nothing: the operator sees why, the clients see nothing."""
        try:
            orders = read_orders(os.environ)
        except BadConfigError as why:
            logger.error("the new configuration can't be used, the old one stays: {}", why)
            return
        logger.info("configuration read again: discovery at {}:{}", *orders.discovery)
        self.watching.move_to(orders.discovery)

    # -- the end ---------------------------------------------------------------------------------

    def stop(self) -> None:
        """The platform wants this relay to end, and will kill it."""
        if self.stopping:
            return
        self.stopping = True
        logger.info("stops within {} ms: {} tunnels", self.stop_within // MS, self.tunnels.used)
        # Relays are restarted one after the other. Where another's clients have just come here it is not back
        # yet, and who is moved now finds nobody, then all come at once: they stay for as long as they can.
        wait, within = 0, self.stop_within * 2 // 3
        if self.refugees.read(self.clock()) > REFUGEES * self.tunnels.used:
            wait = int(LATE * self.stop_within)
            within = self.stop_within + KILL_LATER - wait
        self.deadlines.after(wait, self._tell, self.balancer.stopping, within)
        self.deadlines.after(STOP_LOOK, self._end_if_empty, self.clock() + NEWCOMERS_FOR)
        self.deadlines.after(self.stop_within + KILL_LATER, self._answer_all)

    def _end_if_empty(self, earliest: int) -> None:
        if self.means.links.used > len(self.backends.probes) or self.clock() < earliest:
            self.deadlines.after(STOP_LOOK, self._end_if_empty, earliest)
            return
        logger.info("nothing is held: ends")
        self.watching.let_go()
        self.means.reactor.stop()

    def _answer_all(self) -> None:
        """What is still held now would be cut off, so it gets its answer or its MOVE; newcomers likewise."""
        for tun in self.tunnels.handles():
            if self.tunnels.get(tun).up:
                self.move(tun)
            else:
                self._abandon(tun)
        self.deadlines.after(STOP_LOOK, self._answer_all)

    # -- the list and probes ---------------------------------------------------------------------

    def _listed(self, entry: dict[str, Any]) -> Listed:
        # What the page does not name gets nothing new, as a draining one; the rest of the list still counts.
        standing = PHASES.get(entry["phase"], Standing.DRAINING)
        ep = self.eps[entry["id"]]
        if standing is not Standing.GONE:
            self.addresses[ep] = address_of(entry["host_port"])
        return Listed(ep, int(entry.get("cell") or 0), self.zones[entry.get("locality")],
                      self.kinds[entry.get("flavor")], float(entry.get("size") or 0), standing,
                      int(entry.get("up_since_ms") or 0) * MS, mark_of(entry["id"]))

    def list_told(self, whole: bool, members: list[dict[str, Any]]) -> None:
        """Applied the moment it is read: the grace for drains runs from when discovery wrote it."""
        entries = [self._listed(entry) for entry in members]
        self.heard = True
        self._list_changed(ListForm.WHOLE if whole else ListForm.CHANGES, entries)

    def _list_changed(self, form: ListForm, entries: list[Listed]) -> None:
        if form is not ListForm.CHANGES:
            self.ready.clear()
        self.ready -= {entry.ep for entry in entries}
        self.ready |= {entry.ep for entry in entries if entry.standing is Standing.READY}
        self._tell(self.balancer.list_changed, form, entries)

    def list_lost(self) -> None:
        self._tell(self.balancer.list_changed, ListForm.UNAVAILABLE, [])

    def may_send(self, tun: int, ep: int) -> bool:
        """Nothing new goes to a backend that drains; what was open there before goes nowhere else."""
        tunnel = self.tunnels.get(tun)
        return tunnel is not None and (ep in self.ready or not tunnel.known)

    def _woke(self, token: int) -> None:
        self._tell(self.balancer.woke, token)

    def probe_over(self, ep: int, answered: bool, report: LoadReport) -> None:
        logger.debug("probe of {}: {}, {}", self.eps.names[ep], answered, report)
        if report.service_time is not None:
            # The clients' lines don't tell how long messages take; what a backend says of itself does.
            self.reported.took(ep, int(report.service_time))
        self._tell(self.balancer.probed, ep, answered, report)


def _from_twisted(event: dict[str, Any]) -> None:
    """Twisted's own warnings and faults go where all else is logged."""
    if event["log_level"] >= LogLevel.warn:
        failure = event.get("log_failure")
        logger.opt(exception=failure and failure.value).error("{}", formatEvent(event))


def run(orders: StartingOrders) -> int:
    from twisted.internet import reactor

    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", backtrace=False,
               level=os.environ.get("LOGURU_LEVEL", "INFO"))
    globalLogBeginner.beginLoggingTo([_from_twisted], redirectStandardIO=False, discardBuffer=True)
    relay = Relay(reactor, orders)
    try:
        relay.listener.open(orders.listen)
    except CannotListenError as why:
        raise BadConfigError(str(why)) from why
    logger.info("{} listens, {} backends known, room for {} tunnels", orders.name, len(relay.ready),
                relay.tunnels.most)
    # A handler may run anywhere, so it only leaves word. Without one SIGHUP would end the process, and
    # Twisted's own for SIGTERM the reactor, each with every connection.
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(relay.reload))
    reactor.callWhenRunning(signal.signal, signal.SIGTERM, lambda *_: reactor.callFromThread(relay.stop))
    reactor.run()
    return 0
