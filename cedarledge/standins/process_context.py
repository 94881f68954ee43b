"""What every stand-in of a process draws on."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from cedarledge.net.timers import Timers
from cedarledge.standins.event_log import EventLog
from cedarledge.standins.plan import Plan


class ProcessContext(NamedTuple):
    """The reactor, the clock in ns after the run's start, and what is played."""

    reactor: Any
    timers: Timers
    now: Callable[[], int]
    plan: Plan
    port: int  # that everything listens on, each at an address of its own
    book: EventLog


class Player:
    """One that plays a part, with what it draws on at hand."""

    def __init__(self, stage: ProcessContext) -> None:
        self.stage = stage
        self.reactor = stage.reactor
        self.timers = stage.timers
        self.now = stage.now
        self.plan = stage.plan
        self.port = stage.port
        self.book = stage.book
