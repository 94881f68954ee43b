"""Voters in virtual time: random troubles, and every order of a few messages between three of them."""

from __future__ import annotations

import copy
import random
from typing import Any, NamedTuple

from cedarledge.failover.votes import Voter, decode
from cedarledge.model.peers import InvariantError
from cedarledge.model.simulation import Link, Node, Simulation
from cedarledge.terms import MS, SECOND

# After the last fault a new value is held by all within this.
AGREEMENT_TIMEOUT = 25 * SECOND
FAULTS_UNTIL = 30 * SECOND
FAULT_KINDS = ("cut", "loss", "slow", "stop", "crash", "forget", "forget_all", "flap")


class VoterNode(Node):
    """A voter's seat; its memory outlasts its process if `lasts`."""

    def __init__(self, simulation: Simulation, cluster: VoterCluster, index: int) -> None:
        super().__init__(simulation, f"v{index}")
        self.cluster = cluster
        self.index = index
        self.stored_state: bytes | None = None

    def start_process(self) -> None:
        # What relays that are no voters have heard outlasts all voters.
        highest_slot = max(self.cluster.chosen_values, default=0)
        seed = self.simulation.rng.getrandbits(60)
        voter = self.cluster.voter_type(
            self, self.index, self.cluster.voter_count, seed, self.stored_state, highest_slot
        )
        self.machine = VoterAdapter(voter)
        voter.start()

    @property
    def voter(self) -> Voter:
        return self.machine.voter  # type: ignore[union-attr]

    # -- the machine's host ------------------------------------------------------------------------

    def send(self, index: int, data: bytes) -> None:  # type: ignore[override]
        super().send(f"v{index}", data)

    def persist(self, stored_state: bytes) -> None:
        self.stored_state = stored_state

    def approves(self, value: bytes) -> bool:
        return self.cluster.is_approved(self.index, value)

    def chosen(self, slot: int, value: bytes) -> None:
        self.cluster.record_chosen(self.index, slot, value)


class VoterAdapter(NamedTuple):
    """A voter as the world calls it: it asks for no time."""

    voter: Voter

    def received(self, _now: int, data: bytes) -> None:
        self.voter.received(data)

    def timer_expired(self, _now: int, token: int) -> None:
        self.voter.timer_expired(token)


