"""Messages between two processes of a relay during a hot restart: lines of JSON, and the state in them."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple

# Version of the protocol. A process that asks in another version is refused and starts without the old state.
VERSION = 2
# Far above the size of any list of backends; a longer message is refused.
MAX_MESSAGE_BYTES = 8 << 20


class HandoverMessageError(Exception):
    """Raised for a message of the other process that is malformed or unexpected."""


class HandoverState(NamedTuple):
    """The state that the old process passes to the new one. The field names are keys of the JSON message.

    Times are in ns.
    """

    until: int  # end of the lease on the monotonic clock, which all processes of the machine share
    revision: int | None  # of the list of backends
    members: list[dict[str, Any]]  # entries of the list as discovery sent them
    banned: dict[str, int]  # backends that operators took offline, and since when
    back: dict[str, int]  # backends that operators brought online again, and when
    away: bool  # whether the relay is out of service
    ids: list[str]  # of the connections that are open at the old process
    held: int  # descriptors that the old process uses
    beliefs: dict[str, Any]  # what the policy has learned; see learned_state.py
    # The old process's clock, on which `banned` and `back` are given, and Unix time as it knew it, each minus
    # the monotonic clock. Releases that don't send them are assumed to have the same offsets as this process.
    clock_offset: int | None = None
    unix_offset: int | None = None
    # Hashes of the ids of ended requests that must not run again; sent to a process that decides on ids.
    finished_ids: list[int] | None = None


def parse_handover_state(line: bytes) -> HandoverState:
    """Parses and checks the old process's answer; raises HandoverMessageError."""
    message = read_message(line)
    if message.get("version") != VERSION:
        raise HandoverMessageError(f"version {message.get('version')!r}: {str(message.get('no'))[:80]}")
    try:
        state = HandoverState(**message["estate"])
    except (KeyError, TypeError) as why:
        raise HandoverMessageError(f"not a hand-over state: {why!r}") from why
    wrong = [name for name, is_valid in FIELD_CHECKS.items() if not is_valid(getattr(state, name))]
    if wrong:
        raise HandoverMessageError(f"not a hand-over state: wrong type of {', '.join(wrong)}")
    return state


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
    "finished_ids": lambda value: value is None or (type(value) is list and all(map(_is_number, value))),
}


def read_message(line: bytes) -> dict[str, Any]:
    """Parses one line as a JSON object; raises HandoverMessageError."""
    try:
        message = json.loads(line)
    except (ValueError, RecursionError) as why:
        raise HandoverMessageError(f"not JSON: {why}") from why
    if not isinstance(message, dict):
        raise HandoverMessageError("not an object")
    return message


def encode_message(**fields: Any) -> bytes:
    """Encodes a message as one line; the keywords are the keys of the JSON object."""
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"
