"""Tunnels: their table, and the life of each from a front's word to the slot given back."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

from loguru import logger

from cedarledge.net.backends import Backends, SetupLink
from cedarledge.net.boxlist import BoxList
from cedarledge.net.clients import Opening
from cedarledge.net.echoes import Echo, Echoes
from cedarledge.net.lines import figure
from cedarledge.net.links import ConnectionContext
from cedarledge.net.module import Module
from cedarledge.net.observers import Observers
from cedarledge.net.request_guard import RequestGuard, RequestLog
from cedarledge.net.seams import ClientEnd
from cedarledge.net.slots import FullError, Slots
from cedarledge.policy.estimators import DecayingSum
from cedarledge.terms import MS, SECOND, LoadReport, Outcome, ProfileRow

# A client that would wait for so many times its profile's client timeout is none of ours.
LONGER = 2
# The way back of an answer is part of the client's wait.
WAY_BACK = 5 * MS
# Connections that were open before the run must be up again within 40 s of its start.
ADOPT_WITHIN, ADOPT_CONNECT_WITHIN, ADOPT_AGAIN = 38 * SECOND, 4 * SECOND, 250 * MS
UNKNOWN_FOR = 2 * SECOND
# Clients that came from another relay of late, by a sum that fades within seconds.
LATELY = 4 * SECOND
# What is counted, as the log calls it.
COUNTED = ("taken", "opened", "rejected", "failed", "moved", "silent", "left")


class Tunnel:
    """A client's request and what it holds; its slot is given back in Tunnels._free."""

    __slots__ = (
        "began",
        "client",
        "echo",
        "known",
        "opening",
        "over",
        "profile",
        "request",
        "setup",
        "tenant",
        "up",
    )

    def __init__(
        self, client: ClientEnd, opening: Opening, profile: int, tenant: int | None, began: int
    ) -> None:
        self.client = client
        self.opening = opening
        self.profile = profile
        self.tenant = tenant
        self.began = began
        self.request = RequestLog(opening.id, profile, began + opening.wait if opening.at is None else 0)
        self.setup: SetupLink | None = None
        self.echo: Echo | None = None
        self.known = False  # to the decision module
        self.up = self.over = False