class VoterCluster:
    """All voters of one world, and what was ever held."""

    def __init__(self, count: int, seed: int, voter_type: type[Voter] = Voter) -> None:
        self.voter_count = count
        self.voter_type = voter_type
        self.simulation = Simulation(seed)
        self.rng = random.Random(seed * 77 + 1)
        self.chosen_values: dict[int, bytes] = {}
        self.latest_slots: dict[int, int] = {}  # by place, of the life that runs
        self.proposal_count = 0
        self.nodes = [VoterNode(self.simulation, self, index) for index in range(count)]
        for node in self.nodes:
            self.simulation.nodes_by_address[node.address] = node
            node.start_process()

    def record_chosen(self, index: int, slot: int, value: bytes) -> None:
        if self.chosen_values.setdefault(slot, value) != value:
            raise InvariantError(
                f"number {slot} is {self.chosen_values[slot]!r} and, at voter {index}, {value!r}"
            )
        if slot <= self.latest_slots.get(index, 0):
            raise InvariantError(f"voter {index} went back from {self.latest_slots[index]} to {slot}")
        self.latest_slots[index] = slot

    def is_approved(self, index: int, value: bytes) -> bool:
        return True

    def propose(self, index: int) -> None:
        self.proposal_count += 1
        node = self.nodes[index]
        if node.machine is not None and not node.paused:
            node.voter.propose(b"plan %d" % self.proposal_count)

    def kill(self, index: int, keep_state: bool) -> None:
        node = self.nodes[index]
        node.kill()
        self.latest_slots.pop(index, None)
        if not keep_state:
            node.stored_state = None

    def start(self, index: int) -> None:
        if self.nodes[index].machine is None:
            self.nodes[index].start_process()

    # -- troubles ----------------------------------------------------------------------------------

    def inject_fault(self) -> None:
        """One, drawn."""
        rng, simulation = self.rng, self.simulation
        kind = rng.choice(FAULT_KINDS)
        length = rng.randrange(100 * MS, 6 * SECOND)
        one = rng.randrange(self.voter_count)
        if kind in ("cut", "loss", "slow"):
            link = {
                "cut": Link(cut=True),
                "loss": Link(loss=0.4, duplication=0.2),
                "slow": Link(
                    delay=300 * MS, jitter=400 * MS, reorder=0.3, reorder_delay=3 * SECOND, duplication=0.1
                ),
            }[kind]
            for other in range(self.voter_count):
                for pair in ((one, other), (other, one)):
                    if kind != "cut" or rng.random() < 0.6:
                        key = f"v{pair[0]}", f"v{pair[1]}"
                        simulation.set_link(*key, link)
                        simulation.call_later(length, simulation.set_link, *key, None)
        elif kind == "stop":
            self.nodes[one].pause()
            simulation.call_later(length, self.nodes[one].resume)
        elif kind == "forget_all":
            for index in range(self.voter_count):
                self.kill(index, False)
                simulation.call_later(rng.randrange(SECOND), self.start, index)
        elif kind == "flap":
            # Twenty times in a minute is one each 3 s.
            for turn in range(4):
                simulation.call_later(turn * 3 * SECOND, self.kill, one, rng.random() < 0.5)
                simulation.call_later(turn * 3 * SECOND + rng.randrange(SECOND), self.start, one)
        else:
            self.kill(one, kind == "crash")
            simulation.call_later(length, self.start, one)

    def run(self) -> VoterCluster:
        """Raises BrokenError."""
        simulation, rng = self.simulation, self.rng
        while simulation.now < FAULTS_UNTIL:
            simulation.run(simulation.now + rng.randrange(400 * MS))
            for index in range(self.voter_count):
                if rng.random() < 0.15:
                    self.propose(index)
            if rng.random() < 0.1:
                self.inject_fault()
        # The longest trouble that was drawn ends by itself.
        simulation.run(FAULTS_UNTIL + 14 * SECOND)
        for index in range(self.voter_count):
            self.start(index)
        over = simulation.now
        self.propose(0)
        while len({(node.voter.chosen_slot, node.voter.chosen_value) for node in self.nodes}) > 1 or (
            self.nodes[0].voter._requested is not None
        ):
            if simulation.now > over + AGREEMENT_TIMEOUT:
                told = [(node.voter.chosen_slot, node.voter.floor) for node in self.nodes]
                raise InvariantError(
                    f"{AGREEMENT_TIMEOUT // SECOND} s after the last fault voters hold {told}"
                )
            simulation.run(simulation.now + 100 * MS)
            if (
                len(self.chosen_values)
                and simulation.now - over > 5 * SECOND
                and self.nodes[0].voter._requested is None
            ):
                # Whoever missed the word hears of it with the next number.
                self.propose(0)
        self.agreement_time = simulation.now - over
        return self


def run_seed(count: int, seed: int, voter_type: type[Voter] = Voter) -> dict[str, Any]:
    try:
        cluster = VoterCluster(count, seed, voter_type).run()
    except InvariantError as why:
        return {"seed": seed, "broken": str(why), "history": []}
    return {
        "seed": seed,
        "agree_s": cluster.agreement_time / SECOND,
        "plans": len(cluster.chosen_values),
        "messages": sum(node.sent for node in cluster.nodes),
    }


# -- every order of a few messages -----------------------------------------------------------------


class ConstantRandom:
    """Chance that never varies: waits don't matter where every order is played."""

    def randrange(self, *_: int) -> int:
        return 0

    def getrandbits(self, _bits: int) -> int:
        return 0


class ExplorationHost(NamedTuple):
    """One voter's host in an exploration; what it does is written down."""

    index: int
    state: ExplorationState

    def send(self, index: int, data: bytes) -> None:
        self.state.sent.add((index, data))

    def set_timer(self, _delay: int, token: int) -> None:
        pass

    def persist(self, stored_state: bytes) -> None:
        self.state.stored_states[self.index] = stored_state

    def approves(self, value: bytes) -> bool:
        return True

    def chosen(self, slot: int, value: bytes) -> None:
        if self.state.chosen_values.setdefault(slot, value) != value:
            raise InvariantError(f"number {slot} is {self.state.chosen_values[slot]!r} and {value!r}")


