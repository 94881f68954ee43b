"""Stand-in feed boxes: many in one process, each with an address for every relay.

What is read here is cut and parsed apart from the relay's own parsers, so that a fault there is not shared.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol, ServerFactory
from twisted.python.failure import Failure
from zope.interface import implementer

from cedarledge.standins.box_model import BoxModel
from cedarledge.standins.event_log import BoxAttempt, BoxLoad, ColdOverload, UnexpectedLine
from cedarledge.standins.plan import BAD_ID, OTHER_PORT, BoxPlan, ScheduledEvent, box_address
from cedarledge.standins.process_context import Player, ProcessContext
from cedarledge.terms import MS, SECOND

# A line that was longer than this on its way between two stand-ins was held back by the relay between them.
HELD_BACK = SECOND
LONGEST_LINE = 4096
# How long a box that ends waits for the relay to end its side.
LINGER = 2 * SECOND
# An error that comes at once takes this long.
FAST_ERROR = 2 * MS
# How long after the client has given up a box that answers late does so, and how long it then stays.
LATE_UP, LATE_STAY = 60 * MS, 200 * MS


@implementer(IHalfCloseableProtocol)
class BoxLink(Protocol):
    """One relay's connection to one box: probes, or one tunnel."""

    transport: Any

    def __init__(self, box: Box, relay: int) -> None:
        self.box = box
        self.relay = relay
        self.rest = b""
        self.began = -1
        self.entry: BoxAttempt | None = None
        self.load = 0.0
        self.is_open = self.ending = False
        self.next_line = 0
        self.next_out = 0
        self.echo_due = 0

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.box.links[self] = None
        if (self.relay, self.box.plan.name) in self.box.fleet.cut:
            self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.began < 0:
            self.began = self.box.now()
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        if len(self.rest) > LONGEST_LINE:
            self.box.alien(self, self.rest)
            self.transport.abortConnection()
            return
        for line in lines:
            if not self.ending:
                self._line(line)

    def _line(self, line: bytes) -> None:
        if line in (b"STATS", b"PING") and self.entry is None:
            self.began = -1
            self.box.probe(self, line)
        elif self.entry is None:
            self._opening(line)
        elif not self.is_open:
            self.box.alien(self, line)
        else:
            self._message(line)

    def _opening(self, line: bytes) -> None:
        words = line.decode("latin-1").split(" ")
        told = dict(pair.partition("=")[::2] for pair in words[-1].split(","))
        profile = self.box.fleet.profiles.get(told.get("c", ""))
        wait = told.get("d", "")
        if (
            len(words) != 4
            or words[0] != "OPEN"
            or profile is None
            or words[1].startswith(BAD_ID)
            or not wait.isdecimal()
        ):
            self.box.alien(self, line)
            self.say(b"SYNTAX")
            self.end()
            return
        now = self.box.now()
        self.entry = BoxAttempt(self.box.index, self.relay, words[1], self.began, now)
        self.box.set_up(self, profile.load, int(wait) * MS)

    def _message(self, line: bytes) -> None:
        entry, now = self.entry, self.box.now()
        words = line.split(b" ")
        if len(words) != 3 or words[0] != b"m" or not words[1].isdigit() or not words[2].isdigit():
            self.box.alien(self, line)
            return
        entry.gaps += int(words[1]) != self.next_line
        self.next_line = int(words[1]) + 1
        entry.held += now - int(words[2]) > HELD_BACK
        if not self.box.model.hung:
            # In the order in which they came, whatever each takes.
            self.echo_due = max(self.echo_due, now + self.box.model.message(now))
            self.box.after(self.echo_due - now, self._echo, words[1])

    def _echo(self, number: bytes) -> None:
        if self.is_open and not self.ending and not self.box.model.hung:
            self.say(b"e %b %d %d" % (number, self.next_out, self.box.now()))
            self.next_out += 1

    # -- what the box has it do --------------------------------------------------------------------

    def say(self, line: bytes) -> None:
        self.transport.write(line + b"\r\n")

    def answer(self, word: str, line: bytes) -> None:
        if self.entry is None or self.ending or self.entry.ended >= 0:
            return
        self.entry.word, self.entry.answered = word, self.box.now()
        self.say(line)

    def end(self) -> None:
        """Ends it as a box does: what was said goes out first."""
        if not self.ending:
            self.ending = True
            if self.entry is not None:
                self.entry.by_box = True
            self.transport.loseWriteConnection()
            self.box.after(LINGER, self._linger_over)

    def _linger_over(self) -> None:
        if self.transport.connected:
            self.transport.abortConnection()

    def reset(self) -> None:
        if self.entry is not None:
            self.entry.by_box = True
        self.ending = True
        self.transport.abortConnection()

    def over(self) -> None:
        """The relay ended it, or it is gone: the setup is over from here on."""
        if self.is_open:
            self.is_open = False
            self.box.model.ended(self.load)
        if self.entry is not None and self.entry.ended < 0:
            self.entry.ended = self.box.now()
            self.box.fleet.book.write(self.entry)

    def readConnectionLost(self) -> None:  # noqa: N802
        self.over()
        self.ending = True
        self.transport.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Ended here; the relay's side follows."""

    def connectionLost(self, _reason: Failure) -> None:  # noqa: N802
        self.over()
        self.box.links.pop(self, None)


