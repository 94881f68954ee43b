"""A worker process of a run: reads its specification from standard input and reports progress on standard
output."""

from __future__ import annotations

import json
import sys
import time
from typing import Any

import msgspec

from cedarledge.net.reactor import install_reactor
from cedarledge.net.timers import Timers
from cedarledge.standins.boxes import BoxFleet
from cedarledge.standins.clients import ClientPool
from cedarledge.standins.event_log import EventLog, TimerLateness
from cedarledge.standins.plan import ProcessSpec
from cedarledge.standins.process_context import ProcessContext
from cedarledge.standins.udp_proxy import UdpProxy
from cedarledge.terms import MS, SECOND

# How often a process measures the lateness of its own timers.
LATENESS_EVERY = 20 * MS


class LatenessMonitor:
    """Measures how late a process's own timers fire: its time stamps are no more precise than that."""

    def __init__(self, timers: Timers, now: Any) -> None:
        """`now` returns the time in ns after the start of the run."""
        self._timers = timers
        self._now = now
        self.worst = 0
        self.at = 0
        self._due = 0

    def begin(self) -> None:
        """Starts the measurement, which then repeats itself."""
        self._due = self._now() + LATENESS_EVERY
        self._timers.after(LATENESS_EVERY, self._measure)

    def _measure(self) -> None:
        late = self._now() - self._due
        if late > self.worst:
            self.worst, self.at = late, self._now()
        self.begin()


def main() -> int:
    """Runs one worker until the end of the run and returns its exit code."""
    reactor = install_reactor()

    spec = msgspec.json.decode(sys.stdin.buffer.read(), type=ProcessSpec)

    def now() -> int:
        return time.monotonic_ns() - spec.begin

    timers = Timers(reactor, now)
    event_log = EventLog(spec.event_log)
    kind = {"boxes": BoxFleet, "clients": ClientPool, "lanes": UdpProxy}[spec.role]
    emulator = kind(
        ProcessContext(reactor, timers, now, spec.plan, spec.port, event_log), spec.part, spec.parts
    )
    lateness = LatenessMonitor(timers, now)
    if not isinstance(emulator, ClientPool):
        emulator.open()

    def report() -> None:
        print(json.dumps({"role": spec.role, "part": spec.part} | emulator.summary()), flush=True)
        event_log.flush()
        timers.after(SECOND, report)

    def end() -> None:
        emulator.close()
        event_log.write(TimerLateness(f"{spec.role} {spec.part}", lateness.worst, lateness.at))
        event_log.close()
        reactor.stop()

    def begin() -> None:
        lateness.begin()
        emulator.begin()
        report()

    print("ready", flush=True)
    timers.after(-now(), begin)
    # Other emulators run half a second longer than the clients, to record what the clients' end causes.
    timers.after(
        int(spec.plan.seconds * SECOND) + (0 if spec.role == "clients" else SECOND // 2) - now(), end
    )
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
