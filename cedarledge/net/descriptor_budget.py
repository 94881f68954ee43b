"""Divides the file descriptors that a relay may hold among their uses."""

from __future__ import annotations

from typing import NamedTuple

from cedarledge.net.listeners import ACCEPTS_PER_TURN, MAX_ACCEPTS_PER_TURN

# With this many descriptors or more each share has its full size; with fewer the shares shrink in proportion.
FULL_SHARES_FROM = 256
# Descriptors that are not line connections: standard streams, listeners, discovery, the reactor's own.
# This number does not shrink.
FIXED_DESCRIPTORS = 24
# Operators' connections, how many of these are kept free, and descriptors for refused or closing ones.
CALLERS, SPARE_CALLERS, CLOSING_CALLERS = 24, 10, 4
# Slots that tunnels leave free for clients that are not tunnels yet or no longer.
RESERVED_SLOTS = 48
# With no more free slots than the first number, each new connection evicts an idle one; with no more than the
# second, it is refused.
EVICTION_FREE_SLOTS, REFUSAL_FREE_SLOTS = 40, 8
# Slots that tunnels leave free for probes, one for each backend up to this number.
PROBE_SLOTS = 48
# The smallest shares. A turn of the reactor may accept many connections before an evicted one is closed.
MIN_SPARE_CALLERS = ACCEPTS_PER_TURN + 1
MIN_CALLERS = 2 * MIN_SPARE_CALLERS
MIN_REFUSAL_FREE_SLOTS = 4
MIN_EVICTION_FREE_SLOTS = MAX_ACCEPTS_PER_TURN + MIN_REFUSAL_FREE_SLOTS
MIN_RESERVED_SLOTS = MIN_EVICTION_FREE_SLOTS + MIN_REFUSAL_FREE_SLOTS


class TooFewDescriptorsError(Exception):
    """Raised for a limit with which no client could be served; the message names the least that suffices."""


class DescriptorBudget(NamedTuple):
    """The shares of one relay, as numbers of connections; each connection holds one descriptor."""

    connections: int  # clients, attempts and probes together
    reserved: int  # of these, what tunnels leave free besides the slots for probes
    eviction_free: int  # with no more free connections than this, an idle client is evicted for a new one
    refusal_free: int  # with no more free connections than this, no client is accepted
    probe_free: (
        int  # with no more free connections than this, a new probe connection takes the place of another
    )
    probes: int  # at most so many backends have a slot for their probe connection set aside
    callers: int  # operators' connections
    spare_callers: int  # of these, how many are kept free

    def tunnels(self, backends: int) -> int:
        """Returns the capacity for tunnels, of two connections each, beside the probes of `backends`."""
        return max(0, self.connections - self.reserved - min(backends, self.probes)) // 2


def _shares(limit: int, has_control: bool) -> DescriptorBudget:
    def scaled(share: int, least: int) -> int:
        return max(least, share * min(limit, FULL_SHARES_FROM) // FULL_SHARES_FROM)

    callers = scaled(CALLERS, MIN_CALLERS)
    eviction_free = scaled(EVICTION_FREE_SLOTS, MIN_EVICTION_FREE_SLOTS)
    refusal_free = scaled(REFUSAL_FREE_SLOTS, MIN_REFUSAL_FREE_SLOTS)
    return DescriptorBudget(
        connections=limit - FIXED_DESCRIPTORS - (callers + CLOSING_CALLERS if has_control else 0),
        reserved=scaled(RESERVED_SLOTS, MIN_RESERVED_SLOTS),
        eviction_free=eviction_free,
        refusal_free=refusal_free,
        probe_free=(eviction_free + refusal_free) // 2,  # the rest is left for attempts
        probes=scaled(PROBE_SLOTS, 1),
        callers=callers,
        spare_callers=scaled(SPARE_CALLERS, MIN_SPARE_CALLERS),
    )


def _is_enough(budget: DescriptorBudget) -> bool:
    return budget.tunnels(budget.probes) > 0


def least_descriptors(has_control: bool) -> int:
    """Returns the smallest limit with which a client is served beside probes, newcomers and operators."""
    return next(limit for limit in range(1, FULL_SHARES_FROM + 1) if _is_enough(_shares(limit, has_control)))


def divide_descriptors(limit: int, has_control: bool) -> DescriptorBudget:
    """Divides `limit` descriptors; `has_control` tells whether operators can call.

    Raises TooFewDescriptorsError.
    """
    budget = _shares(limit, has_control)
    if not _is_enough(budget):
        raise TooFewDescriptorsError(
            f"{limit} descriptors are too few, a relay needs at least {least_descriptors(has_control)}"
            f" {'with' if has_control else 'without'} an address for operators"
        )
    return budget
