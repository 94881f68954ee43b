"""What a relay is told at its start and on SIGHUP, from the file that BALANCER_CONFIG names."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from cedarledge.settings import check_settings

Address = tuple[str, int]


class BadConfigError(Exception):
    """The relay can't start, or go on, with what it was told."""


class StartingOrders(NamedTuple):
    name: str
    listen: Address
    discovery: Address
    control: Address | None  # where operators call; None: nowhere
    inherited: int | None  # the descriptor of the clients' listening socket; None: it is this process's own
    seed: int
    sockets: int
    known: dict[str, Any]
    settings: dict[str, Any]


def address_of(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not 0 < int(port) < 65536:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)


def _control_address(told: Any) -> Address:
    try:
        return address_of(told)
    except (ValueError, AttributeError) as why:
        raise ValueError(f"control: expected an address and a port, got {told!r}") from why


def _listening(told: str | None) -> int | None:
    """The descriptor, if it is one and its socket listens."""
    if not told:
        return None
    try:
        with socket.socket(fileno=os.dup(int(told))) as found:
            listens = found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            if found.family != socket.AF_INET or not listens:
                raise ValueError("it does not listen")
    except (ValueError, OverflowError, OSError) as why:
        raise ValueError(f"BALANCER_LISTEN_FD: expected a listening socket, got {told!r}: {why}") from why
    return int(told)


def read_orders(environ: Mapping[str, str]) -> StartingOrders:
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise BadConfigError("BALANCER_CONFIG is not set")
    try:
        told = json.loads(Path(path).read_bytes())
    except OSError as why:
        raise BadConfigError(f"{path}: {why.strerror}") from why
    except (ValueError, RecursionError) as why:
        raise BadConfigError(f"{path}: not JSON: {why}") from why
    try:
        # The platform's word to this process goes before the file's, which two processes may share.
        control = environ.get("BALANCER_CONTROL") or told.get("control")
        orders = StartingOrders(
            name=str(told["name"]),
            listen=address_of(told["listen"]),
            discovery=address_of(told["discovery"]),
            control=None if control is None else _control_address(control),
            inherited=_listening(environ.get("BALANCER_LISTEN_FD")),
            seed=int(told["seed"], 16),
            sockets=int(told["limits"]["sockets"]),
            known=dict(told["known"]),
            settings=told["settings"],
        )
        check_settings(orders.settings)
        return orders
    except KeyError as why:
        raise BadConfigError(f"{path}: {why} is missing") from why
    except (TypeError, ValueError, AttributeError) as why:
        raise BadConfigError(f"{path}: {why}") from why
