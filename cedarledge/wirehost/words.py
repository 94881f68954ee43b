"""The words of the simulator's protocol, mapped to the balancer's types."""

from __future__ import annotations

from cedarledge.terms import BackendState, ListForm, Outcome

FORMS = {
    "update": ListForm.CHANGES,
    "replace": ListForm.WHOLE,
    "restored": ListForm.RESTORED,
    "unavailable": ListForm.UNAVAILABLE,
}
BACKEND_STATES = {
    "Running": BackendState.READY,
    "Stopping": BackendState.DRAINING,
    "Deleted": BackendState.GONE,
}
OUTCOMES = {
    "S": Outcome.DONE,
    "E": Outcome.ERROR,
    "F": Outcome.FULL,
    "T": Outcome.TIMEOUT,
    "C": Outcome.CONNECT_FAILED,
    "R": Outcome.RESET,
    "X": Outcome.CANCELLED,
    "N": Outcome.NOT_SENT,
}