class ExplorationState:
    """One state: voters, messages ever sent, memories, what was held. A message stays where it is, so it may
    come late, again, behind others, or never."""

    def __init__(self, voter_type: type[Voter], crashes: int) -> None:
        self.voter_type = voter_type
        self.sent: set[tuple[int, bytes]] = set()
        self.stored_states: list[bytes | None] = [None, None, None]
        self.chosen_values: dict[int, bytes] = {}
        self.crashes = crashes
        self.voters = [self._voter(index, index + 1) for index in range(3)]
        for voter in self.voters:
            voter.floor = 0  # as after a first start that all saw

    def _voter(self, index: int, instance_id: int) -> Voter:
        voter = self.voter_type(ExplorationHost(index, self), index, 3, 0, self.stored_states[index])
        voter.rng, voter.instance_id = ConstantRandom(), instance_id  # type: ignore[assignment]
        return voter

    def copy(self) -> ExplorationState:
        new = copy.copy(self)
        new.sent, new.stored_states = set(self.sent), list(self.stored_states)
        new.chosen_values = dict(self.chosen_values)
        new.voters = []
        for voter in self.voters:
            voter_copy = copy.copy(voter)
            voter_copy.host = ExplorationHost(voter.voter_id, new)
            voter_copy._statuses, voter_copy._promises, voter_copy._accepts = (
                dict(voter._statuses),
                dict(voter._promises),
                set(voter._accepts),
            )
            voter_copy._timers = dict(voter._timers)
            new.voters.append(voter_copy)
        return new

    def key(self) -> tuple[Any, ...]:
        voters = tuple(
            (
                v.instance_id,
                v.chosen_slot,
                v.chosen_value,
                v.promised,
                v.accepted_ballot,
                v.accepted_value,
                v.floor,
                v._requested,
                v._round,
                v._ballot,
                frozenset(v._promises),
                frozenset(v._accepts),
                v._round_value,
                v._collecting_promises,
                v._status_round,
                frozenset(v._statuses),
                tuple(v._previous_instances),
                frozenset(v._timers),
            )
            for v in self.voters
        )
        return voters, frozenset(self.sent), tuple(self.stored_states), self.crashes

    def events(self) -> list[tuple[str, int, Any]]:
        events: list[tuple[str, int, Any]] = [("comes", index, data) for index, data in sorted(self.sent)]
        for voter in self.voters:
            if voter._round < 2 and voter._status_round < 4:
                events += [("wakes", voter.voter_id, name) for name in sorted(voter._timers)]
        if self.crashes:
            events += [(event, 2, None) for event in ("crashes", "forgets")]
        return events

    def apply_event(self, event: str, index: int, data: Any) -> None:
        voter = self.voters[index]
        if event == "comes":
            voter.received(data)
        elif event == "wakes":
            voter.timer_expired(voter._timers[data])
        else:
            self.crashes -= 1
            if event == "forgets":
                self.stored_states[index] = None
            self.voters[index] = self._voter(index, voter.instance_id + 10)
            self.voters[index].start()


def explore(
    depth: int, crashes: int = 1, voter_type: type[Voter] = Voter, max_states: int = 3_000_000
) -> tuple[int, list[str]]:
    """Three voters, two that propose, every order up to so many moves: how many states, and the shortest
    history that breaks, if one does. Breadth first, so that it is the shortest."""
    first = ExplorationState(voter_type, crashes)
    for index in (0, 1):
        first.voters[index].propose(b"plan of %d" % index)
    level: list[tuple[ExplorationState, tuple[str, ...]]] = [(first, ())]
    seen = {first.key()}
    for _ in range(depth):
        following = []
        for state, history in level:
            for event, index, data in state.events():
                new = state.copy()
                step = f"{event} at {index}: {decode(data) if event == 'comes' else data}"
                try:
                    new.apply_event(event, index, data)
                except InvariantError as why:
                    return len(seen), [*history, step, str(why)]
                key = new.key()
                if key not in seen:
                    seen.add(key)
                    following.append((new, (*history, step)))
        level = following
        if len(seen) > max_states:
            raise MemoryError(f"over {max_states} states at depth {_ + 1}")
    return len(seen), []
