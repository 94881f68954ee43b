"""From one process of a relay to the next, where both inherit the clients' listening socket.

The new process asks the old one over a Unix socket in $TMPDIR, and has the answer before it serves. From its
answer on the old one takes no connections in, for as long as a lease; the new one opens its listener within
it and says so. Their connection stays: by it each tells the other what operators call, and the old one what
it still holds. Lines of JSON, both ways.
"""

from __future__ import annotations

import json
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
from cedarledge.net.interfaces import Frontend
from cedarledge.net.line_connection import ConnectionContext
from cedarledge.net.service import ServiceState, UnknownBackendError
from cedarledge.net.timers import Timer
from cedarledge.net.tunnels import Tunnels
from cedarledge.settings import stable_hash
from cedarledge.terms import MS, ListForm

# Of what is told. Another version is not understood, and who asks in one goes on alone.
VERSION = 2
# How long the old one may take to answer: the new one has 6 s for its whole start.
ANSWER_TIMEOUT_S = 1.5
# How long the old one takes no connections in without a word that the new one does.
LEASE = 1500 * MS
# For the other process to say that it has heard a call; operators are owed their answer within 1 s.
ACKNOWLEDGE_WITHIN = 500 * MS
REPORT_HELD_EVERY = 250 * MS
# No list comes near this; a message past it is not read on.
MAX_MESSAGE_BYTES = 8 << 20
MAX_FOLDER_PATH_BYTES = 60
# Of the fields of /proc/PID/stat behind the process's name.
START_TIME_FIELD = 19


class HandoverMessageError(Exception):
    """What the other side says can't be used."""


class HandoverState(NamedTuple):
    """What the old process leaves to the new one."""

    until: int  # on the clock that all processes of a machine share: the lease's end
    revision: int | None
    members: list[dict[str, Any]]
    banned: dict[str, int]
    back: dict[str, int]
    away: bool
    ids: list[str]
    held: int
    beliefs: dict[str, Any]
    # How far the old process's clock, by which `banned` and `back` are told, and Unix time as it knew it
    # stand from the clock that both share. A release that does not tell is taken to have had this one's.
    clock_offset: int | None = None
    unix_offset: int | None = None


def parse_handover_state(line: bytes) -> HandoverState:
    told = read_message(line)
    if told.get("version") != VERSION:
        raise HandoverMessageError(f"version {told.get('version')!r}: {str(told.get('no'))[:80]}")
    try:
        estate = HandoverState(**told["estate"])
    except (KeyError, TypeError) as why:
        raise HandoverMessageError(f"not an estate: {why!r}") from why
    wrong = [name for name, is_right in FIELD_CHECKS.items() if not is_right(getattr(estate, name))]
    if wrong:
        raise HandoverMessageError(f"not an estate: {', '.join(wrong)}")
    return estate


def _is_number(value: Any) -> bool:
    return type(value) is int


def _are_times(value: Any) -> bool:
    return type(value) is dict and all(type(time) is int for time in value.values())


FIELD_CHECKS: dict[str, Callable[[Any], bool]] = {
    "until": _is_number,
    "revision": lambda value: value is None or _is_number(value),
    "members": lambda value: type(value) is list and all(type(entry) is dict for entry in value),
    "banned": _are_times,
    "back": _are_times,
    "away": lambda value: type(value) is bool,
    "ids": lambda value: type(value) is list and all(type(name) is str for name in value),
    "held": _is_number,
    "beliefs": lambda value: type(value) is dict,
    "clock_offset": lambda value: value is None or _is_number(value),
    "unix_offset": lambda value: value is None or _is_number(value),
}


def read_message(line: bytes) -> dict[str, Any]:
    try:
        told = json.loads(line)
    except (ValueError, RecursionError) as why:
        raise HandoverMessageError(f"not JSON: {why}") from why
    if not isinstance(told, dict):
        raise HandoverMessageError("not an object")
    return told


def encode_message(**fields: Any) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def is_same_user(link: socket.socket) -> bool:
    """Whether the peer runs as the same user as this process."""
    user = struct.unpack("3i", link.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))[1]
    return user == os.getuid()


