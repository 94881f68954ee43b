"""One process of hollow relays: python -m cedarledge.scale.hollow_worker SPEC.json.

Each has the real membership machine and shell on a UDP socket of its own, and the real policy without
clients. The process says that it is ready, reads from standard input when to begin (the machine's monotonic
clock, ns), writes one JSON object to standard output at its end, and ends.
"""

from __future__ import annotations

import os
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
from loguru import logger

from cedarledge import __version__
from cedarledge.net.reactor import install_reactor
from cedarledge.net.timers import Timers, steady_clock
from cedarledge.peers.messages import MetadataValue, State
from cedarledge.scale.counting import CountingPeers, CountingShell, Traffic, changing_load
from cedarledge.scale.policy_host import PolicyHost
from cedarledge.scale.process_cost import processor_ns, resident_bytes
from cedarledge.scale.target import REGIONS, ZONES
from cedarledge.terms import MS

LOOK_EVERY, CHANGE_LOOK_EVERY = 250 * MS, 20 * MS
CHANGED_STATE = "away"
READY = b"ready\n"


class WorkerSpec(msgspec.Struct, frozen=True):
    """What one process plays. Times are ns after the beginning."""

    addresses: tuple[str, ...]  # of all members
    first: int  # of this process, by place
    count: int
    backends: int
    start_over: int  # the last of all members starts this late
    calm_from: int
    calm_to: int
    end: int


class WorkerResult(msgspec.Struct):
    """Sums over the relays of one process, and times in ns after the start or the change."""

    members: int
    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    processor_ns: int = 0
    base_bytes: int = 0
    member_bytes: int = 0
    probes: int = 0
    list_calls: int = 0
    whole_views: int = 0  # at the start of the calm span
    whole_after: int = 0  # when the last of them was whole; 0: never
    false_deaths: int = 0
    change_known: list[int] = []


class HollowRelay:
    """One relay without clients."""

    def __init__(self, worker: Worker, place: int) -> None:
        self.worker = worker
        self.place = place
        self.name = f"relay-{place}"
        self.state = "ready"
        address = worker.spec.addresses[place]
        self.shell = CountingShell(worker.reactor, worker.timers, address, self.tells)
        seed = int.from_bytes(os.urandom(8), "big")
        seeds = worker.spec.addresses[:3]
        self.machine = CountingPeers(self.shell, "scale", self.name, address, seeds, seed=seed)
        relays = len(worker.spec.addresses)
        now = worker.timers.now()
        self.policy = PolicyHost(now, place, relays, worker.spec.backends, self.wake)
        self.knows_change = False

    def wake(self, delay: int, token: int) -> None:
        """Wakes this relay's policy."""
        self.worker.timers.after(delay, self._woke, token)

    def _woke(self, token: int) -> None:
        self.policy.woke(self.worker.timers.now(), token)

    def tells(self) -> dict[str, MetadataValue]:
        """As fleet.py, with connections that come and go."""
        return {
            "state": self.state,
            "zone": f"zone-{self.place % ZONES}",
            "region": f"region-{self.place % REGIONS}",
            "version": __version__,
            "settings": "0f3c5a7b9d12",
        } | changing_load()

    def has_whole_view(self) -> bool:
        """Whether it holds all others alive."""
        alive = sum(member.state is State.ALIVE for member in self.machine.members.values())
        return alive == len(self.worker.spec.addresses) - 1

    def has_heard(self, name: str) -> bool:
        """Whether it knows of the change that relay made."""
        member = self.machine.members.get(name)
        return member is not None and member.metadata.get("state", (0, ""))[1] == CHANGED_STATE


class Worker:
    """All hollow relays of this process, and what is measured of them."""

    def __init__(self, spec: WorkerSpec, begin: int) -> None:
        self.spec = spec
        self.begin = begin
        self.reactor = install_reactor()
        self.timers = Timers(self.reactor, steady_clock())
        self.result = WorkerResult(spec.count, base_bytes=resident_bytes())
        self.relays: list[HollowRelay] = []
        self._before = Traffic()
        self._processor_before = 0
        self._probes_before = 0

    def run(self) -> None:
        """Plays all by the times of the spec, and returns at its end."""
        for place in range(self.spec.first, self.spec.first + self.spec.count):
            delay = self.spec.start_over * place // len(self.spec.addresses)
            self._at(delay, partial(self._start, place))
        self._at(LOOK_EVERY, self._look)
        self._at(self.spec.calm_from, self._begin_calm)
        self._at(self.spec.calm_to, self._end_calm)
        self._at(self.spec.end, self._end)
        self.reactor.run()

    def _at(self, when: int, call: Any) -> None:
        self.timers.after(self.begin + when - time.monotonic_ns(), call)

    def _passed(self) -> int:
        return time.monotonic_ns() - self.begin

    def _start(self, place: int) -> None:
        relay = HollowRelay(self, place)
        self.relays.append(relay)
        relay.shell.join(relay.machine)

    def _whole(self) -> int:
        return sum(relay.has_whole_view() for relay in self.relays)

    def _look(self) -> None:
        if self._whole() == self.spec.count:
            self.result.whole_after = self._passed()
        elif self._passed() < self.spec.calm_from:
            self.timers.after(LOOK_EVERY, self._look)

    def _sum(self) -> Traffic:
        total = Traffic()
        for relay in self.relays:
            for name in Traffic.__struct_fields__:
                setattr(total, name, getattr(total, name) + getattr(relay.shell.traffic, name))
        return total

    def _begin_calm(self) -> None:
        self.result.whole_views = self._whole()
        self.result.member_bytes = resident_bytes() - self.result.base_bytes
        self._before = self._sum()
        self._probes_before = sum(relay.policy.probes for relay in self.relays)
        self._processor_before = processor_ns()

    def _end_calm(self) -> None:
        result, after = self.result, self._sum()
        result.processor_ns = processor_ns() - self._processor_before
        for name in Traffic.__struct_fields__:
            setattr(result, name, getattr(after, name) - getattr(self._before, name))
        result.probes = sum(relay.policy.probes for relay in self.relays) - self._probes_before
        result.list_calls = sum(relay.policy.list_calls for relay in self.relays)
        result.false_deaths = sum(
            member.state is State.DEAD for relay in self.relays for member in relay.machine.members.values()
        )
        if self.spec.first == 0:
            self.relays[0].state = CHANGED_STATE
        self._look_for_change()

    def _look_for_change(self) -> None:
        for relay in self.relays:
            if not relay.knows_change and relay.place and relay.has_heard("relay-0"):
                relay.knows_change = True
                self.result.change_known.append(self._passed() - self.spec.calm_to)
        self.timers.after(CHANGE_LOOK_EVERY, self._look_for_change)

    def _end(self) -> None:
        sys.stdout.buffer.write(msgspec.json.encode(self.result))
        sys.stdout.flush()
        self.reactor.stop()


def main() -> None:
    """Plays the spec that the command line names."""
    logger.remove()
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=WorkerSpec)
    sys.stdout.buffer.write(READY)
    sys.stdout.flush()
    Worker(spec, int(sys.stdin.readline())).run()


if __name__ == "__main__":
    main()
