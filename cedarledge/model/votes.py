"""Simulation of the quorum register: voters under random faults.

An exhaustive exploration covers all orders of a few events of three voters.
"""

from __future__ import annotations

import copy
import random
from typing import Any, NamedTuple

from cedarledge.failover.votes import Voter, decode
from cedarledge.model.peers import InvariantError
from cedarledge.model.simulation import Link, Node, Simulation
from cedarledge.terms import MS, SECOND

# All voters must know a new value within this time after the last fault.
AGREEMENT_TIMEOUT = 25 * SECOND
FAULTS_UNTIL = 30 * SECOND
FAULT_KINDS = ("cut", "loss", "slow", "stop", "crash", "forget", "forget_all", "flap")


class VoterNode(Node):
    """A node that runs a voter, and the voter's host. Persisted state outlives the process."""

    def __init__(self, simulation: Simulation, cluster: VoterCluster, index: int) -> None:
        """Creates a node without a process and without stored state."""
        super().__init__(simulation, f"v{index}")
        self.cluster = cluster
        self.index = index
        self.stored_state: bytes | None = None

    def start_process(self) -> None:
        """Starts a voter with the stored state, if there is one, and the highest slot chosen so far."""
        # Relays that are no voters know the chosen values too, so these outlive all voters.
        highest_slot = max(self.cluster.chosen_values, default=0)
        seed = self.simulation.rng.getrandbits(60)
        voter = self.cluster.voter_type(
            self, self.index, self.cluster.voter_count, seed, self.stored_state, highest_slot
        )
        self.machine = VoterAdapter(voter)
        voter.start()

    @property
    def voter(self) -> Voter:
        """The voter of the running process; there must be one."""
        return self.machine.voter  # type: ignore[union-attr]

    # -- host of the voter ------------------------------------------------------------------------

    def send(self, index: int, data: bytes) -> None:  # type: ignore[override]
        """Sends a datagram to the voter with this index."""
        super().send(f"v{index}", data)

    def persist(self, stored_state: bytes) -> None:
        """Stores what the voter needs after a restart."""
        self.stored_state = stored_state

    def approves(self, value: bytes) -> bool:
        """Whether this voter may vote for a proposed value."""
        return self.cluster.is_approved(self.index, value)

    def chosen(self, slot: int, value: bytes) -> None:
        """Called by the voter when it learns the chosen value of a slot."""
        self.cluster.record_chosen(self.index, slot, value)


class VoterAdapter(NamedTuple):
    """Adapts a voter, whose methods take no time, to the StateMachine protocol."""

    voter: Voter

    def received(self, _now: int, data: bytes) -> None:
        """Passes a datagram on to the voter."""
        self.voter.received(data)

    def timer_expired(self, _now: int, token: int) -> None:
        """Passes an expired timer on to the voter."""
        self.voter.timer_expired(token)


