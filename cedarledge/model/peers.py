"""Simulation of fleets with membership: random faults, invariants, and figures.

Faults are drawn from the seed. Some invariants are checked after each event, the agreement of all views at
the end.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from cedarledge.model.simulation import HEALTHY_LINK, Link, Node, Simulation
from cedarledge.peers.machine import SILENCE_DURATION, Member, Membership, ProbeTiming
from cedarledge.peers.messages import MAX_DATAGRAM_BYTES, State, decode, is_newer
from cedarledge.terms import MS, SECOND

FAULT_KINDS = (
    "kill",
    "restart",
    "stop",
    "halves",
    "one_way",
    "deaf",
    "loss",
    "slow",
    "all_anew",
    "moved",
    "doubled",
    "churn",
)
# All members start within the first second; the first fault begins after the fleet has joined.
START_WITHIN, FIRST_FAULT_AT = SECOND, 15 * SECOND
# All views must agree within this time after the last fault, plus some time for each member.
AGREEMENT_TIMEOUT, AGREEMENT_TIMEOUT_PER_MEMBER = 45 * SECOND, 150 * MS
# In larger fleets the invariants are checked only after every 200th event, because a check reads all members.
MAX_MEMBERS_CHECKED_EACH_STEP, CHECK_EVERY_STEPS = 32, 200
# From this size on, fleets start with all members known to each other.
MIN_MEMBERS_PREJOINED = 128


class InvariantError(Exception):
    """An invariant of the simulated system is violated."""


class Fault(NamedTuple):
    """A fault of one kind from `start` to `end`, ns. `members` are indices into the fleet's nodes."""

    kind: str
    start: int
    end: int
    members: tuple[int, ...]

    def __str__(self) -> str:
        """Returns one line for the history of a failure."""
        span = f"from {self.start / SECOND:.1f} s to {self.end / SECOND:.1f} s"
        return f"{self.kind} {span}, members {list(self.members)}"


class MemberNode(Node):
    """A node that runs a Membership, and the last states of its members that were checked."""

    def __init__(self, simulation: Simulation, fleet: Fleet, index: int, address: str, name: str) -> None:
        """Creates a node without a process; another node may have the same member `name`."""
        super().__init__(simulation, address)
        self.fleet = fleet
        self.index = index
        self.name = name
        # By member name: the object, its incarnation, instance and state at the last check.
        self.observed: dict[str, tuple[Member, int, int, int]] = {}

    @property
    def membership(self) -> Membership | None:
        """The state machine, None while no process runs."""
        return self.machine  # type: ignore[return-value]

    def start_process(self, incarnation: int = 0) -> None:
        """Starts a process with a new instance id and a random clock offset below 10 s."""
        simulation = self.simulation
        self.observed = {}
        self.clock_offset = simulation.rng.randrange(10 * SECOND)
        seed_addresses = self.fleet.seed_addresses()
        self.machine = Membership(
            self,
            "model",
            self.name,
            self.address,
            seed_addresses,
            ProbeTiming(),
            simulation.rng.getrandbits(60),
            incarnation,
        )
        self.machine.start(self.now)
        self.machine.set_metadata(
            self.now, zone=f"zone-{self.index % 3 + 1}", version="0", tunnels=self.index
        )

    def changed(self, name: str, before: State | None, after: State | None, why: str) -> None:
        """Called by the membership when its state of a member changes."""
        self.fleet.record_change(self, name, before, after, why)

    def name_conflict(self, address: str) -> None:
        """Called by the membership when it goes silent because a relay at `address` has its name."""
        self.fleet.log_event(f"{self.name} at {self.address} goes silent: {address} has the same name")


