"""Where a running relay is added to without touching its middle: fronts, hearers, facts.

- A *front* makes tunnels of whatever protocol and takes their answers. It calls a Taker, and its connections
  understand what ClientEnd lists. `clients.Listener` is the one in use.
- A *hearer* is told what happens and can neither slow nor break it (`hearers.Hearers` sees to that).
`eventlog.EventLog`
  is one.
- *Facts*: what a subsystem knows reaches the decision module as the plain values of `terms.ExternalView`, set
through
  `module.Module.knows`. `boxlist.BoxList.set_aside` does so for the operator's file.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from cedarledge.terms import BackendEntry, ListForm, LoadReport, Outcome

if TYPE_CHECKING:
    from cedarledge.net.clients import Opening
    from cedarledge.net.config import Address


class ClientEnd(Protocol):
    """A client's connection as the tunnels see it. Every answer but `opened` is its last word."""

    transport: Any

    def peer_has_left(self) -> bool: ...
    def opened(self, line: bytes) -> None: ...
    def send_lines(self, lines: list[bytes]) -> None: ...
    def decline(self, come_back: int) -> None: ...
    def fail(self) -> None: ...
    def move(self) -> None: ...
    def finish(self) -> None: ...
    def abort(self) -> None: ...
    def bad_input(self, why: str) -> None: ...


class Taker(Protocol):
    """Where a front takes what comes; tun is the handle that arrived gave, below 0 for one already
    answered."""

    def arrived(self, client: ClientEnd, opening: Opening) -> int: ...
    def lines_on(self, tun: int, lines: list[bytes]) -> None: ...
    def client_ended(self, tun: int, abrupt: bool) -> None: ...


class Front(Protocol):
    """What takes clients in. It owns its listener and its connections."""

    away: bool  # out of service: no more clients are to be dealt here

    def open(self, address: Address, inherited: int | None = None) -> None: ...
    def hold_back(self) -> None: ...
    def go_on(self) -> None: ...
    def turn_away(self) -> None: ...
    def came_free(self) -> None: ...


class Hearer:
    """Told what happens, after it has. A method left as it is costs nothing. Times are ns, tunnels and boxes
    the relay's own numbers; what a method raises, or takes too long over, is its own loss."""

    def arrived(self, now: int, tun: int, profile: int, returning: bool) -> None:
        """A client's request was taken."""

    def set_up(self, now: int, tun: int, ep: int, timeout: int) -> None:
        """A setup goes out."""

    def opened(self, now: int, tun: int, ep: int, took: int) -> None:
        """A box has taken the tunnel, that long after the setup began."""

    def setup_over(self, now: int, tun: int, ep: int, outcome: Outcome, took: int, was_open: bool) -> None:
        """A setup failed, or an open tunnel was ended by its box."""

    def answered(self, now: int, tun: int, declined: bool, took: int) -> None:
        """The client was told no: BUSY, or else an error."""

    def moved(self, now: int, tun: int, ep: int) -> None:
        """An open tunnel's client was sent to come again."""

    def ended(self, now: int, tun: int, took: int) -> None:
        """The tunnel's slot is given back, that long after it arrived; its number means another one from now
        on."""

    def listed(self, now: int, form: ListForm, entries: list[BackendEntry]) -> None:
        """The list of boxes has changed, or was lost."""

    def probed(self, now: int, ep: int, answered: bool, report: LoadReport) -> None:
        """A probe is over."""


HEARD = ("arrived", "set_up", "opened", "setup_over", "answered", "moved", "ended", "listed", "probed")
