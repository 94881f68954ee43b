"""Trials: a relay that has rejected all requests for a time attempts one, regardless of its load estimates.

A relay that rejects everything gets no reports that could show that it need not, so it acts like a half-open
circuit breaker. The choice of connection and backend matters: with more relays than connections that a full
fleet can accept per second, most of the accepted connections are trials.
"""

from __future__ import annotations

from cedarledge.policy import shedding
from cedarledge.policy.state import Connection, State, UnattemptedArrival
from cedarledge.terms import SECOND

WINDOW = 4 * SECOND  # the time in which no relay may reject fifteen requests and attempt none
BEST_TRIAL_ARRIVALS = 8  # after so many arrivals without an attempt, the best of them is a trial
# The time since the last attempt before a trial, so that a burst of arrivals alone causes none.
BEST_TRIAL_DELAY, ANY_TRIAL_DELAY = SECOND, 2 * SECOND


def record_arrival(state: State, now: int, connection: Connection) -> None:
    """Records an arrival; it is kept until the next attempt."""
    state.unattempted_arrivals.append(UnattemptedArrival(now, shedding.shed_position(state, connection)))


def record_attempt(state: State, now: int) -> None:
    """Records an attempt, which discards the recorded arrivals."""
    state.unattempted_arrivals.clear()
    state.last_attempt_at = now


def is_due(state: State, now: int, connection: Connection) -> bool:
    """Returns whether to attempt an otherwise rejected connection as a trial; a trial remains one."""
    if connection.attempted_backends:
        return False
    if not connection.is_trial:
        connection.is_trial = _is_chosen(state, now, connection)
    return connection.is_trial


def _is_chosen(state: State, now: int, connection: Connection) -> bool:
    positions = [arrival.shed_position for arrival in state.unattempted_arrivals if now - arrival.at < WINDOW]
    elapsed = now - state.last_attempt_at
    if len(positions) == state.unattempted_arrivals.maxlen and elapsed >= ANY_TRIAL_DELAY:
        return True
    # The last of the recorded arrivals in the shed order, so that all relays try the same classes and groups.
    is_best = shedding.shed_position(state, connection) >= max(positions, default=0.0)
    return is_best and len(positions) >= BEST_TRIAL_ARRIVALS and elapsed >= BEST_TRIAL_DELAY