class Fleet:
    """A simulated fleet of members with its faults."""

    def __init__(
        self,
        size: int,
        seed: int,
        faults: Sequence[Fault] = (),
        link: Link = HEALTHY_LINK,
        incarnation: int = 0,
        history: bool = False,
        prejoined: bool = False,
    ) -> None:
        """Creates the nodes and schedules their start and the faults.

        With `prejoined`, all members know each other from the start, because the simulation of joining takes
        long in a large fleet. With `history`, events are recorded as text.
        """
        self.size = size
        self.seed = seed
        self.simulation = Simulation(seed, link)
        self.rng = random.Random(seed * 31 + 7)
        self.history: list[str] | None = [] if history else None
        self.incarnation = incarnation
        self.nodes: list[MemberNode] = []
        self.killed: dict[str, int] = {}  # times at which members that are down were killed, by name
        self.first_detected_at: dict[str, int] = {}
        # Times from a kill until the first live member considers the killed one dead, and until all do.
        self.detection_times: list[int] = []
        self.full_detection_times: list[int] = []
        self.false_suspicions = self.false_deaths = 0
        self.fault_active = False
        self.agreement_time: int | None = None
        self.faults = tuple(faults)
        self._check_count = 0
        self.simulation.on_action = self.check_invariants  # type: ignore[assignment]
        if history:
            self.simulation.on_receive = self.log_received  # type: ignore[assignment]
        for index in range(size):
            self._add(index, f"relay-{index}")
            if not prejoined:
                self.simulation.call_at(
                    self.rng.randrange(START_WITHIN), self.nodes[index].start_process, incarnation
                )
        if prejoined:
            self._join_all()
        for fault in faults:
            self.simulation.call_at(fault.start, getattr(self, "_" + fault.kind), fault)

    def _join_all(self) -> None:
        """Starts all members and makes them known to each other."""
        for node in self.nodes:
            node.start_process(self.incarnation)
        rows = [node.membership.own_update() for node in self.nodes]
        for node in self.nodes:
            for update in rows:
                if update.name != node.name:
                    node.membership._apply_update(update)
            node.membership._broadcasts.clear()

    def address_of(self, index: int) -> str:
        """Returns the address of the node with this index."""
        return f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:7000"

    def _add(self, index: int, name: str) -> MemberNode:
        node = MemberNode(self.simulation, self, index, self.address_of(index), name)
        self.simulation.nodes_by_address[node.address] = node
        self.nodes.append(node)
        return node

    def seed_addresses(self) -> tuple[str, ...]:
        """Returns the seed addresses of a starting process, as the operators' file would list them.

        They are the first three nodes and, so that one of them runs, the last live one.
        """
        first = tuple(node.address for node in self.nodes[:3])
        return first + tuple(node.address for node in self.live_nodes()[-1:] if node.address not in first)

    def log_event(self, text: str) -> None:
        """Appends a line to the history, if one is recorded."""
        if self.history is not None:
            self.history.append(f"{self.simulation.now / SECOND:9.3f} {text}")

    def log_received(self, node: MemberNode, data: bytes) -> None:
        """Appends a datagram that a node receives to the history."""
        message = decode(data)
        updates = ", ".join(
            f"{update.name}:{update.state.name.lower()}@{update.incarnation}" for update in message.updates
        )
        self.log_event(
            f"{node.name} receives {message.kind.name} of {message.name}@{message.incarnation} [{updates}]"
        )

    # -- faults ------------------------------------------------------------------------------------

    def _kill(self, fault: Fault) -> None:
        for index in fault.members:
            node = self.nodes[index]
            self.log_event(f"{node.name} is killed")
            node.kill()
            self.killed[node.name] = self.simulation.now
            self.first_detected_at.pop(node.name, None)

    def _start(self, index: int) -> None:
        node = self.nodes[index]
        # The member may run at another address by now. Two members of one name are a fault kind of their own.
        if not self._is_running(node.name):
            self.log_event(f"{node.name} starts")
            self.killed.pop(node.name, None)
            node.start_process(self.incarnation)

    def _restart(self, fault: Fault) -> None:
        """Restarts members 3 times, each time faster than the others can suspect them."""
        for turn in range(3):
            self.simulation.call_later(turn * (fault.end - fault.start) // 3, self._kill, fault)
            for index in fault.members:
                self.simulation.call_later(
                    turn * (fault.end - fault.start) // 3 + 150 * MS, self._start, index
                )

    def _stop(self, fault: Fault) -> None:
        for index in fault.members:
            self.nodes[index].pause()
            self.simulation.call_at(fault.end, self.nodes[index].resume)

    def _set_links(self, fault: Fault, pairs: Iterable[tuple[int, int]], link: Link) -> None:
        for source, target in pairs:
            key = self.address_of(source), self.address_of(target)
            self.simulation.set_link(*key, link)
            self.simulation.call_at(fault.end, self.simulation.set_link, *key, None)

    def _all_pairs(self) -> Iterable[tuple[int, int]]:
        return ((one, other) for one in range(self.size) for other in range(self.size) if one != other)

    def _halves(self, fault: Fault) -> None:
        inside = set(fault.members)
        self._set_links(
            fault,
            ((one, other) for one, other in self._all_pairs() if (one in inside) != (other in inside)),
            Link(cut=True),
        )

    def _one_way(self, fault: Fault) -> None:
        inside = set(fault.members)
        self._set_links(
            fault,
            ((one, other) for one, other in self._all_pairs() if one in inside and other not in inside),
            Link(cut=True),
        )

    def _deaf(self, fault: Fault) -> None:
        self._set_links(
            fault,
            ((one, other) for one, other in self._all_pairs() if other in fault.members),
            Link(cut=True),
        )

    def _loss(self, fault: Fault) -> None:
        self._set_links(fault, self._all_pairs(), Link(loss=0.3, duplication=0.05))

    def _slow(self, fault: Fault) -> None:
        self._set_links(
            fault,
            self._all_pairs(),
            Link(delay=200 * MS, jitter=20 * MS, reorder=0.1, reorder_delay=200 * MS),
        )

    def _all_anew(self, fault: Fault) -> None:
        all_members = fault._replace(members=tuple(range(self.size)))
        self._kill(all_members)
        for index in all_members.members:
            self.simulation.call_later(self.rng.randrange(SECOND), self._start, index)

    def _moved(self, fault: Fault) -> None:
        """Kills members and starts them again at other addresses."""
        self._kill(fault)
        for index in fault.members:
            self.simulation.call_later(
                fault.end - fault.start, self._start_at_new_address, self.nodes[index].name
            )

    def _start_at_new_address(self, name: str) -> None:
        if not self._is_running(name):
            self._start_new_node(name)

    def _is_running(self, name: str) -> bool:
        return any(node.name == name for node in self.live_nodes())

    def _start_new_node(self, name: str) -> MemberNode:
        node = self._add(len(self.nodes), name)
        self.killed.pop(name, None)
        node.start_process(self.incarnation)
        return node

    def _doubled(self, fault: Fault) -> None:
        """Runs second members of the same names until the fault ends."""
        for index in fault.members:
            if self.nodes[index].machine is not None:
                self.simulation.call_at(
                    fault.end, self._stop_duplicate, self._start_new_node(self.nodes[index].name)
                )

    def _stop_duplicate(self, node: MemberNode) -> None:
        node.kill()
        if not self._is_running(node.name):
            self.killed[node.name] = self.simulation.now

    def _churn(self, fault: Fault) -> None:
        """Replaces a twentieth of the fleet per minute by members of new names."""
        interval = 60 * SECOND * 20 // self.size
        for turn in range(max(1, (fault.end - fault.start) // interval)):
            self.simulation.call_later(turn * interval, self._replace_one)

    def _replace_one(self) -> None:
        live_nodes = [node for node in self.nodes if node.machine is not None]
        if len(live_nodes) > 2:
            self._kill(Fault("kill", 0, 0, (self.rng.choice(live_nodes).index,)))
            self._start_new_node(f"relay-{len(self.nodes)}")

    # -- observation and checks --------------------------------------------------------------------

    def live_nodes(self) -> list[MemberNode]:
        """Returns the nodes that have a process, also if it is paused."""
        return [node for node in self.nodes if node.machine is not None]

    def record_change(
        self, node: MemberNode, name: str, before: State | None, after: State | None, why: str
    ) -> None:
        """Counts detections, false suspicions and false deaths when a node's state of a member changes.

        A state of None means that the member is unknown. `why` tells the cause as the membership words it.
        """
        self.log_event(
            f"{node.name} considers {name} {after.name.lower() if after is not None else 'forgotten'} ({why})"
        )
        if after is State.DEAD and name in self.killed:
            if name not in self.first_detected_at:
                self.first_detected_at[name] = self.simulation.now
                self.detection_times.append(self.simulation.now - self.killed[name])
            self.simulation.call_later(0, self._record_full_detection, name)
        elif name not in self.killed:
            # A suspicion counts once for each accuser, not for each member that is told of it.
            self.false_suspicions += after is State.SUSPECT and why == f"by {node.name}"
            self.false_deaths += after is State.DEAD

    def _record_full_detection(self, name: str) -> None:
        """Records the time at which the last live member considers a killed one dead, once per kill."""
        since = self.killed.get(name)
        for node in self.live_nodes():
            member = node.membership.members.get(name)
            if since is None or (member is not None and member.state < State.DEAD):
                return
        if self.first_detected_at.get(name, -1) >= 0:
            self.first_detected_at[name] = -1
            self.full_detection_times.append(self.simulation.now - since)

    def check_invariants(self, node: MemberNode) -> None:
        """Checks what must hold after each event of a node. Raises InvariantError."""
        self._check_count += 1
        if node.largest_datagram > MAX_DATAGRAM_BYTES:
            raise InvariantError(f"{node.name} sent a datagram of {node.largest_datagram} bytes")
        if self.size > MAX_MEMBERS_CHECKED_EACH_STEP and self._check_count % CHECK_EVERY_STEPS:
            return
        membership = node.membership
        if membership is None:
            return
        if node.name in membership.members:
            raise InvariantError(f"{node.name} has itself as a member in its view")
        for name, member in membership.members.items():
            now = (member, member.incarnation, member.instance_id, int(member.state))
            observed = node.observed.get(name)
            node.observed[name] = now
            if observed is None or observed[0] is not member or observed[1:] == now[1:]:
                continue
            if is_newer(observed[1], now[1]) or (observed[1] == now[1] and observed[2:] > now[2:]):
                raise InvariantError(
                    f"{node.name}: the state of {name} went back from {observed[1:]} to {now[1:]}"
                )

    def view_disagreement(self) -> str:
        """Describes how the views of the live members differ from each other or from the truth.

        Returns an empty string if all views agree and are right.
        """
        live_nodes = self.live_nodes()
        names = {node.name for node in live_nodes}
        for node in live_nodes:
            membership = node.membership
            if membership.silent:
                return f"{node.name} is silent"
            alive = {member.name for member in membership.members.values() if member.state is State.ALIVE}
            if alive != names - {node.name}:
                return (
                    f"{node.name} at {node.address} misses {sorted(names - alive - {node.name})[:5]}, "
                    f"considers {sorted(alive - names)[:5]} alive, which do not run"
                )
        if len({node.membership.digest() for node in live_nodes}) > 1:
            return "the views of live relays differ"
        return ""

    def run(self) -> Fleet:
        """Runs all faults, then waits until all views agree, and checks that they stay right for 10 s.

        Raises InvariantError if an invariant is violated or the views do not agree in time.
        """
        faults_end = max((fault.end for fault in self.faults), default=FIRST_FAULT_AT)
        self.simulation.run(faults_end)
        timeout = AGREEMENT_TIMEOUT + AGREEMENT_TIMEOUT_PER_MEMBER * self.size
        if any(fault.kind == "doubled" for fault in self.faults):
            timeout += 2 * SILENCE_DURATION
        while self.view_disagreement():
            if self.simulation.now >= faults_end + timeout:
                raise InvariantError(
                    f"{timeout / SECOND:.0f} s after the last fault: {self.view_disagreement()}"
                )
            self.simulation.run(self.simulation.now + 250 * MS)
        self.agreement_time = self.simulation.now - faults_end
        # Once the views are right, no live member may be declared dead.
        deaths = self.false_deaths
        self.simulation.run(self.simulation.now + 10 * SECOND)
        if self.false_deaths > deaths:
            raise InvariantError("a live member was declared dead after all views had agreed")
        return self

    def bytes_per_second(self) -> float:
        """Returns the bytes that one node sends per second, the mean over all nodes and the whole run."""
        return sum(node.sent_bytes for node in self.nodes) / len(self.nodes) / (self.simulation.now / SECOND)


def draw_faults(size: int, seed: int, kinds: Sequence[str] = FAULT_KINDS) -> tuple[Fault, ...]:
    """Draws one to three faults for a fleet of `size` members; they depend on the arguments alone."""
    rng = random.Random(seed * 1009 + 3)
    faults = []
    start = FIRST_FAULT_AT
    for _ in range(rng.randint(1, 3)):
        kind = rng.choice(kinds)
        length = rng.randrange(1 * SECOND, 25 * SECOND)
        if kind == "stop":
            length = rng.choice((2, 10, 30)) * SECOND
        member_count = {"halves": size // 2, "one_way": max(1, size // 3), "kill": max(1, size // 5)}.get(
            kind, 1
        )
        members = tuple(sorted(rng.sample(range(size), min(size - 1, member_count))))
        faults.append(Fault(kind, start, start + length, members))
        # The next fault begins with this one, in the middle of it, or 20 s after its end.
        start += rng.choice((0, length // 2, length + 20 * SECOND))
    return tuple(faults)


def run_seed(size: int, seed: int, kinds: Sequence[str] = FAULT_KINDS) -> dict[str, Any]:
    """Simulates the fleet of one seed and returns its figures.

    After a failure the result has, besides the seed, the violated invariant under `broken` and a shortened
    history.
    """
    faults = draw_faults(size, seed, kinds)
    try:
        fleet = Fleet(size, seed, faults, prejoined=size >= MIN_MEMBERS_PREJOINED).run()
    except InvariantError as why:
        return {"seed": seed, "broken": str(why), "history": shrink_failure(size, seed, faults)}
    return {
        "seed": seed,
        "agree_s": fleet.agreement_time / SECOND,
        "detect_s": [span / SECOND for span in fleet.detection_times],
        "all_know_s": [span / SECOND for span in fleet.full_detection_times],
        "false_suspicions": fleet.false_suspicions,
        "false_deaths": fleet.false_deaths,
        "bytes_per_s": fleet.bytes_per_second(),
        "steps": fleet.simulation.event_count,
        "faults": [fault.kind for fault in faults],
    }


def shrink_failure(size: int, seed: int, faults: tuple[Fault, ...]) -> list[str]:
    """Reduces the faults of a failing run as far as it still fails.

    Faults are left out or halved in length. Returns the remaining faults and the last 60 history lines.
    """

    def failing_run(candidate: tuple[Fault, ...], count: int) -> Fleet | None:
        fleet = Fleet(count, seed, candidate, history=True, prejoined=count >= MIN_MEMBERS_PREJOINED)
        try:
            fleet.run()
        except InvariantError as why:
            fleet.log_event(f"BROKEN: {why}")
            return fleet
        return None

    best = failing_run(faults, size)
    reduced = True
    while reduced:
        reduced = False
        fewer = [faults[:index] + faults[index + 1 :] for index in range(len(faults))]
        shorter = [tuple(row._replace(end=row.start + (row.end - row.start) // 2) for row in faults)]
        for candidate in fewer + shorter:
            if min((row.end - row.start for row in candidate), default=SECOND) < 100 * MS:
                continue
            found = failing_run(candidate, size)
            if found is not None:
                best, faults, reduced = found, candidate, True
                break
    return [*map(str, faults), *(best.history[-60:] if best is not None else ())]
