"""Extension points of a running relay: frontends, observers and external facts.

- A *frontend* accepts client connections of any protocol and delivers their answers. It passes requests to a
  RequestHandler, and its connections implement ClientConnection. `clients.Listener` is the one in use.
- An *observer* is notified of events and can neither delay nor break the relay (`observers.Observers` ensures
  that). `eventlog.EventLog` is one.
- *External facts* of other subsystems reach the balancer as the plain values of `terms.ExternalView`, set
  through `policy_host.RelayPolicyHost.update_external_view`. `backend_registry.BackendRegistry.set_excluded`
  does so for the operator file.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from cedarledge.terms import BackendEntry, ListForm, LoadReport, Outcome

if TYPE_CHECKING:
    from cedarledge.net.clients import OpenRequest
    from cedarledge.net.config import Address


class ClientConnection(Protocol):
    """A client's connection, as Tunnels uses it. Every answer but `accept` also ends the connection."""

    transport: Any

    def peer_has_left(self) -> bool:
        """Returns whether the client has closed the connection, even if that was not read yet."""
        ...

    def accept(self, line: bytes) -> None:
        """Sends the backend's answer and opens the connection for lines in both directions."""
        ...

    def send_lines(self, lines: list[bytes]) -> None:
        """Sends lines of the open connection."""
        ...

    def reject(self, retry_after: int) -> None:
        """Rejects the request; `retry_after` is the suggested wait in ns, 0 for none."""
        ...

    def send_error(self) -> None:
        """Answers the request with an error."""
        ...

    def send_move(self) -> None:
        """Asks the client to open its connection anew."""
        ...

    def finish(self) -> None:
        """Closes the connection once everything is sent."""
        ...

    def abort(self) -> None:
        """Resets the connection."""
        ...

    def protocol_error(self, why: str) -> None:
        """Ends a connection that violates the protocol; `why` is logged."""
        ...


class RequestHandler(Protocol):
    """Receives the requests and connections of a frontend."""

    def request_arrived(self, client: ClientConnection, open_request: OpenRequest) -> int:
        """Takes a request and returns its tunnel id; below 0 if the request was answered at once."""
        ...

    def lines_from_client(self, tunnel_id: int, lines: list[bytes]) -> None:
        """Forwards lines that the client sent on its open connection."""
        ...

    def client_closed(self, tunnel_id: int, abrupt: bool) -> None:
        """Handles the end of a client's connection; `abrupt` tells that it was reset."""
        ...


class Frontend(Protocol):
    """Accepts clients. It owns its listening socket and its connections."""

    out_of_service: bool  # health checks fail, so that no more clients are directed to this relay

    def open(self, address: Address, inherited: int | None = None) -> None:
        """Starts listening, on the inherited descriptor if there is one. Raises CannotListenError."""
        ...

    def pause_accepting(self) -> None:
        """Stops accepting connections; they wait in the system's queue."""
        ...

    def resume_accepting(self) -> None:
        """Accepts connections again."""
        ...

    def turn_away(self) -> None:
        """Resets connections that have not sent a whole request, or that were answered."""
        ...

    def slots_freed(self) -> None:
        """Resumes accepting if it had stopped for want of slots."""
        ...


class Observer:
    """Notified of events after they have happened.

    Override the methods of interest; the others cost nothing. Times are in ns. Ids of tunnels and backends
    are the relay's own numbers. An exception or a slow method affects only the observer itself.
    """

    def arrived(self, now: int, tunnel_id: int, profile: int, returning: bool) -> None:
        """A client's request was taken."""

    def set_up(self, now: int, tunnel_id: int, backend_id: int, timeout: int) -> None:
        """An attempt began."""

    def opened(self, now: int, tunnel_id: int, backend_id: int, took: int) -> None:
        """A backend accepted the connection, `took` ns after the attempt began."""

    def setup_over(
        self, now: int, tunnel_id: int, backend_id: int, outcome: Outcome, took: int, was_open: bool
    ) -> None:
        """An attempt failed, or the backend closed an open connection."""

    def answered(self, now: int, tunnel_id: int, rejected: bool, took: int) -> None:
        """The request was rejected (BUSY) or, if `rejected` is false, answered with an error."""

    def moved(self, now: int, tunnel_id: int, backend_id: int) -> None:
        """The client of an open connection was asked to open it anew."""

    def ended(self, now: int, tunnel_id: int, took: int) -> None:
        """The slot was released, `took` ns after the request arrived; its id may be reused from now on."""

    def listed(self, now: int, form: ListForm, entries: list[BackendEntry]) -> None:
        """The list of backends changed, or became unavailable."""

    def probed(self, now: int, backend_id: int, answered: bool, report: LoadReport) -> None:
        """A probe ended."""


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
