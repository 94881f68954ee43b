"""Configuration of a relay: the JSON file that BALANCER_CONFIG names, read at the start and on SIGHUP."""

from __future__ import annotations

import errno
import json
import os
import socket
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from cedarledge.net.transient_errors import TRANSIENT_IO_ERRORS
from cedarledge.settings import check_settings

Address = tuple[str, int]
# Errors of opening and reading a file that may be gone at the next attempt.
TRANSIENT_READ_ERRORS = TRANSIENT_IO_ERRORS | {errno.EIO}
# Attempts to read the file at the start, and the seconds between two of them.
START_READ_ATTEMPTS, READ_RETRY_DELAY_S = 20, 0.05


class BadConfigError(Exception):
    """Raised for a configuration that can't be used. The message names the file and the problem."""


class TransientConfigError(BadConfigError):
    """Raised if the file can't be read at present, for lack of descriptors or memory for instance."""


class RelayConfig(NamedTuple):
    """A checked configuration."""

    name: str
    listen: Address
    discovery: Address
    control: Address | None  # address of the operators' HTTP calls; None: not served
    inherited: int | None  # descriptor of the clients' listening socket; None: this process opens its own
    seed: int
    sockets: int
    known: dict[str, Any]
    settings: dict[str, Any]


def parse_address(text: str) -> Address:
    """Parses `host:port`; raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not 0 < int(port) < 65536:
        raise ValueError(f"not an address with a port: {text!r}")
    return host, int(port)


def _control_address(value: Any) -> Address:
    try:
        return parse_address(value)
    except (ValueError, AttributeError) as why:
        raise ValueError(f"control: expected an address and a port, got {value!r}") from why


def _inherited_listener(value: str | None) -> int | None:
    """Returns the descriptor if it is that of a listening IPv4 socket; raises ValueError."""
    if not value:
        return None
    try:
        with socket.socket(fileno=os.dup(int(value))) as listener:
            listens = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            if listener.family != socket.AF_INET or not listens:
                raise ValueError("not a listening IPv4 socket")
    except (ValueError, OverflowError, OSError) as why:
        raise ValueError(f"BALANCER_LISTEN_FD: expected a listening socket, got {value!r}: {why}") from why
    return int(value)


def _read_file(path: Path) -> bytes:
    return path.read_bytes()


def _read_with_retries(path: Path, attempts: int) -> bytes:
    """Reads a file in at most `attempts` attempts, with a short wait before each retry of a transient error.

    Raises BadConfigError; TransientConfigError if the last attempt failed with a transient error.
    """
    for remaining in reversed(range(attempts)):
        try:
            return _read_file(path)
        except OSError as why:
            if why.errno not in TRANSIENT_READ_ERRORS:
                raise BadConfigError(f"{path}: {why.strerror}") from why
            if not remaining:
                raise TransientConfigError(f"{path}: {why.strerror}") from why
        time.sleep(READ_RETRY_DELAY_S)
    raise ValueError(f"attempts: {attempts}")


def read_config(environ: Mapping[str, str], attempts: int = 1) -> RelayConfig:
    """Reads and checks the file that BALANCER_CONFIG names.

    With more than one attempt it blocks for a moment between them. Raises BadConfigError;
    TransientConfigError if a later attempt may succeed.
    """
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise BadConfigError("BALANCER_CONFIG is not set")
    try:
        data = json.loads(_read_with_retries(Path(path), attempts))
    except (ValueError, RecursionError) as why:
        raise BadConfigError(f"{path}: not JSON: {why}") from why
    try:
        # The environment, which is this process's own, overrides the file, which two processes may share.
        control = environ.get("BALANCER_CONTROL") or data.get("control")
        config = RelayConfig(
            name=str(data["name"]),
            listen=parse_address(data["listen"]),
            discovery=parse_address(data["discovery"]),
            control=None if control is None else _control_address(control),
            inherited=_inherited_listener(environ.get("BALANCER_LISTEN_FD")),
            seed=int(data["seed"], 16),
            sockets=int(data["limits"]["sockets"]),
            known=dict(data["known"]),
            settings=data["settings"],
        )
        check_settings(config.settings)
        return config
    except KeyError as why:
        raise BadConfigError(f"{path}: {why} is missing") from why
    except (TypeError, ValueError, AttributeError) as why:
        raise BadConfigError(f"{path}: {why}") from why
