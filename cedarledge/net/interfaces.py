"""Where a running relay is added to without touching its middle: fronts, hearers, facts.

- A *front* makes tunnels of whatever protocol and takes their answers. It calls a Taker, and its connections
  understand what ClientEnd lists. `clients.Listener` is the one in use.
- A *hearer* is told what happens and can neither slow nor break it (`hearers.Hearers` sees to that).
`eventlog.EventLog`
  is one.
- *Facts*: what a subsystem knows reaches the decision module as the plain values of `terms.ExternalView`, set
through
  `policy_host.RelayPolicyHost.update_external_view`. `boxlist.BoxList.set_aside` does so for the operator's
  file.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from cedarledge.terms import Listed, ListForm, LoadReport, Outcome

if TYPE_CHECKING:
    from cedarledge.net.clients import OpenRequest
    from cedarledge.net.config import Address


class ClientConnection(Protocol):
    """A client's connection as the tunnels see it. Every answer but `opened` is its last word."""

    transport: Any

    def peer_has_left(self) -> bool: ...
    def accept(self, line: bytes) -> None: ...
    def send_lines(self, lines: list[bytes]) -> None: ...
    def reject(self, retry_after: int) -> None: ...
    def send_error(self) -> None: ...
    def send_move(self) -> None: ...
    def finish(self) -> None: ...
    def abort(self) -> None: ...
    def bad_input(self, why: str) -> None: ...


class RequestHandler(Protocol):
    """Where a front takes what comes; tunnel_id is the handle that arrived gave, below 0 for one already
    answered."""

    def request_arrived(self, client: ClientConnection, opening: OpenRequest) -> int: ...
    def lines_from_client(self, tunnel_id: int, lines: list[bytes]) -> None: ...
    def client_closed(self, tunnel_id: int, abrupt: bool) -> None: ...


class Frontend(Protocol):
    """What takes clients in. It owns its listener and its connections."""

    out_of_service: bool  # out of service: no more clients are to be dealt here

    def open(self, address: Address, inherited: int | None = None) -> None: ...
    def pause_accepting(self) -> None: ...
    def resume_accepting(self) -> None: ...
    def turn_away(self) -> None: ...
    def slots_freed(self) -> None: ...


class Observer:
    """Told what happens, after it has. A method left as it is costs nothing. Times are ns, tunnels and boxes
    the relay's own numbers; what a method raises, or takes too long over, is its own loss."""

    def arrived(self, now: int, tunnel_id: int, profile: int, returning: bool) -> None:
        """A client's request was taken."""

    def set_up(self, now: int, tunnel_id: int, backend_id: int, timeout: int) -> None:
        """A setup goes out."""

    def opened(self, now: int, tunnel_id: int, backend_id: int, took: int) -> None:
        """A box has taken the tunnel, that long after the setup began."""

    def setup_over(
        self, now: int, tunnel_id: int, backend_id: int, outcome: Outcome, took: int, was_open: bool
    ) -> None:
        """A setup failed, or an open tunnel was ended by its box."""

    def answered(self, now: int, tunnel_id: int, declined: bool, took: int) -> None:
        """The client was told no: BUSY, or else an error."""

    def moved(self, now: int, tunnel_id: int, backend_id: int) -> None:
        """An open tunnel's client was sent to come again."""

    def ended(self, now: int, tunnel_id: int, took: int) -> None:
        """The tunnel's slot is given back, that long after it arrived; its number means another one from now
        on."""

    def listed(self, now: int, form: ListForm, entries: list[Listed]) -> None:
        """The list of boxes has changed, or was lost."""

    def probed(self, now: int, backend_id: int, answered: bool, report: LoadReport) -> None:
        """A probe is over."""


OBSERVED_EVENTS = (
    "arrived",
    "set_up",
    "opened",
    "setup_over",
    "answered",
    "moved",
    "ended",
    "listed",
    "probed",
)
