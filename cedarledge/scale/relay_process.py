"""Starts a real relay as a process before this process's discovery and backends."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from cedarledge.scale.relay_settings import RELAY_SETTINGS
from cedarledge.scale.traffic import REVISION, Backends, Discovery

READY_WITHIN = 30.0
LOOK_EVERY = 0.05


class RelayError(Exception):
    """A relay process did not start."""


class RelayProcess:
    """One relay; to be ended with `stop`."""

    def __init__(
        self, folder: Path, name: str, address: str, discovery: Discovery, backends: Backends
    ) -> None:
        self.folder = folder
        self.name = name
        host, _, port = address.rpartition(":")
        self.address = host, int(port)
        self.config = {
            "name": name,
            "listen": address,
            "discovery": discovery.address,
            "seed": f"{abs(hash(name)) & 0xFFFFFFFF:016x}",
            "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 19_000},
            "known": {"revision": REVISION, "complete": True, "members": backends.listing()},
            "settings": RELAY_SETTINGS,
        }
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Of the running process."""
        assert self.process is not None
        return self.process.pid

    def start(self, arguments: Sequence[str] = ("-m", "cedarledge"), **environment: str) -> None:
        """Starts the process; `arguments` are those of the interpreter."""
        config = self.folder / f"{self.name}.json"
        config.write_text(json.dumps(self.config))
        log = (self.folder / f"{self.name}.log").open("ab")
        told = os.environ | {"BALANCER_CONFIG": str(config)} | environment
        self.process = subprocess.Popen([sys.executable, *arguments], stderr=log, stdout=log, env=told)
        log.close()

    async def until_ready(self) -> None:
        """Raises RelayError."""
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until and self.process is not None and self.process.poll() is None:
            try:
                _, writer = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(LOOK_EVERY)
                continue
            writer.close()
            return
        log = (self.folder / f"{self.name}.log").read_text(errors="replace")[-500:]
        raise RelayError(f"relay {self.name} did not start: {log}")

    def stop(self) -> None:
        """Kills the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


def free_tcp_address() -> str:
    """One on loopback that nobody listens at."""
    with socket.create_server(("127.0.0.1", 0)) as link:
        return "{}:{}".format(*link.getsockname())
