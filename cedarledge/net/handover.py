"""Hot restart: the hand-over between two processes of a relay that inherit the clients' listening socket.

The new process asks the old one for its state over a Unix socket in $TMPDIR, and has the answer before it
serves. From its answer on the old process accepts no connections for the length of a lease. The new process
starts to accept them within the lease and confirms it. The connection stays open: each process forwards
operators' calls to the other one over it, and the old one reports how many descriptors it still holds.
Messages are lines of JSON.
"""

from __future__ import annotations

import os
import socket
import struct
import time
from collections.abc import Callable
from itertools import count
from pathlib import Path
from typing import Any, NamedTuple

from loguru import logger
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Protocol, ServerFactory
from twisted.python.failure import Failure

from cedarledge.net import learned_state
from cedarledge.net.backend_registry import BackendRegistry
from cedarledge.net.backends import SingleProtocolFactory
from cedarledge.net.discovery import Watch
from cedarledge.net.handover_messages import (
    MAX_MESSAGE_BYTES,
    VERSION,
    HandoverMessageError,
    HandoverState,
    encode_message,
    parse_handover_state,
    read_message,
)
from cedarledge.net.interfaces import Frontend
from cedarledge.net.line_connection import ConnectionContext
from cedarledge.net.service import ServiceState, UnknownBackendError
from cedarledge.net.timers import Timer
from cedarledge.net.tunnels import Tunnels
from cedarledge.settings import stable_hash
from cedarledge.terms import MS, ListForm

# Time for the old process to answer: the new one has 6 s for its whole start.
ANSWER_TIMEOUT_S = 1.5
# How long the old process accepts no connections without confirmation that the new one does.
LEASE = 1500 * MS
# Time for the other process to acknowledge an operator's call; operators must have their answer within 1 s.
ACKNOWLEDGE_WITHIN = 500 * MS
REPORT_HELD_EVERY = 250 * MS  # descriptors that the old process still uses
MAX_FOLDER_PATH_BYTES = 60  # a Unix socket address has 108 bytes, and the file name needs the rest
# Index of the start time among the fields of /proc/PID/stat that follow the process name.
START_TIME_FIELD = 19


def is_same_user(link: socket.socket) -> bool:
    """Returns whether the peer process runs as the same user as this one."""
    user = struct.unpack("3i", link.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))[1]
    return user == os.getuid()


class PredecessorReply(NamedTuple):
    """The connection to the previous process, its state, and the bytes that it has sent after that."""

    link: socket.socket
    state: HandoverState
    rest: bytes


def ask_predecessor(folder: Path, name: str) -> PredecessorReply | None:
    """Asks the previous process for its state, and tries the newest process first.

    Returns None if no process answers. It blocks, as nothing is served yet.
    """
    deadline = time.monotonic() + ANSWER_TIMEOUT_S
    paths = set(folder.glob(socket_path(folder, name, "*").name)) - {socket_path(folder, name)}
    for path in sorted(paths, key=_process_started_at, reverse=True):
        link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            return PredecessorReply(link, *_exchange(link, path, name, deadline))
        except (ConnectionRefusedError, FileNotFoundError):
            logger.info("handover: {} is left over, no process listens on it", path.name)
        except (OSError, HandoverMessageError) as why:
            logger.warning("handover: {}: {}", path.name, why)
        link.close()
    return None


def _process_started_at(path: Path) -> int:
    """Returns when the process of a socket file started, in clock ticks since boot; 0 if it has ended.

    The modification time of the file is on the wall clock: after a step of it, the older of two processes
    could seem the newer one.
    """
    process = path.stem.rpartition("-")[2]
    try:
        status = Path(f"/proc/{process}/stat").read_text()
    except OSError:
        return 0
    # The second field is the process name in parentheses, which may contain spaces and parentheses.
    return int(status.rpartition(")")[2].split()[START_TIME_FIELD])


def _exchange(link: socket.socket, path: Path, name: str, deadline: float) -> tuple[HandoverState, bytes]:
    def time_left() -> float:
        if time.monotonic() >= deadline:
            raise TimeoutError("no answer in time")
        return deadline - time.monotonic()

    link.settimeout(time_left())
    link.connect(str(path))
    if not is_same_user(link):
        raise HandoverMessageError("the process belongs to another user")
    link.sendall(encode_message(version=VERSION, name=name, decides_ids=True))
    data = bytearray()
    while b"\n" not in data:
        link.settimeout(time_left())
        part = link.recv(1 << 16)
        if not part:
            raise HandoverMessageError("the connection was closed before the answer was complete")
        data += part
        if len(data) > MAX_MESSAGE_BYTES:
            raise HandoverMessageError("the answer is too long")
    line, _, rest = bytes(data).partition(b"\n")
    return parse_handover_state(line), rest


