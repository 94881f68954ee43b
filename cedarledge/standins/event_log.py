"""What the stand-ins write down, each process in a book of its own; the judge reads them all.

A book is a file of msgpack records, each behind its length. It is written as things happen, so that a process
that dies leaves what it saw. Times are ns after the run's start.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO

import msgspec


class BoxAttempt(msgspec.Struct, tag="Setup", array_like=True):
    """One setup as its box saw it, from the first byte of its line to the end of its connection."""

    box: int
    relay: int
    tun: str
    began: int
    whole: int  # the line's last byte had come
    word: str = ""  # how the box answered: UP, BUSY, ERR, or nothing
    answered: int = -1
    receipt: str = ""
    ended: int = -1
    by_box: bool = False  # the box ended it
    gaps: int = 0  # lines that never came or came twice, out of their numbers
    held: int = 0  # lines that were on their way for over a second


class ClientRequest(msgspec.Struct, tag="Call", array_like=True):
    """One tunnel as its client saw it."""

    tun: str
    relay: int
    profile: int
    began: int  # the line was handed over
    wait: int
    word: str = ""  # UP, BUSY, ERR, CLOSED, GAVE_UP, UNREACHED, or whatever else came
    answered: int = -1
    receipt: str = ""
    more: int = 0  # answers after the last one
    ended: int = -1
    how: str = ""  # an open one's end: MOVE, BYE, cut, left, over
    gaps: int = 0
    held: int = 0


class ListDelivery(msgspec.Struct, tag="Told", array_like=True):
    """Discovery has written to a relay what became of a box."""

    at: int
    relay: int
    box: int
    phase: str
    revision: int


class ColdOverload(msgspec.Struct, tag="Fell", array_like=True):
    """A cold box was pushed over."""

    at: int
    box: int
    asked: float


class UnexpectedLine(msgspec.Struct, tag="Alien", array_like=True):
    """A box was sent what no usual client said."""

    at: int
    box: int
    relay: int
    line: str


class MisbehavingClient(msgspec.Struct, tag="Rude", array_like=True):
    """One bad client: what it did, and how long until it had its error or its end; below 0: never."""

    at: int
    relay: int
    kind: str
    took: int
    word: str


class ServedSecond(msgspec.Struct, tag="Second", array_like=True):
    """One second of one profile's clients in one process: client seconds wanted, and served within the
    goal."""

    second: int
    profile: int
    wanted: float
    served: float


class BoxLoad(msgspec.Struct, tag="BoxSecond", array_like=True):
    """One second of one box."""

    second: int
    box: int
    asked: float
    held: int


class RelayLifetime(msgspec.Struct, tag="Life", array_like=True):
    """One process of a relay, from its start to its end."""

    relay: int
    began: int
    ready: int | None  # first PONG
    ended: int
    how: str  # killed, stopped, crashed, over
    code: int
    cpu_ns: int
    peak_kb: int


class PeerTraffic(msgspec.Struct, tag="Carried", array_like=True):
    """What one relay sent to the others, all told."""

    relay: int
    size: int  # bytes, without headers
    datagrams: int


class MembershipView(msgspec.Struct, tag="Seen", array_like=True):
    """Whom a relay held there to be, by its own word: `self`, or a member's state."""

    at: int
    relay: int
    view: dict[int, str]


class TimerLateness(msgspec.Struct, tag="Late", array_like=True):
    """How late a stand-in process itself ran at the worst: past a bound the run counts for nothing."""

    who: str
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
    """Writes one process's records."""

    def __init__(self, path: str | Path) -> None:
        self._file: IO[bytes] = Path(path).open("wb", buffering=1 << 16)  # noqa: SIM115  closed in close

    def write(self, record: Record) -> None:
        data = _encoder.encode(record)
        self._file.write(_LENGTH.pack(len(data)))
        self._file.write(data)

    def flush(self) -> None:
        self._file.flush()

    def close(self) -> None:
        self._file.close()


def read_event_log(path: str | Path) -> Iterator[Record]:
    """The records of a book; one that was cut off at its end is read up to there."""
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
    return [record for path in paths for record in read_event_log(path)]
