"""One process of the stand-in fleet: told on standard input what to play, it tells how it goes."""

from __future__ import annotations

import json
import sys
import time
from typing import Any

import msgspec

from cedarledge.net.reactor import install_reactor
from cedarledge.net.timers import Timers
from cedarledge.standins.boxes import Boxes
from cedarledge.standins.clients import Crowd
from cedarledge.standins.event_log import EventLog, TimerLateness
from cedarledge.standins.plan import ProcessSpec
from cedarledge.standins.process_context import ProcessContext
from cedarledge.standins.udp_proxy import Lanes
from cedarledge.terms import MS, SECOND

# How often a process looks how late it runs itself.
LATENESS_EVERY = 20 * MS


class LatenessMonitor:
    """How late a process's own timers come: what it measures can be no better."""

    def __init__(self, timers: Timers, now: Any) -> None:
        self._timers = timers
        self._now = now
        self.worst = 0
        self.at = 0
        self._due = 0

    def begin(self) -> None:
        self._due = self._now() + LATENESS_EVERY
        self._timers.after(LATENESS_EVERY, self._look)

    def _look(self) -> None:
        late = self._now() - self._due
        if late > self.worst:
            self.worst, self.at = late, self._now()
        self.begin()


def main() -> int:
    reactor = install_reactor()

    post = msgspec.json.decode(sys.stdin.buffer.read(), type=ProcessSpec)

    def now() -> int:
        return time.monotonic_ns() - post.begin

    timers = Timers(reactor, now)
    book = EventLog(post.event_log)
    kind = {"boxes": Boxes, "clients": Crowd, "lanes": Lanes}[post.role]
    player = kind(ProcessContext(reactor, timers, now, post.plan, post.port, book), post.part, post.parts)
    lateness = LatenessMonitor(timers, now)
    if not isinstance(player, Crowd):
        player.open()

    def tell() -> None:
        print(json.dumps({"role": post.role, "part": post.part} | player.summary()), flush=True)
        book.flush()
        timers.after(SECOND, tell)

    def end() -> None:
        player.close()
        book.write(TimerLateness(f"{post.role} {post.part}", lateness.worst, lateness.at))
        book.close()
        reactor.stop()

    def begin() -> None:
        lateness.begin()
        player.begin()
        tell()

    print("ready", flush=True)
    timers.after(-now(), begin)
    # Boxes go on for a little, so that what the clients' end sets off is still seen.
    timers.after(
        int(post.plan.seconds * SECOND) + (0 if post.role == "clients" else SECOND // 2) - now(), end
    )
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