def _short_path(folder: Path) -> Path:
    """Returns a path of the folder that leaves room for a file name in a Unix socket address of 108 bytes."""
    if len(os.fsencode(folder)) <= MAX_FOLDER_PATH_BYTES or not folder.is_dir():
        return folder
    # The descriptor stays open for as long as this process runs: the path leads through it.
    return Path(f"/proc/self/fd/{os.open(folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)}")


def socket_path(folder: Path, name: str, process: int | str = "") -> Path:
    """Returns the socket of a process of relay `name`, by default this one; "*" gives a pattern for all."""
    return folder / f"cedarledge-{stable_hash(name):x}-{process or os.getpid()}.sock"


class PeerProcess(Protocol):
    """The connection to another process of this relay. Incoming messages go to the Handover."""

    transport: Any

    def __init__(self, handover: Handover) -> None:
        """Passes messages and the end of the connection on to `handover`."""
        self.handover = handover
        self.incomplete_line = b""

    def connectionMade(self) -> None:  # noqa: N802
        """Closes connections from processes of other users."""
        if not is_same_user(self.transport.socket):
            logger.warning("handover: refused a process of another user")
            self.transport.abortConnection()

    def send(self, **fields: Any) -> None:
        """Sends a message; the keywords are the keys of the JSON object."""
        self.transport.write(encode_message(**fields))

    def send_claim(self, number: int, request_id: str) -> None:
        """Asks the next process for a request id."""
        self.send(claim=request_id, call=number)

    def send_release(self, request_id: str, must_not_run_again: bool) -> None:
        """Tells the next process that a request id is no longer in use, and whether it stays taken."""
        self.send(released=request_id, must_not_run_again=must_not_run_again)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles all complete lines; closes the connection on a malformed or too long message."""
        *lines, self.incomplete_line = (self.incomplete_line + data).split(b"\n")
        try:
            for line in lines:
                self.handover.message_received(self, read_message(line))
            if len(self.incomplete_line) > MAX_MESSAGE_BYTES:
                raise HandoverMessageError("the message is too long")
        except HandoverMessageError as why:
            logger.warning("handover: {}", why)
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Reports the end of the connection."""
        self.handover.connection_lost(self)


