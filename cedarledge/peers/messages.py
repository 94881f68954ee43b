"""What relays say to each other: one datagram a message, msgspec structs in MessagePack.

Structs are arrays on the wire, so a newer format may add fields at the end and is still understood. All
bounds are part of the types: what does not fit them is malformed.
"""

from __future__ import annotations

from enum import IntEnum
from functools import lru_cache
from ipaddress import IPv4Address, IPv4Network
from typing import Annotated

import msgspec
from msgspec import Meta

# The oldest format that is understood, and the one that is spoken.
OLDEST_FORMAT, FORMAT = 1, 1
# A datagram's bytes: within one packet everywhere, tunnels of networks included.
MAX_DATAGRAM_BYTES = 1200
# Incarnations and counts wrap here; see newer().
COUNTER_MODULUS = 1 << 32
# What a relay may tell of itself, all fields together, encoded.
MAX_METADATA_BYTES = 480

# Plain characters of one byte each: a name's length is its size in a datagram.
PRINTABLE_ASCII = "^[ -~]*$"
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=PRINTABLE_ASCII)]
Address = Annotated[str, Meta(max_length=21)]  # dotted IPv4 and a port
WrappingCounter = Annotated[int, Meta(ge=0, lt=COUNTER_MODULUS)]
FieldName = Annotated[str, Meta(min_length=1, max_length=24)]
# Numbers of every sort before text: a value is one of few plain things.
MetadataValue = bool | int | float | Annotated[str, Meta(max_length=64)]
# What a relay tells of itself: a value for each name, and the teller's own count when it told it.
Metadata = Annotated[dict[FieldName, tuple[WrappingCounter, MetadataValue]], Meta(max_length=24)]


class State(IntEnum):
    """What a member is held to be. Of two words of one life and incarnation the higher holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(IntEnum):
    PING = 0  # number, target: who is meant
    ACK = 1  # number
    ASK = 2  # number, target, at: ping it for me
    NACK = 3  # number: no answer from the one you asked for
    NEWS = 4
    SYNC = 5  # digest: of all that the sender knows; number 1: it is an answer to one
    SHOW = 6  # staff: the view from row `number` on


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """One member, as somebody holds it to be."""

    name: Name
    address: Address
    instance_id: Annotated[int, Meta(ge=0, lt=1 << 62)]  # drawn at the start of its process
    incarnation: WrappingCounter
    state: State
    accuser: Annotated[str, Meta(max_length=64, pattern=PRINTABLE_ASCII)] = ""  # who suspects it
    metadata: Metadata = {}


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One datagram. The sender's own name, address, life and incarnation stand in each."""

    format: Annotated[int, Meta(ge=0)]
    fleet: Name
    kind: Kind
    name: Name
    address: Address
    instance_id: Annotated[int, Meta(ge=0, lt=1 << 62)]
    incarnation: WrappingCounter
    number: WrappingCounter = 0
    target: Annotated[str, Meta(max_length=64, pattern=PRINTABLE_ASCII)] = ""
    target_address: Address = ""
    digest: Annotated[int, Meta(ge=0, lt=1 << 62)] = 0
    updates: Annotated[list[MemberUpdate], Meta(max_length=64)] = []


class Row(msgspec.Struct, array_like=True, frozen=True):
    """One member as staff see it; for is how long it has been so, ms."""

    name: str
    address: str
    state: str
    for_ms: int
    incarnation: int
    told: dict[str, MetadataValue]


class View(msgspec.Struct, array_like=True, frozen=True):
    """An answer to SHOW: rows from `first` on, of `total`; counts of what was dropped, and the local
    health."""

    format: int
    fleet: str
    name: str
    first: int
    total: int
    health: int
    counts: dict[str, int]
    rows: list[Row]


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
decode_view = msgspec.msgpack.Decoder(View).decode


class Header(msgspec.Struct, array_like=True, frozen=True):
    """The part of any message by which it is told whether the rest can be read."""

    format: int
    fleet: Name


decode_header = msgspec.msgpack.Decoder(Header).decode

# There is no sign-in, so nothing is heard from or sent to anywhere but these.
PRIVATE_NETWORKS = tuple(
    IPv4Network(net) for net in ("127.0.0.0/8", "10.0.0.0/8", "172.16.0.0/12", "192.168.0.0/16")
)


@lru_cache(maxsize=8192)
def parse_private_address(address: str) -> tuple[str, int]:
    """Host and port of a loopback or private address. Raises ValueError for any other."""
    host, _, port = address.rpartition(":")
    found = IPv4Address(host)
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"no port: {address!r}")
    if not any(found in net for net in PRIVATE_NETWORKS):
        raise ValueError(f"neither loopback nor private: {address!r}")
    return host, int(port)


def is_newer(one: int, other: int) -> bool:
    """Of two counts that wrap, whether `one` is the later: less than half of the way round ahead."""
    return 0 < (one - other) % COUNTER_MODULUS < COUNTER_MODULUS // 2