class PredecessorReply(NamedTuple):
    """The process before: the connection to it, what it leaves, and what more it has said by then."""

    link: socket.socket
    estate: HandoverState
    rest: bytes


def ask_predecessor(folder: Path, name: str) -> PredecessorReply | None:
    """The process before, the newest first; None where there is none that answers. It waits, as nothing is
    served yet."""
    by = time.monotonic() + ANSWER_TIMEOUT_S
    paths = set(folder.glob(socket_path(folder, name, "*").name)) - {socket_path(folder, name)}
    for path in sorted(paths, key=_process_started_at, reverse=True):
        link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            return PredecessorReply(link, *_exchange(link, path, name, by))
        except (ConnectionRefusedError, FileNotFoundError):
            logger.info("handover: {} is left over, nobody listens there", path.name)
        except (OSError, HandoverMessageError) as why:
            logger.warning("handover: {}: {}", path.name, why)
        link.close()
    return None


def _process_started_at(path: Path) -> int:
    """When the process behind a socket started, in clock ticks since the machine did; 0: it has ended. The
    file's own time would be by the wall clock, and the older of two processes could seem the newer."""
    process = path.stem.rpartition("-")[2]
    try:
        status = Path(f"/proc/{process}/stat").read_text()
    except OSError:
        return 0
    # The second field is a name in parentheses, and may hold anything.
    return int(status.rpartition(")")[2].split()[START_TIME_FIELD])


def _exchange(link: socket.socket, path: Path, name: str, by: float) -> tuple[HandoverState, bytes]:
    def left() -> float:
        if time.monotonic() >= by:
            raise TimeoutError("no answer in time")
        return by - time.monotonic()

    link.settimeout(left())
    link.connect(str(path))
    if not is_same_user(link):
        raise HandoverMessageError("another user's")
    link.sendall(encode_message(version=VERSION, name=name))
    data = bytearray()
    while b"\n" not in data:
        link.settimeout(left())
        part = link.recv(1 << 16)
        if not part:
            raise HandoverMessageError("it ended before its answer did")
        data += part
        if len(data) > MAX_MESSAGE_BYTES:
            raise HandoverMessageError("an answer past all measure")
    line, _, rest = bytes(data).partition(b"\n")
    return parse_handover_state(line), rest


def _short_path(folder: Path) -> Path:
    """The folder by a path that leaves room for a name in a Unix socket's address, of 108 bytes in all."""
    if len(os.fsencode(folder)) <= MAX_FOLDER_PATH_BYTES or not folder.is_dir():
        return folder
    # Kept for as long as this process runs: the system follows the descriptor to the folder.
    return Path(f"/proc/self/fd/{os.open(folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)}")


def socket_path(folder: Path, name: str, process: int | str = "") -> Path:
    return folder / f"cedarledge-{stable_hash(name):x}-{process or os.getpid()}.sock"


class PeerProcess(Protocol):
    """The connection to the other process. It is the handover's until it is lost."""

    transport: Any

    def __init__(self, handover: Handover) -> None:
        self.handover = handover
        self.rest = b""

    def connectionMade(self) -> None:  # noqa: N802
        if not is_same_user(self.transport.socket):
            logger.warning("handover: another user's process asked")
            self.transport.abortConnection()

    def send(self, **fields: Any) -> None:
        self.transport.write(encode_message(**fields))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        *lines, self.rest = (self.rest + data).split(b"\n")
        try:
            for line in lines:
                self.handover.message_received(self, read_message(line))
            if len(self.rest) > MAX_MESSAGE_BYTES:
                raise HandoverMessageError("a message past all measure")
        except HandoverMessageError as why:
            logger.warning("handover: {}", why)
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        self.handover.connection_lost(self)


