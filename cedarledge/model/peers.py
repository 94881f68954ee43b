"""Fleets of peers in virtual time: troubles drawn by seed, what must hold at every step and at the end,
figures."""

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
START_WITHIN, FIRST_FAULT_AT = SECOND, 15 * SECOND
# Once the faults are over all views agree within this, and a little for each member.
AGREEMENT_TIMEOUT, AGREEMENT_TIMEOUT_PER_MEMBER = 45 * SECOND, 150 * MS
# Past this many members what holds at every step is looked at in every so many steps: it costs members each
# time.
MAX_MEMBERS_CHECKED_EACH_STEP, CHECK_EVERY_STEPS = 32, 200
# From here on members know each other from the start.
MIN_MEMBERS_PREJOINED = 128


class InvariantError(Exception):
    """Something that must hold does not."""


class Fault(NamedTuple):
    """One fault: what, from when to when in ns, and whom it is about, as places in the fleet."""

    kind: str
    start: int
    end: int
    members: tuple[int, ...]

    def __str__(self) -> str:
        span = f"from {self.start / SECOND:.1f} s to {self.end / SECOND:.1f} s"
        return f"{self.kind} {span} about {list(self.members)}"


class MemberNode(Node):
    """A seat whose machine is a Membership, and what was seen of it."""

    def __init__(self, simulation: Simulation, fleet: Fleet, index: int, address: str, name: str) -> None:
        super().__init__(simulation, address)
        self.fleet = fleet
        self.index = index
        self.name = name
        self.observed: dict[str, tuple[Member, int, int, int]] = {}

    @property
    def membership(self) -> Membership | None:
        return self.machine  # type: ignore[return-value]

    def start_process(self, incarnation: int = 0) -> None:
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
        self.fleet.record_change(self, name, before, after, why)

    def name_conflict(self, address: str) -> None:
        self.fleet.log_event(f"{self.name} at {self.address} keeps silent for {address}")


