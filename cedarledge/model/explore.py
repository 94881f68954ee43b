"""Exhaustive exploration of losses, delays and duplicates of the first datagrams after a fault.

The fleet is small, and the number of datagrams whose delivery is varied is the depth.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import product

from cedarledge.model.peers import Fault, Fleet, InvariantError
from cedarledge.terms import MS, SECOND

# Delays of a datagram's copies: delivered; lost; delivered after many later ones; delivered twice, the second
# time late.
DELIVERY_OUTCOMES: tuple[tuple[int, ...], ...] = ((MS,), (), (700 * MS,), (MS, 700 * MS))
FAULT_AT = 12 * SECOND
CASES = ("calm", "kill", "restart", "stop", "doubled")


def delivery_sequences(depth: int) -> Iterator[tuple[int, ...]]:
    """Returns all sequences of `depth` indices into DELIVERY_OUTCOMES.

    Datagrams beyond the depth are delivered as the link decides.
    """
    return product(range(len(DELIVERY_OUTCOMES)), repeat=depth)


def explore(case: str, outcomes: tuple[int, ...], members: int = 3, seed: int = 1) -> str:
    """Runs one fault with one sequence of outcomes.

    Returns the invariant that was violated, as text, or an empty string.
    """
    end = FAULT_AT + (8 * SECOND if case == "stop" else SECOND)
    faults = [] if case == "calm" else [Fault(case, FAULT_AT, end, (1,))]
    fleet = Fleet(members, seed, faults)
    remaining = list(reversed(outcomes))

    def delivery_override(_source: str, _target: str, _data: bytes) -> list[int] | None:
        if fleet.simulation.now < FAULT_AT or not remaining:
            return None
        return list(DELIVERY_OUTCOMES[remaining.pop()])

    fleet.simulation.delivery_override = delivery_override
    try:
        fleet.run()
    except InvariantError as why:
        return f"{case} {outcomes}: {why}"
    return ""
