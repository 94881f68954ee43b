"""Trials: a relay that has rejected all it got for a while attempts one connection, whatever it believes.

Rejecting brings no news: a relay that rejects everything does not find out that it need not. So it behaves as
a circuit breaker that is half open. Which connection goes, and where to, matters more than that one goes:
there may be more relays than connections that a full fleet can take each second, and most are trials then.
"""

from __future__ import annotations

from cedarledge.policy import shedding
from cedarledge.policy.state import Connection, State, UnattemptedArrival
from cedarledge.terms import SECOND

WINDOW = 4 * SECOND  # in which no relay may reject fifteen and attempt none
BEST_FROM = 8  # arrivals without an attempt: from then on the best of them is a trial
BEST_AFTER, ANY_AFTER = SECOND, 2 * SECOND  # since the last attempt: a burst alone is no reason for a trial


def record_arrival(state: State, now: int, connection: Connection) -> None:
    """Counts an arrival until the next attempt."""
    state.unattempted.append(UnattemptedArrival(now, shedding.shed_place(state, connection)))


def record_attempt(state: State, now: int) -> None:
    """Begins the count anew."""
    state.unattempted.clear()
    state.attempted_at = now


def is_due(state: State, now: int, connection: Connection) -> bool:
    """Whether a connection that would be rejected is attempted as a trial; once it is, it stays one."""
    if connection.tried:
        return False
    if not connection.is_trial:
        connection.is_trial = _is_chosen(state, now, connection)
    return connection.is_trial


def _is_chosen(state: State, now: int, connection: Connection) -> bool:
    places = [arrival.place for arrival in state.unattempted if now - arrival.at < WINDOW]
    waited = now - state.attempted_at
    if len(places) == state.unattempted.maxlen and waited >= ANY_AFTER:
        return True
    # The last in the shed order, of those that came: all relays then try the same classes and groups.
    is_best = shedding.shed_place(state, connection) >= max(places, default=0.0)
    return is_best and len(places) >= BEST_FROM and waited >= BEST_AFTER
