"""What all emulators in one process share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from cedarledge.net.timers import Timers
from cedarledge.standins.event_log import EventLog
from cedarledge.standins.plan import Plan


class ProcessContext(NamedTuple):
    """The reactor, the clock in ns after the start of the run, the plan and the event log of one process."""

    reactor: Any
    timers: Timers
    now: Callable[[], int]
    plan: Plan
    port: int  # shared by all listeners, each at an address of its own
    event_log: EventLog


class Emulator:
    """Base class of what is emulated in a process; gives access to the parts of the process context."""

    def __init__(self, context: ProcessContext) -> None:
        """Copies the parts of the context to attributes."""
        self.context = context
        self.reactor = context.reactor
        self.timers = context.timers
        self.now = context.now
        self.plan = context.plan
        self.port = context.port
        self.event_log = context.event_log
