"""Whether this relay serves, as operators say: in and out of service, and when it is ready."""

from __future__ import annotations

from loguru import logger

from cedarledge.net.boxlist import BoxList
from cedarledge.net.deadlines import Deadline, Deadlines
from cedarledge.net.module import Module
from cedarledge.net.seams import Front
from cedarledge.net.tunnels import Tunnels
from cedarledge.terms import MS

# Within 4 s of the call nobody may be held who was not moved. A client that was told to move may take a
# second to close its side, and one that came late may still wait for a setup: it is answered then.
EMPTY_WITHIN, ANSWER_ALL_AFTER = 2500 * MS, 3300 * MS


class Service:
    """What operators have said of this relay. Each call may come twice, and then changes nothing."""

    def __init__(self, deadlines: Deadlines, module: Module, boxes: BoxList, tunnels: Tunnels,
                 front: Front) -> None:
        self.deadlines = deadlines
        self.module = module
        self.boxes = boxes
        self.tunnels = tunnels
        self.front = front
        self.opened = self.ending = False  # the clients' listener; this process
        self._sweep: Deadline | None = None

    def why_not_ready(self) -> str:
        """Empty where this process can serve."""
        if self.ending:
            return "this process ends"
        if self.front.away:
            return "out of service"
        if not self.opened:
            return "the listener is not open yet"
        if not self.boxes.heard and not self.boxes.ready:
            return "no list of backends yet"
        return ""

    def go_out(self) -> None:
        if self.front.away:
            return
        self.front.away = True
        logger.info("out of service: {} tunnels are sent away", self.tunnels.table.used)
        self.module.tell(self.module.balancer.stopping, EMPTY_WITHIN)
        self._sweep = self.deadlines.after(ANSWER_ALL_AFTER, self.tunnels.end_all)

    def come_in(self) -> None:
        if not self.front.away:
            return
        self.front.away = False
        logger.info("in service again with {} tunnels", self.tunnels.table.used)
        self.deadlines.cancel(self._sweep)
        self.module.tell(self.module.balancer.staying)