class VoterCluster:
    """All voters of one simulation, and the values that were chosen, by slot."""

    def __init__(self, count: int, seed: int, voter_type: type[Voter] = Voter) -> None:
        """Starts `count` voters of the class `voter_type`."""
        self.voter_count = count
        self.voter_type = voter_type
        self.simulation = Simulation(seed)
        self.rng = random.Random(seed * 77 + 1)
        self.chosen_values: dict[int, bytes] = {}
        self.latest_slots: dict[int, int] = {}  # last slot that the running process learned, by voter
        self.proposal_count = 0
        self.nodes = [VoterNode(self.simulation, self, index) for index in range(count)]
        for node in self.nodes:
            self.simulation.nodes_by_address[node.address] = node
            node.start_process()

    def record_chosen(self, index: int, slot: int, value: bytes) -> None:
        """Records the value that a voter learned as chosen in a slot.

        Raises InvariantError if another value was chosen in this slot, or the voter already learned the value
        of this slot or a higher one.
        """
        if self.chosen_values.setdefault(slot, value) != value:
            raise InvariantError(
                f"slot number {slot} has {self.chosen_values[slot]!r} and, at voter {index}, {value!r}"
            )
        if slot <= self.latest_slots.get(index, 0):
            raise InvariantError(f"voter {index} went back from slot {self.latest_slots[index]} to {slot}")
        self.latest_slots[index] = slot

    def is_approved(self, index: int, value: bytes) -> bool:
        """Whether a voter approves a proposed value; the simulation of zones replaces this method."""
        return True

    def propose(self, index: int) -> None:
        """Lets a voter propose a new value, unless its process is paused or does not run."""
        self.proposal_count += 1
        node = self.nodes[index]
        if node.machine is not None and not node.paused:
            node.voter.propose(b"plan %d" % self.proposal_count)

    def kill(self, index: int, keep_state: bool) -> None:
        """Kills a voter's process, and deletes its stored state unless `keep_state`."""
        node = self.nodes[index]
        node.kill()
        self.latest_slots.pop(index, None)
        if not keep_state:
            node.stored_state = None

    def start(self, index: int) -> None:
        """Starts a voter's process if none runs."""
        if self.nodes[index].machine is None:
            self.nodes[index].start_process()

    # -- faults ------------------------------------------------------------------------------------

    def inject_fault(self) -> None:
        """Injects one randomly drawn fault, of up to 6 s except for the repeated restarts of 'flap'."""
        rng, simulation = self.rng, self.simulation
        kind = rng.choice(FAULT_KINDS)
        length = rng.randrange(100 * MS, 6 * SECOND)
        target = rng.randrange(self.voter_count)
        if kind in ("cut", "loss", "slow"):
            link = {
                "cut": Link(cut=True),
                "loss": Link(loss=0.4, duplication=0.2),
                "slow": Link(
                    delay=300 * MS, jitter=400 * MS, reorder=0.3, reorder_delay=3 * SECOND, duplication=0.1
                ),
            }[kind]
            for other in range(self.voter_count):
                for pair in ((target, other), (other, target)):
                    if kind != "cut" or rng.random() < 0.6:
                        key = f"v{pair[0]}", f"v{pair[1]}"
                        simulation.set_link(*key, link)
                        simulation.call_later(length, simulation.set_link, *key, None)
        elif kind == "stop":
            self.nodes[target].pause()
            simulation.call_later(length, self.nodes[target].resume)
        elif kind == "forget_all":
            for index in range(self.voter_count):
                self.kill(index, False)
                simulation.call_later(rng.randrange(SECOND), self.start, index)
        elif kind == "flap":
            # One restart each 3 s, as of a voter that restarts 20 times in a minute.
            for turn in range(4):
                simulation.call_later(turn * 3 * SECOND, self.kill, target, rng.random() < 0.5)
                simulation.call_later(turn * 3 * SECOND + rng.randrange(SECOND), self.start, target)
        else:
            self.kill(target, kind == "crash")
            simulation.call_later(length, self.start, target)

    def run(self) -> VoterCluster:
        """Runs random faults and proposals, then waits until all voters know the same value.

        Raises InvariantError if an invariant is violated or the voters do not agree in time.
        """
        simulation, rng = self.simulation, self.rng
        while simulation.now < FAULTS_UNTIL:
            simulation.run(simulation.now + rng.randrange(400 * MS))
            for index in range(self.voter_count):
                if rng.random() < 0.15:
                    self.propose(index)
            if rng.random() < 0.1:
                self.inject_fault()
        # All faults have ended by then, also the longest.
        simulation.run(FAULTS_UNTIL + 14 * SECOND)
        for index in range(self.voter_count):
            self.start(index)
        faults_end = simulation.now
        self.propose(0)
        while len({(node.voter.chosen_slot, node.voter.chosen_value) for node in self.nodes}) > 1 or (
            self.nodes[0].voter._requested is not None
        ):
            if simulation.now > faults_end + AGREEMENT_TIMEOUT:
                known = [(node.voter.chosen_slot, node.voter.floor) for node in self.nodes]
                raise InvariantError(
                    f"{AGREEMENT_TIMEOUT // SECOND} s after the last fault voters know {known}"
                )
            simulation.run(simulation.now + 100 * MS)
            if (
                len(self.chosen_values)
                and simulation.now - faults_end > 5 * SECOND
                and self.nodes[0].voter._requested is None
            ):
                # A voter that missed the chosen value learns it with the next slot.
                self.propose(0)
        self.agreement_time = simulation.now - faults_end
        return self


