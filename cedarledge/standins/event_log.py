"""Event logs: each process of a run writes the events that it observes to a file, and the judge reads all
files.

A file is a sequence of msgpack records, each prefixed with its length. Records are written as the events
happen, so a process that dies leaves what it has recorded. All times are ns after the start of the run.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO

import msgspec


class BoxAttempt(msgspec.Struct, tag="Setup", array_like=True):
    """One connection attempt as its box sees it, from the first byte of the request to the connection's
    end."""

    box: int
    relay: int
    connection_id: str
    started_at: int  # the first byte of the request arrived
    received_at: int  # the request was complete
    answer: str = ""  # UP, BUSY, ERR, or empty if the box did not answer
    answered_at: int = -1
    receipt: str = ""
    ended_at: int = -1
    ended_by_box: bool = False
    sequence_gaps: int = 0  # lines with an unexpected sequence number: lost, repeated or reordered
    delayed_lines: int = 0  # lines that took over a second to arrive


class ClientRequest(msgspec.Struct, tag="Call", array_like=True):
    """One connection request as its client sees it, from the request to the connection's end."""

    connection_id: str
    relay: int
    profile: int
    started_at: int  # the request was written
    timeout: int
    answer: str = ""  # UP, BUSY, ERR, CLOSED, GAVE_UP, UNREACHED, or the start of any other line
    answered_at: int = -1
    receipt: str = ""
    extra_answers: int = 0  # lines after the final answer that should not have been sent
    ended_at: int = -1
    end_reason: str = ""  # of an open connection: MOVE, BYE, cut, reset, left, over
    sequence_gaps: int = 0
    delayed_lines: int = 0


class ListDelivery(msgspec.Struct, tag="Told", array_like=True):
    """Discovery wrote the state of a box to a relay."""

    at: int
    relay: int
    box: int
    phase: str
    revision: int


class ColdOverload(msgspec.Struct, tag="Fell", array_like=True):
    """A cold box failed because of overload."""

    at: int
    box: int
    load_ratio: float


class UnexpectedLine(msgspec.Struct, tag="Alien", array_like=True):
    """A box received a line that no well-behaved client sends."""

    at: int
    box: int
    relay: int
    line: str


class MisbehavingClient(msgspec.Struct, tag="Rude", array_like=True):
    """One client that sends invalid input, and how long the relay took to answer or close; below 0: it did
    not."""

    at: int
    relay: int
    kind: str
    closed_after: int
    answer: str


class ServedSecond(msgspec.Struct, tag="Second", array_like=True):
    """One second of one profile's clients in one process, in client seconds: wanted, and served within the
    goal."""

    second: int
    profile: int
    wanted: float
    served: float


class BoxLoad(msgspec.Struct, tag="BoxSecond", array_like=True):
    """Load of one box in one second."""

    second: int
    box: int
    load_ratio: float
    connections: int


class RelayLifetime(msgspec.Struct, tag="Life", array_like=True):
    """One process of a relay, from its start to its end."""

    relay: int
    started_at: int
    ready_at: int | None  # first PONG
    ended_at: int
    end_reason: str  # killed, stopped, crashed, over
    exit_code: int
    cpu_ns: int
    peak_kb: int


class PeerTraffic(msgspec.Struct, tag="Carried", array_like=True):
    """Total that one relay sent to the other relays in a run."""

    relay: int
    bytes_sent: int  # without headers
    datagrams: int


class MembershipView(msgspec.Struct, tag="Seen", array_like=True):
    """The members that a relay reports: by relay, `self` or the member's state."""

    at: int
    relay: int
    view: dict[int, str]


class TimerLateness(msgspec.Struct, tag="Late", array_like=True):
    """Worst delay of an emulator process's own timers; a run with a delay past the judge's limit is
    invalid."""

    process: str
    worst: int
    at: int


Record = (
    BoxAttempt
    | ClientRequest
    | ListDelivery
    | ColdOverload
    | UnexpectedLine
    | MisbehavingClient
    | ServedSecond
    | BoxLoad
    | RelayLifetime
    | PeerTraffic
    | MembershipView
    | TimerLateness
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)
_LENGTH = struct.Struct("<I")


class EventLog:
    """Writes the records of one process to a file."""

    def __init__(self, path: str | Path) -> None:
        """Creates the file, or truncates it."""
        self._file: IO[bytes] = Path(path).open("wb", buffering=1 << 16)  # noqa: SIM115  closed in close

    def write(self, record: Record) -> None:
        """Appends a record to the file's buffer."""
        data = _encoder.encode(record)
        self._file.write(_LENGTH.pack(len(data)))
        self._file.write(data)

    def flush(self) -> None:
        """Passes buffered records to the operating system, so that they survive the death of the process."""
        self._file.flush()

    def close(self) -> None:
        """Flushes and closes the file; nothing can be written after this."""
        self._file.close()


def read_event_log(path: str | Path) -> Iterator[Record]:
    """Yields the records of a file; a truncated last record is left out."""
    data = memoryview(Path(path).read_bytes())
    at = 0
    while at + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, at)
        at += _LENGTH.size
        if at + length > len(data):
            return
        yield _decoder.decode(data[at : at + length])
        at += length


def read_event_logs(paths: Iterable[str | Path]) -> list[Record]:
    """Returns the records of several files, file by file."""
    return [record for path in paths for record in read_event_log(path)]