class Tunnels:
    """All tunnels of a relay, whatever front they came by: a seams.Taker for the clients' side, a
    backends.Watcher for the other."""

    backends: Backends
    echoes: Echoes

    def __init__(
        self,
        context: ConnectionContext,
        module: Module,
        boxes: BoxList,
        observers: Observers,
        most: int,
        profiles: Mapping[str, int],
        tenants: Mapping[str, int],
        waits: Sequence[int],
        connect_within: int,
        classes: Sequence[ProfileRow] = (),
    ) -> None:
        self.context = context
        self.guard = RequestGuard(context.invariants, context.clock, classes, boxes.listed, boxes.eps.names)
        self.clock = context.clock
        self.timers = context.timers
        self.module = module
        self.boxes = boxes
        self.observers = observers
        self.table: Slots[Tunnel] = Slots(most)
        self.ids: set[str] = set()  # of all tunnels here, as their clients named them
        self.ids_before: frozenset[str] = frozenset()  # at the process that this one takes over from
        self.profiles = profiles
        self.tenants = tenants
        self.waits = waits
        self.connect_within = connect_within
        self._counts: Counter[str] = Counter()
        self.begun = False  # somebody has come who was not open before the run
        # Clients that came back here less those that were sent away from here: more come than go while
        # another relay is down, and about as many where a backend is.
        self.refugees = DecayingSum(LATELY)

    def join(self, backends: Backends, echoes: Echoes) -> None:
        self.backends = backends
        self.echoes = echoes

    def counts(self) -> str:
        """What became of all requests so far, for the log."""
        return ", ".join(f"{self._counts[name]} {name}" for name in COUNTED)

    # -- what the module has done ------------------------------------------------------------------

    def send(self, tun: int, ep: int, timeout: int) -> None:
        if not self.guard.may_attempt(self.table.get(tun).request, ep, ep in self.boxes.ready):
            self._not_sent(tun, ep)
            return
        self._set_up(tun, ep, timeout, self.connect_within)
        self.observers.notify("set_up", tun, ep, timeout)

    def _not_sent(self, tun: int, ep: int) -> None:
        """Tells the module once it is through with what it does now."""
        self.timers.after(0, self.setup_over, tun, ep, Outcome.NOT_SENT, 0, None, False)

    def _set_up(self, tun: int, ep: int, timeout: int, connect_within: int) -> None:
        tunnel = self.table.get(tun)
        self.guard.attempt(tunnel.request, ep)
        try:
            tunnel.setup = self.backends.set_up(
                tun, ep, self.boxes.addresses[ep], tunnel.opening.head, timeout, connect_within
            )
        except FullError:
            self._not_sent(tun, ep)

    def decline(self, tun: int, come_back: int) -> None:
        tunnel = self.table.get(tun)
        if not self.guard.may_reject(tunnel.request):
            self.close_with_error(tun)
            return
        tunnel.client.decline(come_back)
        self.context.rate_limited_log.about("rejected", lambda: self.guard.story(tunnel.request))
        self._answered(tun, True)

    def close_with_error(self, tun: int) -> None:
        tunnel = self.table.get(tun)
        tunnel.client.fail()
        self.context.rate_limited_log.about("failed", lambda: self.guard.story(tunnel.request))
        self._answered(tun, False)

    def move(self, tun: int) -> None:
        tunnel = self.table.get(tun)
        if tunnel is None or tunnel.over or not tunnel.up:
            return
        setup = tunnel.setup
        logger.debug("tunnel {} is moved off {}", tun, self.boxes.eps.names[setup.ep])
        self.refugees.add(self.clock(), -1)
        self._counts["moved"] += 1
        self._part(tunnel)
        tunnel.request.attempt_ended(Outcome.CANCELLED)
        tunnel.client.move()
        setup.call_off()
        self.observers.notify("moved", tun, setup.ep)
        # The module is in the midst of moving, so it hears of the end afterwards.
        self.timers.after(0, self._moved, tun, setup.ep, self.clock() - setup.began)

    # -- what the clients' side tells --------------------------------------------------------------

    def arrived(self, client: ClientEnd, opening: Opening) -> int:
        try:
            profile = self.profiles[opening.profile]
            tenant = None if opening.tenant is None else self.tenants[opening.tenant]
        except KeyError as why:
            client.bad_input(f"nothing is called {why}")
            return -1
        if opening.at is None and opening.wait > LONGER * self.waits[profile]:
            client.bad_input(f"{opening.profile} does not wait for {opening.wait // MS} ms")
            return -1
        if opening.id in self.ids or opening.id in self.ids_before:
            # Two of one id would be told apart by nobody behind this relay, and the first is the one served.
            client.bad_input(f"{opening.id[:40]} is open already")
            return -1
        tunnel = Tunnel(client, opening, profile, tenant, self.clock())
        try:
            tun = self.table.take(tunnel)
        except FullError:
            self.context.rate_limited_log.about("client", "no slot is left for a tunnel")
            client.decline(0)
            return -1
        self.ids.add(opening.id)
        self._counts["taken"] += 1
        self.observers.notify("arrived", tun, profile, opening.returning)
        if opening.at is not None:
            self._adopt(tun)
            return tun
        tunnel.known = self.begun = True
        if opening.returning:
            self.refugees.add(self.clock(), 1)
        if not self.module.tell(
            self.module.balancer.tunnel_arrived,
            tun,
            profile,
            tenant,
            opening.key,
            opening.group,
            max(MS, opening.wait - WAY_BACK),
            opening.hint,
            opening.returning,
        ):
            self.abandon(tun)
        return tun

    def lines_on(self, tun: int, lines: list[bytes]) -> None:
        tunnel = self.table.get(tun)
        if tunnel is None or tunnel.over:
            return
        tunnel.setup.send_lines(lines)
        tunnel.echo.asked()

    def client_ended(self, tun: int, abrupt: bool) -> None:
        tunnel = self.table.get(tun)
        if tunnel is None or tunnel.over:
            return
        setup, was_up = tunnel.setup, tunnel.up
        self._counts["left"] += 1
        self._part(tunnel)
        if tunnel.known and not was_up:
            self.module.tell(self.module.balancer.client_gone, tun)
        if setup is not None:
            setup.call_off(abrupt)
            outcome = Outcome.CANCELLED if setup.written else Outcome.NOT_SENT
            tunnel.request.attempt_ended(outcome)
            if tunnel.known:
                self.module.tell(
                    self.module.balancer.setup_ended,
                    tun,
                    setup.ep,
                    True,
                    outcome,
                    self.clock() - setup.began,
                    None,
                )
        self._free(tun)

    # -- a connection that was open before ---------------------------------------------------------

    def _adopt(self, tun: int) -> None:
        """Brings up a connection that was open before, at its own backend and no other."""
        tunnel = self.table.get(tun)
        if tunnel is None or tunnel.over:
            return
        age = self.clock() - tunnel.began
        ep = self.boxes.eps.get(tunnel.opening.at)
        if age >= ADOPT_WITHIN or ep in self.boxes.banned:
            self.close_with_error(tun)
        elif ep in self.boxes.addresses:
            self._set_up(tun, ep, ADOPT_WITHIN - age, ADOPT_CONNECT_WITHIN)
        elif self.boxes.heard or age > UNKNOWN_FOR:
            # Nobody has such a backend. It may only be new since this relay's list was made.
            self.close_with_error(tun)
        else:
            if age < ADOPT_AGAIN:
                # The first call may be put off, as all relays start together; who waits for it may not.
                self.module.watch()
            self.timers.after(ADOPT_AGAIN, self._adopt, tun)

    # -- what the backends' side tells -------------------------------------------------------------

    def may_send(self, tun: int, ep: int) -> bool:
        """Nothing new goes to a backend that drains; what was open there before goes nowhere else, and there
        only if operators have not taken it out."""
        tunnel = self.table.get(tun)
        return (
            tunnel is not None
            and ep not in self.boxes.banned
            and (ep in self.boxes.ready or not tunnel.known)
        )

    def client_waits(self, tun: int) -> int:
        """How long the client still waits for its answer, in ns; below 0: no longer."""
        tunnel = self.table.get(tun)
        return -1 if tunnel is None else tunnel.began + tunnel.opening.wait - WAY_BACK - self.clock()

    def client_has_left(self, tun: int) -> bool:
        tunnel = self.table.get(tun)
        return tunnel is None or tunnel.client.peer_has_left()

    def setup_up(self, tun: int, line: bytes, took: int) -> None:
        tunnel = self.table.get(tun)
        logger.debug(
            "tunnel {} at {}: up after {} ms", tun, self.boxes.eps.names[tunnel.setup.ep], took // MS
        )
        tunnel.up = True
        self._counts["opened"] += 1
        self.guard.answered(tunnel.request, "UP")
        setup, client = tunnel.setup, tunnel.client
        tunnel.echo = Echo(self.echoes, tun, setup.ep)
        client.opened(line)
        # A side that reads slowly holds up the other one's reading, not this relay's memory.
        client.transport.registerProducer(setup.transport, True)
        setup.transport.registerProducer(client.transport, True)
        if tunnel.known:
            self.module.tell(self.module.balancer.opened, tun, took)
        else:
            opening = tunnel.opening
            tunnel.known = True
            self.module.tell(
                self.module.balancer.adopted,
                tun,
                tunnel.profile,
                tunnel.tenant,
                opening.key,
                opening.group,
                setup.ep,
                opening.hint,
            )
        self.observers.notify("opened", tun, setup.ep, took)

    def lines_back(self, tun: int, lines: list[bytes]) -> None:
        tunnel = self.table.get(tun)
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
                self.context.rate_limited_log.about("backend", f"no load: {line[:80]!r}")
                continue
            self.module.tell(self.module.balancer.load_told, tun, load)

    def setup_over(
        self, tun: int, ep: int, outcome: Outcome, took: int, report: LoadReport | None, abrupt: bool
    ) -> None:
        tunnel = self.table.get(tun)
        if tunnel is None:
            # No slot was found for it, and its client has left since. The module counts it still.
            self.module.tell(self.module.balancer.setup_ended, tun, ep, True, outcome, took, report)
            return
        logger.debug(
            "tunnel {} at {}: {} after {} ms, up {}",
            tun,
            self.boxes.eps.names[ep],
            outcome.name,
            took // MS,
            tunnel.up,
        )
        was_open = tunnel.up
        tunnel.request.attempt_ended(outcome)
        self._part(tunnel, over=was_open)
        self.observers.notify("setup_over", tun, ep, outcome, took, was_open)
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
                self.timers.after(ADOPT_AGAIN, self._adopt, tun)
            else:
                self.close_with_error(tun)
            return
        if not self.module.tell(self.module.balancer.setup_ended, tun, ep, was_open, outcome, took, report):
            self.abandon(tun)
        if was_open:
            self._free(tun)

    def garbled(self, tun: int) -> None:
        """Its backend's lines can't be passed on, so the client is better off elsewhere."""
        self.move(tun)

    def silent(self, tun: int) -> None:
        tunnel = self.table.get(tun)
        self._counts["silent"] += 1
        logger.info("silent: {}", self.guard.story(tunnel.request))
        self.module.tell(self.module.balancer.silent, tun)

    # -- the end of a tunnel -----------------------------------------------------------------------

    def _moved(self, tun: int, ep: int, took: int) -> None:
        self.module.tell(self.module.balancer.setup_ended, tun, ep, True, Outcome.CANCELLED, took, None)
        self._free(tun)

    def _part(self, tunnel: Tunnel, over: bool = True) -> None:
        """The tunnel lets go of its setup, and with over of all else but its slot."""
        tunnel.setup = None
        tunnel.over = tunnel.over or over
        if over and tunnel.echo is not None:
            tunnel.echo.close()

    def _answered(self, tun: int, declined: bool) -> None:
        """The final answer is out. The module gives it only when no setup is."""
        tunnel = self.table.get(tun)
        self._counts["rejected" if declined else "failed"] += 1
        self.guard.answered(tunnel.request, "BUSY" if declined else "ERR")
        self._part(tunnel)
        self.observers.notify("answered", tun, declined, self.clock() - tunnel.began)
        self._free(tun)

    def abandon(self, tun: int) -> None:
        """The module failed on this tunnel: its client still gets an answer."""
        tunnel = self.table.get(tun)
        if tunnel is not None and not tunnel.over:
            self.guard.answered(tunnel.request, "ERR")
            self.client_ended(tun, abrupt=False)
            tunnel.client.fail()

    def answer_waiting(self) -> None:
        """The module failed, on which tunnels is not known: all that have no setup out, and wait for it
        alone."""
        for tun in self.table.handles():
            tunnel = self.table.get(tun)
            # Each answer tells the module of its client's end, and it may fail on that too.
            if tunnel is not None and tunnel.known and tunnel.setup is None:
                self.abandon(tun)

    def end_all(self) -> None:
        """What is still held would be cut off, so it gets its answer or its MOVE."""
        for tun in self.table.handles():
            tunnel = self.table.get(tun)
            # The module may fail on one of them, and then all that waited have been answered already.
            if tunnel is not None and tunnel.up:
                self.move(tun)
            elif tunnel is not None:
                self.abandon(tun)

    def _free(self, tun: int) -> None:
        """The one place where a tunnel's slot and its id are given back."""
        tunnel = self.table.get(tun)
        self.observers.notify("ended", tun, self.clock() - tunnel.began)
        self.ids.remove(tunnel.opening.id)
        self.table.give_back(tun)
