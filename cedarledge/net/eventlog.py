"""A log line for each thing that happens, as far as the operator asks for it."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import Any

from loguru import logger

from cedarledge.net.interfaces import Observer
from cedarledge.terms import BackendEntry, ListForm, LoadReport, Outcome


class EventLog(Observer):
    """Names: tunnel.arrived, tunnel.setup, tunnel.opened, tunnel.setup_over, tunnel.answered, tunnel.moved,
    tunnel.ended, list.changed, list.lost, box.probed. Durations are ns."""

    def __init__(self, events: Collection[str], profiles: Sequence[str], boxes: Sequence[str]) -> None:
        self._events = frozenset(events)
        self._profiles = profiles
        self._boxes = boxes  # grows with the list

    def _say(self, sort: str, event: str, **fields: Any) -> None:
        if sort in self._events:
            logger.bind(event=event, **fields).info(
                "{} {}", event, " ".join(f"{name}={value}" for name, value in fields.items())
            )

    def arrived(self, now: int, tunnel_id: int, profile: int, returning: bool) -> None:
        self._say(
            "arrived",
            "tunnel.arrived",
            tunnel=tunnel_id,
            profile=self._profiles[profile],
            returning=returning,
        )

    def set_up(self, now: int, tunnel_id: int, backend_id: int, timeout: int) -> None:
        self._say("setup", "tunnel.setup", tunnel=tunnel_id, backend=self._boxes[backend_id], timeout=timeout)

    def opened(self, now: int, tunnel_id: int, backend_id: int, took: int) -> None:
        self._say("opened", "tunnel.opened", tunnel=tunnel_id, backend=self._boxes[backend_id], took=took)

    def setup_over(
        self, now: int, tunnel_id: int, backend_id: int, outcome: Outcome, took: int, was_open: bool
    ) -> None:
        self._say(
            "setup",
            "tunnel.setup_over",
            tunnel=tunnel_id,
            backend=self._boxes[backend_id],
            outcome=outcome.name.lower(),
            took=took,
            was_open=was_open,
        )

    def answered(self, now: int, tunnel_id: int, rejected: bool, took: int) -> None:
        self._say(
            "answered",
            "tunnel.answered",
            tunnel=tunnel_id,
            outcome="declined" if rejected else "closed_with_error",
            took=took,
        )

    def moved(self, now: int, tunnel_id: int, backend_id: int) -> None:
        self._say("moved", "tunnel.moved", tunnel=tunnel_id, backend=self._boxes[backend_id])

    def ended(self, now: int, tunnel_id: int, took: int) -> None:
        self._say("ended", "tunnel.ended", tunnel=tunnel_id, took=took)

    def listed(self, now: int, form: ListForm, entries: list[BackendEntry]) -> None:
        if form is ListForm.UNAVAILABLE:
            self._say("list", "list.lost")
        else:
            self._say("list", "list.changed", form=form.name.lower(), entries=len(entries))

    def probed(self, now: int, backend_id: int, answered: bool, report: LoadReport) -> None:
        self._say(
            "probe",
            "box.probed",
            backend=self._boxes[backend_id],
            answered=answered,
            asked=report.offered_load,
        )