class BoxPort(ServerFactory):
    """One box's address for one relay."""

    noisy = False

    def __init__(self, box: Box, relay: int) -> None:
        self.box = box
        self.relay = relay

    def buildProtocol(self, _addr: Any) -> BoxLink:  # noqa: N802
        return BoxLink(self.box, self.relay)


class Box:
    """One feed box: its model, its addresses, its connections."""

    def __init__(self, fleet: Boxes, index: int, plan: BoxPlan) -> None:
        self.fleet = fleet
        self.index = index
        self.plan = plan
        self.model = BoxModel(plan, fleet.plan.box_settings, 0, cold=False)
        self.links: dict[BoxLink, None] = {}
        self.ports: list[Any] = []
        self.up = False
        self.shift = 0  # of its port
        self.receipts = 0

    def now(self) -> int:
        return self.fleet.now()

    def after(self, delay: int, call: Callable[..., None], *args: Any) -> None:
        self.fleet.timers.after(delay, call, *args)

    # -- up and down -------------------------------------------------------------------------------

    def start(self, cold: bool) -> None:
        if self.up:
            return
        self.up = True
        self.model = BoxModel(self.plan, self.fleet.plan.box_settings, self.now(), cold)
        for relay in range(self.fleet.plan.relays):
            self.ports.append(
                self.fleet.reactor.listenTCP(
                    self.fleet.port + self.shift,
                    BoxPort(self, relay),
                    backlog=512,
                    interface=box_address(self.index, relay),
                )
            )

    def stop(self) -> None:
        """The process dies: its connections are reset, new ones refused."""
        self.up = False
        for port in self.ports:
            port.stopListening()
        self.ports.clear()
        for link in list(self.links):
            link.reset()

    # -- connections -------------------------------------------------------------------------------

    def probe(self, link: BoxLink, word: bytes) -> None:
        if self.model.hung:
            return
        now = self.now()
        if word == b"PING":
            link.say(b"PONG")
            return
        told = self.model.report(now)
        line = b"PONG utilization=%.4f,recent_ms=%.3f,x0=%.4f,x1=%.4f" % told[:4]
        # A probe is served ahead of the tunnels, as by a thread of its own.
        self.after(self.fleet.plan.box_settings.message_time // 4, link.say, line)

    def set_up(self, link: BoxLink, load: float, wait: int) -> None:
        now, model = self.now(), self.model
        if model.hung:
            return
        if model.late_up:
            self.after(wait + LATE_UP, self._up, link, load)
            self.after(wait + LATE_UP + LATE_STAY, link.reset)
            return
        if model.failing:
            self.after(FAST_ERROR, self._refuse, link, "ERR")
            return
        taken = model.takes(now)
        took = model.setup(now, taken)
        if model.is_pushed_over(now):
            self._fall(now)
        elif taken:
            self.after(took, self._up, link, load)
        else:
            self.after(took, self._refuse, link, "BUSY")

    def _up(self, link: BoxLink, load: float) -> None:
        entry = link.entry
        if entry is None or entry.ended >= 0 or link.ending or self.model.hung:
            return
        self.receipts += 1
        entry.receipt = f"{self.plan.name}-{self.receipts}"
        link.load = load
        link.is_open = True
        self.model.opened(load)
        link.answer("UP", b"UP " + entry.receipt.encode())
        link.say(b"LOAD %.5f" % load)

    def _refuse(self, link: BoxLink, word: str) -> None:
        if link.entry is not None and link.entry.ended < 0:
            link.answer(word, word.encode())
            link.end()

    def _fall(self, now: int) -> None:
        self.fleet.book.write(ColdOverload(now, self.index, self.model.asked(now)))
        self.stop()
        self.after(self.fleet.plan.box_settings.restart_delay, self.start, True)

    def send_away(self) -> None:
        """A draining box sends away who is still there."""
        if self.model.draining:
            for link in list(self.links):
                if link.is_open:
                    link.say(b"MOVE")
                    link.end()

    def alien(self, link: BoxLink, line: bytes) -> None:
        self.fleet.book.write(UnexpectedLine(self.now(), self.index, link.relay, line[:80].decode("latin-1")))

    def played(self, act: ScheduledEvent) -> None:
        """The schedule has something happen to this box."""
        model, now = self.model, self.now()
        model.advance(now)
        if act.action == "slow":
            model.slow = act.size
        elif act.action == "neighbour":
            model.neighbour = act.size
        elif act.action in ("hung", "failing", "frozen", "late_up"):
            setattr(model, act.action, bool(act.size))
        elif act.action == "drain":
            model.draining = True
            self.after(self.fleet.plan.box_settings.move_after, self.send_away)
        elif act.action == "start":
            self.shift = OTHER_PORT if act.size else 0
            self.start(cold=True)
        elif act.action == "stop":
            self.stop()
        elif act.action == "cut":
            self.cut(act.relay, bool(act.size))

    def cut(self, relay: int, off: bool) -> None:
        """What a relay sends does not arrive any more, or does again; what this box sends still does."""
        place = (relay, self.plan.name)
        (self.fleet.cut.add if off else self.fleet.cut.discard)(place)
        for link in self.links:
            if link.relay == relay and link.transport.connected:
                (link.transport.pauseProducing if off else link.transport.resumeProducing)()

    def look(self, second: int) -> None:
        now = self.now()
        if not self.up:
            return
        self.model.advance(now)
        if self.model.is_pushed_over(now):
            self._fall(now)
            return
        self.fleet.book.write(BoxLoad(second, self.index, self.model.asked(now), self.model.held))


class Boxes(Player):
    """The boxes of one process: every `parts`-th of the plan."""

    def __init__(self, stage: ProcessContext, part: int, parts: int) -> None:
        super().__init__(stage)
        plan = stage.plan
        self.profiles = {profile.name: profile for profile in plan.profiles}
        self.cut: set[tuple[int, str]] = set()
        self.boxes = {
            index: Box(self, index, box) for index, box in enumerate(plan.boxes) if index % parts == part
        }

    def open(self) -> None:
        for box in self.boxes.values():
            if box.plan.at_start:
                box.start(cold=False)

    def begin(self) -> None:
        """Called at the run's start."""
        for act in self.plan.events:
            box = self.boxes.get(act.index)
            if act.target == "box" and box is not None:
                self.timers.after(act.at - self.now(), box.played, act)
        self._tick(0)

    def _tick(self, second: int) -> None:
        for box in self.boxes.values():
            box.look(second)
        self.timers.after((second + 1) * SECOND - self.now(), self._tick, second + 1)

    def close(self) -> None:
        """What is still open at the end of the run is written down as it is."""
        for box in self.boxes.values():
            for link in list(box.links):
                link.over()

    def summary(self) -> dict[str, float]:
        asked = [box.model.asked(self.now()) for box in self.boxes.values() if box.up]
        return {"up": len(asked), "most": max(asked, default=0.0), "sum": sum(asked)}
