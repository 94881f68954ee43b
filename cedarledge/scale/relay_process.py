"""Starts a real relay process that uses the discovery and the backends of this process."""

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

READY_TIMEOUT = 30.0
READY_POLL_INTERVAL = 0.05


class RelayError(Exception):
    """A relay process did not start, or accepts too few connections."""


class RelayProcess:
    """One relay process. The caller ends it with `stop`."""

    def __init__(
        self, folder: Path, name: str, address: str, discovery: Discovery, backends: Backends
    ) -> None:
        """Prepares the configuration; `folder` receives it and the log, the relay listens on `address`.

        `config` may be changed until `start` is called.
        """
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
            "known": {"revision": REVISION, "complete": True, "members": backends.discovery_entries()},
            "settings": RELAY_SETTINGS,
        }
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Returns the process id of the running process."""
        assert self.process is not None
        return self.process.pid

    def start(self, arguments: Sequence[str] = ("-m", "cedarledge"), **environment: str) -> None:
        """Starts the Python interpreter with these arguments and extra environment variables."""
        config = self.folder / f"{self.name}.json"
        config.write_text(json.dumps(self.config))
        log = (self.folder / f"{self.name}.log").open("ab")
        process_environment = os.environ | {"BALANCER_CONFIG": str(config)} | environment
        self.process = subprocess.Popen(
            [sys.executable, *arguments], stderr=log, stdout=log, env=process_environment
        )
        log.close()

    async def wait_until_ready(self) -> None:
        """Waits until the relay accepts connections.

        Raises RelayError with the end of its log if it exits, or does not accept within READY_TIMEOUT.
        """
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline and self.process is not None and self.process.poll() is None:
            try:
                _, writer = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(READY_POLL_INTERVAL)
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
    """Returns a loopback address whose TCP port is free at the time of the call."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return "{}:{}".format(*listener.getsockname())
