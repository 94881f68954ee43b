"""Writes a log line for each event of the categories that the operator selects."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import Any

from loguru import logger

from cedarledge.net.interfaces import Observer
from cedarledge.terms import BackendEntry, ListForm, LoadReport, Outcome


class EventLog(Observer):
    """Logs events with their fields.

    Event names: tunnel.arrived, tunnel.setup, tunnel.opened, tunnel.setup_over, tunnel.answered,
    tunnel.moved, tunnel.ended, list.changed, list.lost, box.probed. Durations are in ns.
    """

    def __init__(
        self, events: Collection[str], profile_names: Sequence[str], backend_names: Sequence[str]
    ) -> None:
        """Logs the categories in `events`; the names are by number of profile and of backend."""
        self._events = frozenset(events)
        self._profile_names = profile_names
        self._backend_names = backend_names  # shared with the backend list, which appends new names

    def _log_event(self, category: str, event: str, **fields: Any) -> None:
        if category in self._events:
            logger.bind(event=event, **fields).info(
                "{} {}", event, " ".join(f"{name}={value}" for name, value in fields.items())
            )

    def arrived(self, now: int, tunnel_id: int, profile: int, returning: bool) -> None:
        """Logs a new request, with its profile and whether its client says that it comes back."""
        self._log_event(
            "arrived",
            "tunnel.arrived",
            tunnel=tunnel_id,
            profile=self._profile_names[profile],
            returning=returning,
        )

    def set_up(self, now: int, tunnel_id: int, backend_id: int, timeout: int) -> None:
        """Logs an attempt that goes out, with its time-out."""
        self._log_event(
            "setup",
            "tunnel.setup",
            tunnel=tunnel_id,
            backend=self._backend_names[backend_id],
            timeout=timeout,
        )

    def opened(self, now: int, tunnel_id: int, backend_id: int, took: int) -> None:
        """Logs a tunnel that its backend accepted, with the duration of the attempt."""
        self._log_event(
            "opened", "tunnel.opened", tunnel=tunnel_id, backend=self._backend_names[backend_id], took=took
        )

    def setup_over(
        self, now: int, tunnel_id: int, backend_id: int, outcome: Outcome, took: int, was_open: bool
    ) -> None:
        """Logs an attempt that failed, or an open tunnel that its backend ended."""
        self._log_event(
            "setup",
            "tunnel.setup_over",
            tunnel=tunnel_id,
            backend=self._backend_names[backend_id],
            outcome=outcome.name.lower(),
            took=took,
            was_open=was_open,
        )

    def answered(self, now: int, tunnel_id: int, rejected: bool, took: int) -> None:
        """Logs a rejection (`declined`) or an error that was sent to the client."""
        self._log_event(
            "answered",
            "tunnel.answered",
            tunnel=tunnel_id,
            outcome="declined" if rejected else "closed_with_error",
            took=took,
        )

    def moved(self, now: int, tunnel_id: int, backend_id: int) -> None:
        """Logs a client that was told to reconnect elsewhere."""
        self._log_event("moved", "tunnel.moved", tunnel=tunnel_id, backend=self._backend_names[backend_id])

    def ended(self, now: int, tunnel_id: int, took: int) -> None:
        """Logs the end of a tunnel, with the time since it arrived."""
        self._log_event("ended", "tunnel.ended", tunnel=tunnel_id, took=took)

    def listed(self, now: int, form: ListForm, entries: list[BackendEntry]) -> None:
        """Logs a change of the backend list with the number of entries, or its loss."""
        if form is ListForm.UNAVAILABLE:
            self._log_event("list", "list.lost")
        else:
            self._log_event("list", "list.changed", form=form.name.lower(), entries=len(entries))

    def probed(self, now: int, backend_id: int, answered: bool, report: LoadReport) -> None:
        """Logs the end of a probe and the load that the backend reported."""
        self._log_event(
            "probe",
            "box.probed",
            backend=self._backend_names[backend_id],
            answered=answered,
            asked=report.offered_load,
        )