class Fleet:
    """One world of peers, with its troubles."""

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
        """`settled`: all know each other from the start, which takes long to play in a large fleet."""
        self.size = size
        self.seed = seed
        self.simulation = Simulation(seed, link)
        self.rng = random.Random(seed * 31 + 7)
        self.history: list[str] | None = [] if history else None
        self.incarnation = incarnation
        self.nodes: list[MemberNode] = []
        self.killed: dict[str, int] = {}  # names of those that are down, and since when
        self.first_detected_at: dict[str, int] = {}
        self.detection_times: list[int] = []  # first time that anybody held a killed one dead, after the kill
        self.full_detection_times: list[int] = []  # until the last live one did
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
        for node in self.nodes:
            node.start_process(self.incarnation)
        rows = [node.membership.own_update() for node in self.nodes]
        for node in self.nodes:
            for news in rows:
                if news.name != node.name:
                    node.membership._apply_update(news)
            node.membership._broadcasts.clear()

    def address_of(self, index: int) -> str:
        return f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:7000"

    def _add(self, index: int, name: str) -> MemberNode:
        node = MemberNode(self.simulation, self, index, self.address_of(index), name)
        self.simulation.nodes_by_address[node.address] = node
        self.nodes.append(node)
        return node

    def seed_addresses(self) -> tuple[str, ...]:
        """What the operators' file names: the first three, and one that lives where all those have ended."""
        first = tuple(node.address for node in self.nodes[:3])
        return first + tuple(node.address for node in self.live_nodes()[-1:] if node.address not in first)

    def log_event(self, text: str) -> None:
        if self.history is not None:
            self.history.append(f"{self.simulation.now / SECOND:9.3f} {text}")

    def log_received(self, node: MemberNode, data: bytes) -> None:
        message = decode(data)
        told = ", ".join(
            f"{news.name}:{news.state.name.lower()}@{news.incarnation}" for news in message.updates
        )
        self.log_event(
            f"{node.name} reads {message.kind.name} of {message.name}@{message.incarnation} [{told}]"
        )

    # -- troubles ----------------------------------------------------------------------------------

    def _kill(self, fault: Fault) -> None:
        for index in fault.members:
            node = self.nodes[index]
            self.log_event(f"{node.name} is killed")
            node.kill()
            self.killed[node.name] = self.simulation.now
            self.first_detected_at.pop(node.name, None)

    def _start(self, index: int) -> None:
        node = self.nodes[index]
        # It may have come back elsewhere by now; two of one name are a trouble of their own.
        if not self._is_running(node.name):
            self.log_event(f"{node.name} starts")
            self.killed.pop(node.name, None)
            node.start_process(self.incarnation)

    def _restart(self, fault: Fault) -> None:
        """Faster than it could be suspected, a few times."""
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
        everybody = fault._replace(members=tuple(range(self.size)))
        self._kill(everybody)
        for index in everybody.members:
            self.simulation.call_later(self.rng.randrange(SECOND), self._start, index)

    def _moved(self, fault: Fault) -> None:
        """The name comes back at another address."""
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
        """A twentieth of the fleet a minute ends and is replaced by others."""
        every = 60 * SECOND * 20 // self.size
        for turn in range(max(1, (fault.end - fault.start) // every)):
            self.simulation.call_later(turn * every, self._replace_one)

    def _replace_one(self) -> None:
        live_nodes = [node for node in self.nodes if node.machine is not None]
        if len(live_nodes) > 2:
            self._kill(Fault("kill", 0, 0, (self.rng.choice(live_nodes).index,)))
            self._start_new_node(f"relay-{len(self.nodes)}")

    # -- what is seen ------------------------------------------------------------------------------

    def live_nodes(self) -> list[MemberNode]:
        return [node for node in self.nodes if node.machine is not None]

    def record_change(
        self, node: MemberNode, name: str, before: State | None, after: State | None, why: str
    ) -> None:
        self.log_event(
            f"{node.name} holds {name} {after.name.lower() if after is not None else 'forgotten'} ({why})"
        )
        if after is State.DEAD and name in self.killed:
            if name not in self.first_detected_at:
                self.first_detected_at[name] = self.simulation.now
                self.detection_times.append(self.simulation.now - self.killed[name])
            self.simulation.call_later(0, self._record_full_detection, name)
        elif name not in self.killed:
            # Once for each accuser, not for everybody who hears of it.
            self.false_suspicions += after is State.SUSPECT and why == f"by {node.name}"
            self.false_deaths += after is State.DEAD

    def _record_full_detection(self, name: str) -> None:
        since = self.killed.get(name)
        for node in self.live_nodes():
            member = node.membership.members.get(name)
            if since is None or (member is not None and member.state < State.DEAD):
                return
        if self.first_detected_at.get(name, -1) >= 0:
            self.first_detected_at[name] = -1
            self.full_detection_times.append(self.simulation.now - since)

    def check_invariants(self, node: MemberNode) -> None:
        """What holds at every step. Raises BrokenError."""
        self._check_count += 1
        if node.largest_datagram > MAX_DATAGRAM_BYTES:
            raise InvariantError(f"{node.name} sent {node.largest_datagram} bytes")
        if self.size > MAX_MEMBERS_CHECKED_EACH_STEP and self._check_count % CHECK_EVERY_STEPS:
            return
        membership = node.membership
        if membership is None:
            return
        if node.name in membership.members:
            raise InvariantError(f"{node.name} is a member of its own view")
        for name, member in membership.members.items():
            now = (member, member.incarnation, member.instance_id, int(member.state))
            observed = node.observed.get(name)
            node.observed[name] = now
            if observed is None or observed[0] is not member or observed[1:] == now[1:]:
                continue
            if is_newer(observed[1], now[1]) or (observed[1] == now[1] and observed[2:] > now[2:]):
                raise InvariantError(f"{node.name}: {name} went back from {observed[1:]} to {now[1:]}")

    def view_disagreement(self) -> str:
        """What keeps the live ones' views from being one and true; empty where nothing does."""
        live_nodes = self.live_nodes()
        names = {node.name for node in live_nodes}
        for node in live_nodes:
            membership = node.membership
            if membership.silent:
                return f"{node.name} is silent"
            there = {member.name for member in membership.members.values() if member.state is State.ALIVE}
            if there != names - {node.name}:
                return (
                    f"{node.name} at {node.address} misses {sorted(names - there - {node.name})[:5]}, "
                    f"holds {sorted(there - names)[:5]} alive that are not there"
                )
        if len({node.membership.digest() for node in live_nodes}) > 1:
            return "live relays' views differ"
        return ""

    def run(self) -> Fleet:
        """Plays all, then waits for agreement. Raises BrokenError."""
        over = max((fault.end for fault in self.faults), default=FIRST_FAULT_AT)
        self.simulation.run(over)
        within = AGREEMENT_TIMEOUT + AGREEMENT_TIMEOUT_PER_MEMBER * self.size
        if any(fault.kind == "doubled" for fault in self.faults):
            within += 2 * SILENCE_DURATION
        while self.view_disagreement():
            if self.simulation.now >= over + within:
                raise InvariantError(
                    f"{within / SECOND:.0f} s after the last fault: {self.view_disagreement()}"
                )
            self.simulation.run(self.simulation.now + 250 * MS)
        self.agreement_time = self.simulation.now - over
        # A view that is right must stay so.
        deaths = self.false_deaths
        self.simulation.run(self.simulation.now + 10 * SECOND)
        if self.false_deaths > deaths:
            raise InvariantError("after agreement a live one was held dead")
        return self

    def bytes_per_second(self) -> float:
        """Sent by one relay, the mean over the run."""
        return sum(node.sent_bytes for node in self.nodes) / len(self.nodes) / (self.simulation.now / SECOND)


def draw_faults(size: int, seed: int, kinds: Sequence[str] = FAULT_KINDS) -> tuple[Fault, ...]:
    """One to three troubles for a fleet, by seed alone."""
    rng = random.Random(seed * 1009 + 3)
    faults = []
    start = FIRST_FAULT_AT
    for _ in range(rng.randint(1, 3)):
        kind = rng.choice(kinds)
        length = rng.randrange(1 * SECOND, 25 * SECOND)
        if kind == "stop":
            length = rng.choice((2, 10, 30)) * SECOND
        many = {"halves": size // 2, "one_way": max(1, size // 3), "kill": max(1, size // 5)}.get(kind, 1)
        members = tuple(sorted(rng.sample(range(size), min(size - 1, many))))
        faults.append(Fault(kind, start, start + length, members))
        # The next may come in the middle of this one, or long after.
        start += rng.choice((0, length // 2, length + 20 * SECOND))
    return tuple(faults)


def run_seed(size: int, seed: int, kinds: Sequence[str] = FAULT_KINDS) -> dict[str, Any]:
    """One seed: its figures, or under `broken` what did not hold, and the shortest history that was found."""
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
    """The troubles cut down for as long as the run stays broken, and the end of what happened then."""

    def broken(kept: tuple[Fault, ...], count: int) -> Fleet | None:
        fleet = Fleet(count, seed, kept, history=True, prejoined=count >= MIN_MEMBERS_PREJOINED)
        try:
            fleet.run()
        except InvariantError as why:
            fleet.log_event(f"BROKEN: {why}")
            return fleet
        return None

    best = broken(faults, size)
    again = True
    while again:
        again = False
        fewer = [faults[:node] + faults[node + 1 :] for node in range(len(faults))]
        shorter = [tuple(row._replace(end=row.start + (row.end - row.start) // 2) for row in faults)]
        for kept in fewer + shorter:
            if min((row.end - row.start for row in kept), default=SECOND) < 100 * MS:
                continue
            found = broken(kept, size)
            if found is not None:
                best, faults, again = found, kept, True
                break
    return [*map(str, faults), *(best.history[-60:] if best is not None else ())]
