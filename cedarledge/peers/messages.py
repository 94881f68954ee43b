"""Datagrams of the membership protocol: one message per datagram, msgspec structs encoded as MessagePack.

Structs are encoded as arrays, so a newer format may append fields and older relays still decode it. The types
carry all bounds; a message that violates one is malformed.
"""

from __future__ import annotations

from enum import IntEnum
from functools import lru_cache
from ipaddress import IPv4Address, IPv4Network
from typing import Annotated

import msgspec
from msgspec import Meta

# The oldest format that is accepted, and the format that is sent.
OLDEST_FORMAT, FORMAT = 1, 1
# Upper bound of a datagram: fits into one IP packet on every network, also through network tunnels.
MAX_DATAGRAM_BYTES = 1200
# Incarnations and other counters wrap around at this value; is_newer() compares them.
COUNTER_MODULUS = 1 << 32
# Upper bound of a relay's metadata: all fields together, encoded.
MAX_METADATA_BYTES = 480

# One byte per character, so the length of a name is its size in a datagram.
PRINTABLE_ASCII = "^[ -~]*$"
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=PRINTABLE_ASCII)]
Address = Annotated[str, Meta(max_length=21)]  # dotted IPv4 and a port
WrappingCounter = Annotated[int, Meta(ge=0, lt=COUNTER_MODULUS)]
FieldName = Annotated[str, Meta(min_length=1, max_length=24)]
# Only scalars and short strings.
MetadataValue = bool | int | float | Annotated[str, Meta(max_length=64)]
# What a relay publishes about itself: per field, its own version counter at the change, and the value.
Metadata = Annotated[dict[FieldName, tuple[WrappingCounter, MetadataValue]], Meta(max_length=24)]


class State(IntEnum):
    """State of a member. Between two updates of one instance and incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(IntEnum):
    """Message types, with the fields that each uses besides the sender and the piggybacked updates."""

    PING = 0  # number; target: name of the member that is probed
    ACK = 1  # number: of the PING
    ASK = 2  # SWIM's ping-req. number; target, target_address: the member to probe on the sender's behalf
    NACK = 3  # number: of the ASK whose target did not answer
    NEWS = 4  # carries updates only
    SYNC = 5  # starts a full exchange. digest: of the sender's view; number 1: reply to another SYNC
    SHOW = 6  # an operator's request for the view, from row `number` on


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The state of one member as the sender knows it."""

    name: Name
    address: Address
    instance_id: Annotated[int, Meta(ge=0, lt=1 << 62)]  # random, drawn when its process starts
    incarnation: WrappingCounter
    state: State
    # Name of the member that suspects it.
    accuser: Annotated[str, Meta(max_length=64, pattern=PRINTABLE_ASCII)] = ""
    metadata: Metadata = {}


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One datagram. Each carries the sender's own name, address, instance and incarnation."""

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
    """One member in a view shown to operators. Field names are keys of `cedarledge peers --json`.

    `for_ms` is the time since the last change of state; `told` is the member's metadata.
    """

    name: str
    address: str
    state: str
    for_ms: int
    incarnation: int
    told: dict[str, MetadataValue]


class View(msgspec.Struct, array_like=True, frozen=True):
    """Reply to SHOW. Field names are keys of `cedarledge peers --json`.

    Holds the rows from `first` on, out of `total`; `health` is Lifeguard's local health score, 0 is healthy;
    `counts` has the dropped datagrams and updates by reason.
    """

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
    """The leading fields of any message: enough to decide whether the rest can be decoded."""

    format: int
    fleet: Name


decode_header = msgspec.msgpack.Decoder(Header).decode

# The protocol has no authentication, so addresses outside these networks are rejected in both directions.
PRIVATE_NETWORKS = tuple(
    IPv4Network(network) for network in ("127.0.0.0/8", "10.0.0.0/8", "172.16.0.0/12", "192.168.0.0/16")
)


@lru_cache(maxsize=8192)
def parse_private_address(address: str) -> tuple[str, int]:
    """Returns host and port of a loopback or private IPv4 address. Raises ValueError for any other."""
    host, _, port = address.rpartition(":")
    ip = IPv4Address(host)
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"no valid port: {address!r}")
    if not any(ip in network for network in PRIVATE_NETWORKS):
        raise ValueError(f"neither loopback nor private: {address!r}")
    return host, int(port)


def is_newer(counter: int, reference: int) -> bool:
    """Whether a wrapping counter is later than a reference: ahead of it by less than half of the range."""
    return 0 < (counter - reference) % COUNTER_MODULUS < COUNTER_MODULUS // 2
