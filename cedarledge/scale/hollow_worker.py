"""One process of hollow relays: python -m cedarledge.scale.hollow_worker SPEC.json.

Each hollow relay runs the real membership state machine and shell on a UDP socket of its own, and the real
balancing policy without clients. The process writes `ready` to standard output, reads the start time from
standard input (monotonic clock of the machine, ns), runs the spec, writes its result as one JSON object to
standard output and exits.
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
from cedarledge.scale.counting import CountingMembership, CountingShell, Traffic, changing_load
from cedarledge.scale.policy_host import PolicyHost
from cedarledge.scale.process_cost import processor_ns, resident_bytes
from cedarledge.scale.target import REGIONS, ZONES
from cedarledge.terms import MS

VIEW_CHECK_INTERVAL, CHANGE_CHECK_INTERVAL = 250 * MS, 20 * MS
CHANGED_STATE = "away"
READY = b"ready\n"


class WorkerSpec(msgspec.Struct, frozen=True):
    """The relays and the schedule of one process. Times are in ns after the common start."""

    addresses: tuple[str, ...]  # of all relays of the fleet
    first: int  # index of the first relay of this process
    count: int
    backends: int
    start_over: int  # the starts of all relays are spread over this time
    calm_from: int
    calm_to: int
    end: int


class WorkerResult(msgspec.Struct):
    """Sums over the relays of one process. Times are in ns after the start or after the change."""

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
    whole_views: int = 0  # relays that know all others, at the start of the measurement period
    whole_after: int = 0  # when all relays of this process knew all others; 0: never
    false_deaths: int = 0
    change_known: list[int] = []


class HollowRelay:
    """One relay without clients."""

    def __init__(self, worker: Worker, index: int) -> None:
        """Creates the relay with this index in the fleet; it sends nothing before its shell joins."""
        self.worker = worker
        self.index = index
        self.name = f"relay-{index}"
        self.state = "ready"
        address = worker.spec.addresses[index]
        self.shell = CountingShell(worker.reactor, worker.timers, address, self.read_metadata)
        seed = int.from_bytes(os.urandom(8), "big")
        seeds = worker.spec.addresses[:3]
        self.machine = CountingMembership(self.shell, "scale", self.name, address, seeds, seed=seed)
        relays = len(worker.spec.addresses)
        now = worker.timers.now()
        self.policy = PolicyHost(now, index, relays, worker.spec.backends, self.set_policy_timer)
        self.knows_change = False

    def set_policy_timer(self, delay: int, token: int) -> None:
        """Calls the policy back with the token after the delay in ns."""
        self.worker.timers.after(delay, self._policy_timer_fired, token)

    def _policy_timer_fired(self, token: int) -> None:
        self.policy.timer_fired(self.worker.timers.now(), token)

    def read_metadata(self) -> dict[str, MetadataValue]:
        """Returns the metadata that fleet.py publishes, with a load that changes continuously."""
        return {
            "state": self.state,
            "zone": f"zone-{self.index % ZONES}",
            "region": f"region-{self.index % REGIONS}",
            "version": __version__,
            "settings": "0f3c5a7b9d12",
        } | changing_load()

    def has_complete_view(self) -> bool:
        """Returns whether this relay sees all other relays as alive."""
        alive = sum(member.state is State.ALIVE for member in self.machine.members.values())
        return alive == len(self.worker.spec.addresses) - 1

    def knows_state_change_of(self, name: str) -> bool:
        """Returns whether this relay knows that the relay `name` has changed its state."""
        member = self.machine.members.get(name)
        return member is not None and member.metadata.get("state", (0, ""))[1] == CHANGED_STATE


class Worker:
    """Runs and measures all hollow relays of this process."""

    def __init__(self, spec: WorkerSpec, start_time: int) -> None:
        """Measures the memory of the process without relays. `start_time` is monotonic, in ns."""
        self.spec = spec
        self.start_time = start_time
        self.reactor = install_reactor()
        self.timers = Timers(self.reactor, steady_clock())
        self.result = WorkerResult(spec.count, base_bytes=resident_bytes())
        self.relays: list[HollowRelay] = []
        self._traffic_before = Traffic()
        self._processor_before = 0
        self._probes_before = 0

    def run(self) -> None:
        """Runs the schedule of the spec and returns at its end, after the result was written."""
        for index in range(self.spec.first, self.spec.first + self.spec.count):
            delay = self.spec.start_over * index // len(self.spec.addresses)
            self._schedule(delay, partial(self._start, index))
        self._schedule(VIEW_CHECK_INTERVAL, self._check_views)
        self._schedule(self.spec.calm_from, self._begin_calm)
        self._schedule(self.spec.calm_to, self._end_calm)
        self._schedule(self.spec.end, self._end)
        self.reactor.run()

    def _schedule(self, offset: int, callback: Any) -> None:
        self.timers.after(self.start_time + offset - time.monotonic_ns(), callback)

    def _elapsed(self) -> int:
        return time.monotonic_ns() - self.start_time

    def _start(self, index: int) -> None:
        relay = HollowRelay(self, index)
        self.relays.append(relay)
        relay.shell.join(relay.machine)

    def _complete_view_count(self) -> int:
        return sum(relay.has_complete_view() for relay in self.relays)

    def _check_views(self) -> None:
        if self._complete_view_count() == self.spec.count:
            self.result.whole_after = self._elapsed()
        elif self._elapsed() < self.spec.calm_from:
            self.timers.after(VIEW_CHECK_INTERVAL, self._check_views)

    def _total_traffic(self) -> Traffic:
        total = Traffic()
        for relay in self.relays:
            for name in Traffic.__struct_fields__:
                setattr(total, name, getattr(total, name) + getattr(relay.shell.traffic, name))
        return total

    def _begin_calm(self) -> None:
        self.result.whole_views = self._complete_view_count()
        self.result.member_bytes = resident_bytes() - self.result.base_bytes
        self._traffic_before = self._total_traffic()
        self._probes_before = sum(relay.policy.probes for relay in self.relays)
        self._processor_before = processor_ns()

    def _end_calm(self) -> None:
        result, traffic_after = self.result, self._total_traffic()
        result.processor_ns = processor_ns() - self._processor_before
        for name in Traffic.__struct_fields__:
            setattr(result, name, getattr(traffic_after, name) - getattr(self._traffic_before, name))
        result.probes = sum(relay.policy.probes for relay in self.relays) - self._probes_before
        result.list_calls = sum(relay.policy.list_calls for relay in self.relays)
        result.false_deaths = sum(
            member.state is State.DEAD for relay in self.relays for member in relay.machine.members.values()
        )
        if self.spec.first == 0:
            self.relays[0].state = CHANGED_STATE
        self._check_for_change()

    def _check_for_change(self) -> None:
        for relay in self.relays:
            if not relay.knows_change and relay.index and relay.knows_state_change_of("relay-0"):
                relay.knows_change = True
                self.result.change_known.append(self._elapsed() - self.spec.calm_to)
        self.timers.after(CHANGE_CHECK_INTERVAL, self._check_for_change)

    def _end(self) -> None:
        sys.stdout.buffer.write(msgspec.json.encode(self.result))
        sys.stdout.flush()
        self.reactor.stop()


def main() -> None:
    """Runs the spec file that is named on the command line."""
    logger.remove()
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=WorkerSpec)
    sys.stdout.buffer.write(READY)
    sys.stdout.flush()
    Worker(spec, int(sys.stdin.readline())).run()


if __name__ == "__main__":
    main()