class Handover(ServerFactory):
    """Both sides of the hand-over: a process takes over as it starts, and hands over to the next one."""

    noisy = False

    def __init__(
        self,
        context: ConnectionContext,
        folder: Path,
        name: str,
        service: ServiceState,
        registry: BackendRegistry,
        tunnels: Tunnels,
        listener: Frontend,
        watch: Watch,
    ) -> None:
        """Uses sockets in `folder`; `name` is the relay's name, which both processes have."""
        self.reactor = context.reactor
        self.timers = context.timers
        self.connections = context.connections
        self.folder = _short_path(folder)
        self.name = name
        self.service = service
        self.registry = registry
        self.tunnels = tunnels
        self.listener = listener
        self.watch = watch
        self.predecessor: PeerProcess | None = None  # the process from which this one took over
        self.successor: PeerProcess | None = None  # the process that takes over from this one
        self._lease_timer: Timer | None = None
        self._call_numbers = count(1)
        self._unacknowledged: dict[int, tuple[PeerProcess, Timer, Callable[[], None]]] = {}

    def listen(self) -> None:
        """Opens the socket on which the next process asks.

        A failure is only logged: this process still serves, and the next one starts without its state.
        """
        path = socket_path(self.folder, self.name)
        mask = os.umask(0o177)
        try:
            path.unlink(missing_ok=True)
            self.reactor.listenUNIX(str(path), self, mode=0o600, backlog=4)
        except (OSError, CannotListenError) as why:
            logger.error("handover: can't open the socket for the next process: {}", why)
        finally:
            os.umask(mask)

    def buildProtocol(self, addr: IAddress) -> PeerProcess:  # noqa: N802
        """Accepts a connection of a next process."""
        return PeerProcess(self)

    # -- taking over -------------------------------------------------------------------------------

    def take_over(self) -> None:
        """Takes over from the previous process if one answers.

        The caller opens the listener next: the previous process accepts no connections for the length of the
        lease.
        """
        for _ in range(2):
            reply = ask_predecessor(self.folder, self.name)
            if reply is None:
                break
            self._adopt_connection(reply)
            try:
                self._import_state(reply.state)
            except (KeyError, TypeError, ValueError, AttributeError) as why:
                logger.warning("handover: the state of the previous process can't be used: {!r}", why)
                self._abandon()
                break
            if time.monotonic_ns() < reply.state.until:
                logger.info("handover: takes over from the previous process")
                self.predecessor.send(taken=True)
                return
            # This process was delayed past the lease, and the previous one accepts connections again.
            self._abandon()
        logger.info("handover: goes on alone")

    def _import_state(self, state: HandoverState) -> None:
        backend_ids, shared_now = self.registry.backend_ids, time.monotonic_ns()
        own_offset = self.timers.now() - shared_now
        # The two processes' clocks differ if the wall clock was stepped between their starts.
        shift = 0 if state.clock_offset is None else own_offset - state.clock_offset
        if state.unix_offset is not None:
            self.registry.start_times.adopt_unix_offset(state.unix_offset, shared_now)
        self.registry.banned = {backend_ids[name]: since + shift for name, since in state.banned.items()}
        self.registry.readmitted = {backend_ids[name]: at + shift for name, at in state.back.items()}
        self.registry.apply_list(ListForm.WHOLE, state.members)
        learned_state.import_state(
            self.registry.policy_host.balancer, self.registry.host_types, state.beliefs, self.timers.now()
        )
        self.watch.resume_from(state.revision)
        self.tunnels.ids.import_from_predecessor(state.ids, state.finished_ids or ())
        self.tunnels.adoptions.new_request_arrived()
        self.connections.reserved = state.held
        if state.away:
            self.service.leave_service()

    def _adopt_connection(self, reply: PredecessorReply) -> None:
        """Hands the open connection over to the reactor."""
        link, _, rest = reply
        link.setblocking(False)
        try:
            self.predecessor = PeerProcess(self)
            self.service.taking_over = True
            self.reactor.adoptStreamConnection(
                link.fileno(), socket.AF_UNIX, SingleProtocolFactory(self.predecessor)
            )
        finally:
            link.close()  # the reactor uses a duplicate
        # Further messages are handled after the state has been imported.
        self.timers.after(0, self.predecessor.dataReceived, rest)

    def _abandon(self) -> None:
        before, self.predecessor = self.predecessor, None
        self.service.taking_over = False
        self.connections.reserved = 0
        self.tunnels.ids.import_from_predecessor((), ())
        before.transport.abortConnection()

    def detach(self) -> None:
        """Forgets the other process as this one ends, so that the loss of the connection has no effect."""
        self.predecessor = self.successor = None

    # -- messages from the other process -----------------------------------------------------------

    def message_received(self, peer: PeerProcess, message: dict[str, Any]) -> None:
        """Handles one message; raises HandoverMessageError if it is unknown or out of place."""
        if "version" in message:
            self._takeover_requested(peer, message)
        elif peer not in (self.predecessor, self.successor):
            raise HandoverMessageError("a message before the hand-over was requested")
        elif "taken" in message:
            self._takeover_confirmed(peer)
        elif type(message.get("held")) is int:
            self._update_reserved_slots(max(0, message["held"]))
        elif "do" in message:
            self._run_operation(message["do"], message.get("name", ""))
            peer.send(done=message.get("call"))
        elif type(message.get("done")) is int:
            self._acknowledged(message["done"])
        elif self._is_about_ids(peer, message):
            pass
        else:
            raise HandoverMessageError(f"unknown message with the keys {sorted(message)[:5]}")

    def _is_about_ids(self, peer: PeerProcess, message: dict[str, Any]) -> bool:
        """Handles a message about a request id; returns whether it was one."""
        ids, number = self.tunnels.ids, message.get("call")
        if peer is self.predecessor and type(message.get("claim")) is str and type(number) is int:
            ids.claimed_by_predecessor(
                message["claim"], lambda granted: peer.send(call=number, granted=granted)
            )
        elif peer is self.predecessor and type(message.get("released")) is str:
            ids.released_by_predecessor(message["released"], message.get("must_not_run_again") is not False)
        elif peer is self.successor and type(message.get("granted")) is bool and type(number) is int:
            ids.claim_answered(number, message["granted"])
        else:
            return False
        return True

    def _update_reserved_slots(self, held: int) -> None:
        # A listener that is paused for lack of slots has to be told when the other process frees some.
        self.connections.reserved = held
        self.listener.slots_freed()

    def _takeover_requested(self, peer: PeerProcess, message: dict[str, Any]) -> None:
        if message["version"] != VERSION or message.get("name") != self.name:
            logger.warning(
                "handover: refused a request by relay {} in version {}",
                message.get("name"),
                message["version"],
            )
            peer.send(version=VERSION, no="another version or another relay")
            return
        if self.successor is not None:
            logger.warning("handover: asked again; dropping the process that asked before")
            self.successor.transport.abortConnection()
            self.tunnels.ids.stop_sharing()
        logger.info("handover: a new process asks; this one accepts no more connections")
        self.successor = peer
        self.listener.pause_accepting()
        # If this process was paused, the confirmation may have arrived and not been read yet.
        self._lease_timer = self.timers.after_pending_reads(LEASE, self._lease_expired, peer)
        names, shared_now = self.registry.backend_ids.names, time.monotonic_ns()
        state = HandoverState(
            shared_now + LEASE,
            self.watch.revision,
            list(self.registry.entries.values()),
            {names[backend_id]: since for backend_id, since in self.registry.banned.items()},
            {names[backend_id]: at for backend_id, at in self.registry.readmitted.items()},
            self.listener.out_of_service,
            self.tunnels.ids.all_in_use(),
            self._descriptors_held(),
            learned_state.export_state(
                self.registry.policy_host.balancer, self.registry.host_types, self.timers.now()
            ),
            self.timers.now() - shared_now,
            self.registry.start_times.unix_offset(shared_now),
        )
        fields = state._asdict()
        if message.get("decides_ids") is True:
            fields["finished_ids"] = self.tunnels.ids.finished.hashes()
            self.tunnels.ids.share_with(peer)
        else:
            del fields["finished_ids"]  # a process of an earlier release knows neither these nor claims
        peer.send(version=VERSION, estate=fields)

    def _descriptors_held(self) -> int:
        return len(os.listdir("/proc/self/fd")) + self.connections.reserved

    def _lease_expired(self, peer: PeerProcess) -> None:
        logger.warning("handover: the new process did not take over in time")
        peer.transport.abortConnection()

    def _takeover_confirmed(self, peer: PeerProcess) -> None:
        if peer is not self.successor:
            raise HandoverMessageError("confirmation of a hand-over that was not requested")
        self.timers.cancel(self._lease_timer)
        self.service.replaced = True
        logger.info(
            "handover: the new process serves; {} tunnels are still open here", self.tunnels.table.used
        )
        self._report_held(peer)

    def _report_held(self, peer: PeerProcess) -> None:
        if peer is self.successor:
            peer.send(held=self._descriptors_held())
            self.timers.after(REPORT_HELD_EVERY, self._report_held, peer)

    def connection_lost(self, peer: PeerProcess) -> None:
        """Goes on without the other process; accepts connections again if that was the new one."""
        for call, (asked, _, _) in list(self._unacknowledged.items()):
            if asked is peer:
                self._acknowledged(call)
        if peer is self.predecessor:
            logger.info("handover: the previous process has ended")
            self.predecessor = None
            self.service.taking_over = False
            self.tunnels.ids.forget_predecessor()
            self._update_reserved_slots(0)
        elif peer is self.successor:
            # It died, or never took over: this process accepts what waits in the kernel's queue again.
            logger.warning("handover: the new process is gone; this one serves on")
            self.timers.cancel(self._lease_timer)
            self.successor = None
            self.service.replaced = False
            self.tunnels.ids.stop_sharing()
            self.listener.resume_accepting()

    # -- operators' calls --------------------------------------------------------------------------

    def forward(self, operation: str, name: str, then: Callable[[], None]) -> None:
        """Forwards an operator's call to the other process, and runs `then` once that has acknowledged it.

        If the other process hangs, `then` runs after a time-out: a process that hangs can do no harm
        meanwhile.
        """
        peer = self.successor or self.predecessor
        if peer is None:
            then()
            return
        call = next(self._call_numbers)
        self._unacknowledged[call] = (
            peer,
            self.timers.after_pending_reads(ACKNOWLEDGE_WITHIN, self._acknowledgement_late, call),
            then,
        )
        peer.send(do=operation, name=name, call=call)

    def _acknowledgement_late(self, call: int) -> None:
        logger.warning("handover: the other process did not acknowledge an operator's call")
        self._acknowledged(call)

    def _acknowledged(self, call: int) -> None:
        _, due, then = self._unacknowledged.pop(call, (None, None, None))
        if then is not None:
            self.timers.cancel(due)
            then()

    def _run_operation(self, operation: Any, name: Any) -> None:
        if (
            not isinstance(operation, str)
            or operation not in self.service.operations
            or not isinstance(name, str)
        ):
            raise HandoverMessageError(f"unknown operation: {str(operation)[:40]}")
        try:
            self.service.operations[operation](*((name,) if name else ()))
        except UnknownBackendError:
            logger.info("handover: {} {}: unknown backend", operation, name)
        except TypeError as why:
            raise HandoverMessageError(f"wrong arguments of operation {operation}") from why