def run_seed(count: int, seed: int, voter_type: type[Voter] = Voter) -> dict[str, Any]:
    """Simulates the voters of one seed and returns its figures.

    After a failure the result has, besides the seed, the violated invariant under `broken`.
    """
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


# -- exploration of all orders of events -----------------------------------------------------------


class ConstantRandom:
    """A random generator that returns 0: delays do not matter where all orders are explored."""

    def randrange(self, *_: int) -> int:
        """Returns 0."""
        return 0

    def getrandbits(self, _bits: int) -> int:
        """Returns 0."""
        return 0


class ExplorationHost(NamedTuple):
    """The host of one voter in an exploration; it records in a state what the voter does."""

    index: int
    state: ExplorationState

    def send(self, index: int, data: bytes) -> None:
        """Adds a datagram to the messages that may be delivered."""
        self.state.sent.add((index, data))

    def set_timer(self, _delay: int, token: int) -> None:
        """Ignores the delay: each timer that the voter has may expire at any time."""
        pass

    def persist(self, stored_state: bytes) -> None:
        """Stores what the voter needs after a restart."""
        self.state.stored_states[self.index] = stored_state

    def approves(self, value: bytes) -> bool:
        """Returns True: each voter may vote for any value."""
        return True

    def chosen(self, slot: int, value: bytes) -> None:
        """Records the chosen value of a slot. Raises InvariantError if another one was chosen before."""
        if self.state.chosen_values.setdefault(slot, value) != value:
            raise InvariantError(f"slot number {slot} has {self.state.chosen_values[slot]!r} and {value!r}")


class ExplorationState:
    """One state of the exploration: voters, all messages ever sent, stored states, and chosen values.

    Messages are never removed, so each may be delivered late, repeatedly, out of order, or not at all.
    """

    def __init__(self, voter_type: type[Voter], crashes: int) -> None:
        """Creates the initial state of three voters, of which voter 2 may crash `crashes` times."""
        self.voter_type = voter_type
        self.sent: set[tuple[int, bytes]] = set()
        self.stored_states: list[bytes | None] = [None, None, None]
        self.chosen_values: dict[int, bytes] = {}
        self.crashes = crashes
        self.voters = [self._voter(index, index + 1) for index in range(3)]
        for voter in self.voters:
            voter.floor = 0  # as after the first start, when all voters have exchanged their status

    def _voter(self, index: int, instance_id: int) -> Voter:
        voter = self.voter_type(ExplorationHost(index, self), index, 3, 0, self.stored_states[index])
        voter.rng, voter.instance_id = ConstantRandom(), instance_id  # type: ignore[assignment]
        return voter

    def copy(self) -> ExplorationState:
        """Returns an independent copy, whose voters have hosts of their own."""
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
        """Returns a hashable value that is equal for states that behave the same from here on."""
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
        """Returns the events that are possible in this state, in a fixed order.

        An event is its kind, the index of its voter, and the delivered data or the name of the expired timer.
        Rounds are limited to keep the number of states small.
        """
        events: list[tuple[str, int, Any]] = [("comes", index, data) for index, data in sorted(self.sent)]
        for voter in self.voters:
            if voter._round < 2 and voter._status_round < 4:
                events += [("wakes", voter.voter_id, name) for name in sorted(voter._timers)]
        if self.crashes:
            events += [(event, 2, None) for event in ("crashes", "forgets")]
        return events

    def apply_event(self, event: str, index: int, data: Any) -> None:
        """Changes this state by one of its events. Raises InvariantError if that violates an invariant."""
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
    """Explores all orders of up to `depth` events of three voters, of which two propose a value.

    Returns the number of states and, if an invariant is violated, the events that lead to it. The search is
    breadth-first, so that this history is a shortest one. Raises MemoryError above `max_states` states.
    """
    first = ExplorationState(voter_type, crashes)
    for index in (0, 1):
        first.voters[index].propose(b"plan of %d" % index)
    level: list[tuple[ExplorationState, tuple[str, ...]]] = [(first, ())]
    seen = {first.key()}
    for _ in range(depth):
        next_level = []
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
                    next_level.append((new, (*history, step)))
        level = next_level
        if len(seen) > max_states:
            raise MemoryError(f"over {max_states} states at depth {_ + 1}")
    return len(seen), []