class Handover(ServerFactory):
    """Both ends of it: a process takes over when it starts, and hands over when the next one does."""

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
        self.predecessor: PeerProcess | None = None  # the process that this one took over from
        self.successor: PeerProcess | None = None  # the one that takes over from this one
        self._lease_timer: Timer | None = None
        self._call_numbers = count(1)
        self._unacknowledged: dict[int, tuple[PeerProcess, Timer, Callable[[], None]]] = {}

    def listen(self) -> None:
        """A process that can't be asked still serves; the next one then goes on alone."""
        path = socket_path(self.folder, self.name)
        mask = os.umask(0o177)
        try:
            path.unlink(missing_ok=True)
            self.reactor.listenUNIX(str(path), self, mode=0o600, backlog=4)
        except (OSError, CannotListenError) as why:
            logger.error("handover: can't be asked: {}", why)
        finally:
            os.umask(mask)

    def buildProtocol(self, addr: IAddress) -> PeerProcess:  # noqa: N802
        return PeerProcess(self)

    # -- taking over -------------------------------------------------------------------------------

    def take_over(self) -> None:
        """From the process before, if there is one that answers. The listener is to be opened next: that one
        leaves it to this one for as long as the lease."""
        for _ in range(2):
            found = ask_predecessor(self.folder, self.name)
            if found is None:
                break
            self._adopt_connection(found)
            try:
                self._import_state(found.estate)
            except (KeyError, TypeError, ValueError, AttributeError) as why:
                logger.warning("handover: what the process before leaves can't be used: {!r}", why)
                self._abandon()
                break
            if time.monotonic_ns() < found.estate.until:
                logger.info("handover: takes over")
                self.predecessor.send(taken=True)
                return
            # This process was held up past the lease, and the one before takes connections in again.
            self._abandon()
        logger.info("handover: goes on alone")

    def _import_state(self, estate: HandoverState) -> None:
        backend_ids, shared_now = self.registry.backend_ids, time.monotonic_ns()
        own_offset = self.timers.now() - shared_now
        # The wall clock may have been stepped between the starts of the two.
        shift = 0 if estate.clock_offset is None else own_offset - estate.clock_offset
        if estate.unix_offset is not None:
            self.registry.start_times.adopt_unix_offset(estate.unix_offset, shared_now)
        self.registry.banned = {backend_ids[name]: since + shift for name, since in estate.banned.items()}
        self.registry.readmitted = {backend_ids[name]: at + shift for name, at in estate.back.items()}
        self.registry.apply_list(ListForm.WHOLE, estate.members)
        learned_state.import_state(
            self.registry.policy_host.balancer, self.registry.host_types, estate.beliefs, self.timers.now()
        )
        self.watch.resume_from(estate.revision)
        self.tunnels.predecessor_ids = frozenset(estate.ids)
        self.tunnels.saw_new_request = True
        self.connections.reserved = estate.held
        if estate.away:
            self.service.leave_service()

    def _adopt_connection(self, found: PredecessorReply) -> None:
        """The connection stays, on the reactor from here on."""
        link, _, rest = found
        link.setblocking(False)
        try:
            self.predecessor = PeerProcess(self)
            self.service.taking_over = True
            self.reactor.adoptStreamConnection(
                link.fileno(), socket.AF_UNIX, SingleProtocolFactory(self.predecessor)
            )
        finally:
            link.close()  # the reactor has its own
        # After what is left: that is followed first.
        self.timers.after(0, self.predecessor.dataReceived, rest)

    def _abandon(self) -> None:
        before, self.predecessor = self.predecessor, None
        self.service.taking_over = False
        self.connections.reserved = 0
        self.tunnels.predecessor_ids = frozenset()
        before.transport.abortConnection()

    def detach(self) -> None:
        """This process ends, and takes nothing in for all that the other one's connection goes with it."""
        self.predecessor = self.successor = None

    # -- what the other process says ---------------------------------------------------------------

    def message_received(self, peer: PeerProcess, told: dict[str, Any]) -> None:
        if "version" in told:
            self._takeover_requested(peer, told)
        elif peer not in (self.predecessor, self.successor):
            raise HandoverMessageError("a stranger's message")
        elif "taken" in told:
            self._takeover_confirmed(peer)
        elif type(told.get("held")) is int:
            self._set_lent(max(0, told["held"]))
        elif "do" in told:
            self._run_operation(told["do"], told.get("name", ""))
            peer.send(done=told.get("call"))
        elif type(told.get("done")) is int:
            self._acknowledged(told["done"])
        else:
            raise HandoverMessageError(f"unknown: {sorted(told)[:5]}")

    def _set_lent(self, held: int) -> None:
        # A listener that stopped for want of room hears of no connection of its own that has gone.
        self.connections.reserved = held
        self.listener.slots_freed()

    def _takeover_requested(self, peer: PeerProcess, told: dict[str, Any]) -> None:
        if told["version"] != VERSION or told.get("name") != self.name:
            logger.warning("handover: asked by {} in version {}", told.get("name"), told["version"])
            peer.send(version=VERSION, no="another version or another relay")
            return
        if self.successor is not None:
            logger.warning("handover: asked again, the last who asked is given up")
            self.successor.transport.abortConnection()
        logger.info("handover: a new process asks; nothing more is taken in here")
        self.successor = peer
        self.listener.pause_accepting()
        # The other's word that it has taken over may lie unread where this process was paused.
        self._lease_timer = self.timers.after_pending_reads(LEASE, self._lease_expired, peer)
        names, shared_now = self.registry.backend_ids.names, time.monotonic_ns()
        estate = HandoverState(
            shared_now + LEASE,
            self.watch.revision,
            list(self.registry.entries.values()),
            {names[backend_id]: since for backend_id, since in self.registry.banned.items()},
            {names[backend_id]: at for backend_id, at in self.registry.readmitted.items()},
            self.listener.out_of_service,
            sorted(self.tunnels.ids),
            self._descriptors_held(),
            learned_state.export_state(
                self.registry.policy_host.balancer, self.registry.host_types, self.timers.now()
            ),
            self.timers.now() - shared_now,
            self.registry.start_times.unix_offset(shared_now),
        )
        peer.send(version=VERSION, estate=estate._asdict())

    def _descriptors_held(self) -> int:
        return len(os.listdir("/proc/self/fd")) + self.connections.reserved

    def _lease_expired(self, peer: PeerProcess) -> None:
        logger.warning("handover: the new process did not take over in time")
        peer.transport.abortConnection()

    def _takeover_confirmed(self, peer: PeerProcess) -> None:
        if peer is not self.successor:
            raise HandoverMessageError("it took over unasked")
        self.timers.cancel(self._lease_timer)
        self.service.replaced = True
        logger.info("handover: the new process serves; {} tunnels are left here", self.tunnels.table.used)
        self._report_held(peer)

    def _report_held(self, peer: PeerProcess) -> None:
        if peer is self.successor:
            peer.send(held=self._descriptors_held())
            self.timers.after(REPORT_HELD_EVERY, self._report_held, peer)

    def connection_lost(self, peer: PeerProcess) -> None:
        for call, (asked, _, _) in list(self._unacknowledged.items()):
            if asked is peer:
                self._acknowledged(call)
        if peer is self.predecessor:
            logger.info("handover: the process before has ended")
            self.predecessor = None
            self.service.taking_over = False
            self.tunnels.predecessor_ids = frozenset()
            self._set_lent(0)
        elif peer is self.successor:
            # It died, or never took over: whoever waits in the system's queue is this process's again.
            logger.warning("handover: the new process is gone; this one serves on")
            self.timers.cancel(self._lease_timer)
            self.successor = None
            self.service.replaced = False
            self.listener.resume_accepting()

    # -- what operators call -----------------------------------------------------------------------

    def forward(self, what: str, name: str, then: Callable[[], None]) -> None:
        """Tells the other process, and then calls; a little later all the same where that one hangs, since
        it can do no harm meanwhile."""
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
        peer.send(do=what, name=name, call=call)

    def _acknowledgement_late(self, call: int) -> None:
        logger.warning("handover: the other process did not say that it heard a call")
        self._acknowledged(call)

    def _acknowledged(self, call: int) -> None:
        _, due, then = self._unacknowledged.pop(call, (None, None, None))
        if then is not None:
            self.timers.cancel(due)
            then()

    def _run_operation(self, what: Any, name: Any) -> None:
        if not isinstance(what, str) or what not in self.service.operations or not isinstance(name, str):
            raise HandoverMessageError(f"no call: {str(what)[:40]}")
        try:
            self.service.operations[what](*((name,) if name else ()))
        except UnknownBackendError:
            logger.info("handover: {} {}: not known here", what, name)
        except TypeError as why:
            raise HandoverMessageError(f"no call: {what}") from why
