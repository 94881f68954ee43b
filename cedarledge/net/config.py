"""What a relay is told at its start and on SIGHUP, from the file that BALANCER_CONFIG names."""

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
# Of opening and reading a file: it may be read in a moment.
NOT_READ = TRANSIENT_IO_ERRORS | {errno.EIO}
# How often a start tries to read its file, and how far apart in seconds.
START_READ_ATTEMPTS, READ_AGAIN = 20, 0.05


class BadConfigError(Exception):
    """The relay can't start, or go on, with what it was told."""


class TransientConfigError(BadConfigError):
    """The file can't be read for want of something that this machine may have in a moment."""


class RelayConfig(NamedTuple):
    name: str
    listen: Address
    discovery: Address
    control: Address | None  # where operators call; None: nowhere
    inherited: int | None  # the descriptor of the clients' listening socket; None: it is this process's own
    seed: int
    sockets: int
    known: dict[str, Any]
    settings: dict[str, Any]


def parse_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not 0 < int(port) < 65536:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)


def _control_address(told: Any) -> Address:
    try:
        return parse_address(told)
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


def _read_file(path: Path) -> bytes:
    return path.read_bytes()


def _read_patiently(path: Path, tries: int) -> bytes:
    """Reads a file, and waits a little before each further try where this machine lacks something for it.
    Raises BadConfigError."""
    for left in reversed(range(tries)):
        try:
            return _read_file(path)
        except OSError as why:
            if why.errno not in NOT_READ:
                raise BadConfigError(f"{path}: {why.strerror}") from why
            if not left:
                raise TransientConfigError(f"{path}: {why.strerror}") from why
        time.sleep(READ_AGAIN)
    raise ValueError(f"tries: {tries}")


def read_config(environ: Mapping[str, str], tries: int = 1) -> RelayConfig:
    """What BALANCER_CONFIG's file tells. With more tries than one it waits in between for a file that can't
    be read for a moment. Raises BadConfigError; ShortageError where another try may read it."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise BadConfigError("BALANCER_CONFIG is not set")
    try:
        told = json.loads(_read_patiently(Path(path), tries))
    except (ValueError, RecursionError) as why:
        raise BadConfigError(f"{path}: not JSON: {why}") from why
    try:
        # The platform's word to this process goes before the file's, which two processes may share.
        control = environ.get("BALANCER_CONTROL") or told.get("control")
        config = RelayConfig(
            name=str(told["name"]),
            listen=parse_address(told["listen"]),
            discovery=parse_address(told["discovery"]),
            control=None if control is None else _control_address(control),
            inherited=_listening(environ.get("BALANCER_LISTEN_FD")),
            seed=int(told["seed"], 16),
            sockets=int(told["limits"]["sockets"]),
            known=dict(told["known"]),
            settings=told["settings"],
        )
        check_settings(config.settings)
        return config
    except KeyError as why:
        raise BadConfigError(f"{path}: {why} is missing") from why
    except (TypeError, ValueError, AttributeError) as why:
        raise BadConfigError(f"{path}: {why}") from why
