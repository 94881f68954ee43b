"""Stand-ins that the cases share: backends, discovery, clients and the record; and the start of a relay.

All of it runs on loopback addresses and the real clock. A relay is a process of its own, started with the
`run` command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
# A loopback address of this process's own, so that nobody else takes a port between its choice and its use.
HOST = f"127.{os.getpid() >> 16 & 255}.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 255}"
MEMBER = {"locality": "a", "flavor": "m", "cell": 1, "size": 1.0, "up_since_ms": 0}


class Record:
    """The lines of record.txt: seconds since the start, and what was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        """Starts an empty record."""
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._began

    def __call__(self, text: str) -> float:
        """Writes a line and returns its time."""
        at = self.now()
        self._file.write(f"{at:9.3f}  {text}\n")
        self._file.flush()
        return at


def bound_socket(host: str) -> socket.socket:
    """Returns a socket that is bound to a free port and does not listen yet."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, 0))
    return bound


def free_port(host: str) -> int:
    """Returns a port that nobody listens on."""
    with bound_socket(host) as bound:
        return bound.getsockname()[1]


def settings(profiles: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment; `changes` are whole tables or single values."""
    rows = [
        {
            "name": "route-watch",
            "semantics": "pure",
            "group": "all",
            "window": 5_000_000,
            "setup_goal": 300_000,
            "client_timeout": 1_200_000,
            "credit": 1.0,
            "late_credit": 0.0,
            "stream": True,
            **row,
        }
        for row in profiles
    ]
    result: dict[str, Any] = {
        "allowed": {
            "cancel": True,
            "conn_idle": 15_000_000,
            "connect_timeout": 150_000,
            "max_open": 1_000_000,
            "max_retry_after": 2_000_000,
            "most_setups": 6,
            "probes": True,
            "retry_after": False,
            "second_copies": False,
        },
        "dcs": ["a"],
        "domain": {
            "groups": False,
            "message_aim": [250_000.0] * len(rows),
            "mode": "proxy",
            "tells_delay": True,
            "tells_load": True,
            "tenant_quota_connections": [],
        },
        "group_size": 4,
        "host_types": ["m"],
        "load_report": {"columns": ["recent_ms", "utilization", "x0"], "how": "on_probe"},
        "me": 0,
        "membership_mode": "ask",
        "overage_credit": 0.1,
        "prices": {"cross_zone": 0.01, "probe": 0.0031},
        "profiles": rows,
        "safety": {
            "ask_every": 10_000_000,
            "cold_from": 0.31,
            "drain_grace": 250_000,
            "fall_multiple": 3.0,
            "grace_to_answer": 8000,
            "overload_for": 1_500_000,
            "warm_within": 8_900_000,
        },
        "service_type": "conn",
        "tenants": [],
        "tier": 0,
        "tiers": ["live-feed"],
        "weight_kind": "off",
        "zone": "a",
    }
    for name, value in changes.items():
        if isinstance(value, dict):
            result[name] = {**result[name], **value}
        else:
            result[name] = value
    return result


class Backend:
    """A backend by the protocol page: it answers PING, STATS and OPEN, and echoes the lines of a client."""

    def __init__(self, record: Record, name: str, host: str = HOST) -> None:
        """Takes a free port; `start` listens."""
        self.record = record
        self.name = name
        self.host = host
        self.socket = bound_socket(host)
        self.port = self.socket.getsockname()[1]
        self.load = 0.2
        self.held_open: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.before_stats: Callable[[Backend], None] = lambda _: None  # sets `load` for the next answer
        # Called with the OPEN line's words and the connection; returns the answer, or None for none at all.
        self.on_open: Callable[[list[str], asyncio.StreamWriter], Awaitable[str | None]] = self.serve
        self._accepting: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()
        self._fillers: dict[tuple[str, int], socket.socket] = {}  # connections of its own, by their address

    @property
    def address(self) -> str:
        """Its address as discovery lists it."""
        return f"{self.host}:{self.port}"

    def member(self, phase: str = "up", **other: Any) -> dict[str, Any]:
        """Returns its entry of the list."""
        return {"id": self.name, "host_port": self.address, "phase": phase, **MEMBER, **other}

    async def start(self) -> None:
        """Starts to listen."""
        self.socket.setblocking(False)
        self.resume()

    async def _accept(self) -> None:
        while True:
            link, peer = await asyncio.get_running_loop().sock_accept(self.socket)
            if peer in self._fillers:
                link.close()
                continue
            streams = await asyncio.open_connection(sock=link)
            task = asyncio.create_task(self._connected(*streams))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def pause(self) -> None:
        """Fills the queue of new connections, so that the system holds up further ones until `resume`."""
        self._accepting.cancel()
        self.socket.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._fillers[filler.getsockname()] = filler

    def resume(self) -> None:
        """Accepts connections again."""
        self.socket.listen(1024)
        self._accepting = asyncio.create_task(self._accept())

    def stop(self) -> None:
        """Dies: resets all connections and takes no new ones."""
        self._accepting.cancel()
        self.socket.close()
        for writer in list(self._writers):
            with contextlib.suppress(OSError):
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            writer.transport.abort()

    async def serve(self, words: list[str], _writer: asyncio.StreamWriter) -> str | None:
        """Takes the request."""
        self.record(f"{self.name} runs {words[1]}")
        return f"UP {self.name}-{words[1]}"

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        is_open = False
        self._writers.add(writer)
        try:
            while line := (await reader.readline()).decode("latin-1"):
                words = line.split()
                if not line.endswith("\r\n"):
                    break
                if is_open:
                    writer.write(line.encode())
                elif words[:1] == ["OPEN"] and len(words) == 4:
                    answer = await self.on_open(words, writer)
                    if answer is not None and not writer.is_closing():
                        writer.write(f"{answer}\r\n".encode())
                        is_open = answer.startswith("UP")
                        if is_open:
                            self.held_open.add(writer)
                        if not is_open:
                            break
                elif words == ["PING"]:
                    writer.write(b"PONG\r\n")
                elif words == ["STATS"]:
                    self.before_stats(self)
                    writer.write(f"PONG latency_ms=5,util={self.load:.2f},x0={self.load:.2f}\r\n".encode())
                else:
                    writer.write(b"SYNTAX\r\n")
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.held_open.discard(writer)
            self._writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()


class Discovery:
    """Discovery as the protocol page has it: the whole list, and watches by `since` and `timeout_ms`."""

    def __init__(self, record: Record, name: str, members: list[dict[str, Any]], host: str = HOST):
        """Takes a free port; `start` listens."""
        self.record = record
        self.name = name
        self.host = host
        self.socket = bound_socket(host)
        self.port = self.socket.getsockname()[1]
        self.members = {one["id"]: dict(one) for one in members}
        self.changed = dict.fromkeys(self.members, 1)
        self.revision = 41
        self._news = asyncio.Event()
        # Called before each call is answered; returns a status other than 200 to fail the call.
        self.before_answer: Callable[[], Awaitable[int]] = self._at_once
        self.on_answer: Callable[[str, list[str]], Any] = lambda name, listed: None
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Its address."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._connected, sock=self.socket, backlog=1024)

    async def _at_once(self) -> int:
        return 200

    def add(self, member: dict[str, Any]) -> None:
        """Lists a new backend."""
        self.members[member["id"]] = dict(member)
        self.change(member["id"], member["phase"])

    def change(self, name: str, phase: str) -> None:
        """Changes a backend's phase and ends the waits of all watches."""
        self.revision += 1
        self.members[name]["phase"] = phase
        self.changed[name] = self.revision
        self.record(f"{self.name}: {name} is {phase} from revision {self.revision} on")
        self._news.set()
        self._news = asyncio.Event()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split()[1].decode()
                values = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
                self.record(f"{self.name}: asked {target}")
                status = await self.before_answer()
                since = int(values["since"]) if "since" in values else None
                if status == 200 and since is not None and since >= self.revision:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(values["timeout_ms"]) / 1000):
                            await self._news.wait()
                body = json.dumps(self._answer(since) if status == 200 else {}).encode()
                told = ", ".join(f"{one} {row['phase']}" for one, row in self.members.items())
                writer.write(
                    f"HTTP/1.1 {status} {'OK' if status == 200 else 'Unavailable'}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                self.on_answer(self.name.removeprefix("agent-"), list(self.members))
                self.record(f"{self.name}: answered {status}" + (f" ({told})" if status == 200 else ""))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _answer(self, since: int | None) -> dict[str, Any]:
        members = [
            {"id": name, **row}
            for name, row in self.members.items()
            if since is None or self.changed[name] > since
        ]
        return {"revision": self.revision, "complete": since is None, "members": members}


class Relay:
    """One relay: its configuration file and its process."""

    def __init__(
        self,
        record: Record,
        name: str,
        folder: Path,
        discovery: str,
        known: dict,
        config: dict,
        **limits: Any,
    ) -> None:
        """Takes a free port and writes the configuration."""
        self.record = record
        self.name = name
        self.host = HOST
        self.port = free_port(self.host)
        self.path = folder / f"{name}.json"
        self.folder = folder
        self.data = {
            "name": name,
            "listen": f"{self.host}:{self.port}",
            "discovery": discovery,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits},
            "known": known,
            "settings": config,
        }
        self.write()
        self.process: asyncio.subprocess.Process | None = None

    def write(self) -> None:
        """Writes the configuration by renaming."""
        draft = self.path.with_suffix(".new")
        draft.write_text(json.dumps(self.data))
        draft.replace(self.path)

    async def start(self) -> None:
        """Starts the process and waits until it answers PING."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        private = self.folder / f"tmp-{self.name}"
        private.mkdir(exist_ok=True)
        log = (self.folder / f"{self.name}.log").open("a")
        self.record(f"{self.name}: starts")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env={**os.environ, "BALANCER_CONFIG": str(self.path), "TMPDIR": str(private)},
            stdout=log,
            stderr=log,
        )
        for _ in range(300):
            if self.process.returncode is not None:
                break
            if await self.ping() == "PONG":
                self.record(f"{self.name}: answers PING with PONG")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready")

    async def ping(self, timeout: float = 1.0) -> str:
        """Returns the answer to PING, or an empty text."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(self.host, self.port)
                try:
                    writer.write(b"PING\r\n")
                    return (await reader.readline()).decode().strip()
                finally:
                    writer.close()
        return ""

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the relay."""
        self.record(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Ends the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    async def request(
        self, number: str, values: str, key: str = "", stay: float = 0.0, timeout: float = 5.0
    ) -> str:
        """Sends an OPEN line and returns the answer: a line, `closed`, or `nothing` by the end of `timeout`.

        `timeout` counts from the line's last byte. Without a connection the answer is `unconnected`.

        A client that is served stays for `stay` seconds, and sends a line every 2 s.
        """
        line = f"OPEN {number} {key or number} {values}"
        sent = self.record(f"client {number} to {self.name}: {line}")
        answer = "unconnected"
        try:
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(f"{line}\r\n".encode())
                await writer.drain()
            answer = "nothing"
            async with asyncio.timeout(timeout):
                answer = (await reader.readline()).decode().strip() or "closed"
        except TimeoutError:
            pass
        except OSError as error:
            answer = f"closed ({error.strerror})"
        self.record(f"client {number} has {answer} after {self.record.now() - sent:.3f} s")
        try:
            left = stay if answer.startswith("UP") else 0.0
            while left > 0:
                await asyncio.sleep(min(2.0, left))
                left -= 2.0
                writer.write(b"m\r\n")
                async with asyncio.timeout(7):
                    if (await reader.readline()).strip() in (b"", b"MOVE"):
                        break
        except (OSError, TimeoutError):
            pass
        finally:
            with contextlib.suppress(UnboundLocalError):
                writer.close()
        return answer


class CannotRunError(Exception):
    """The case could not be played."""


def play(case: Callable[[Record, Path, bool], Awaitable[list[str]]], folder: Path) -> int:
    """Plays a case; returns the exit code: 1 if it returns breaks of the rule, 0 if none, 2 if it fails."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")
    scratch = Path(tempfile.mkdtemp())
    try:
        breaks = asyncio.run(case(record, scratch, trouble))
    except Exception as why:
        record(f"could not run: {why!r}")
        print(f"could not run: {why!r}")
        return 2
    finally:
        for log in sorted(scratch.glob("*.log")):
            record(f"log of {log.stem}:")
            for line in log.read_text().splitlines()[-60:]:
                record(f"    {line}")
        shutil.rmtree(scratch, ignore_errors=True)
    for one in breaks:
        record(f"BROKEN: {one}")
        print(one)
    record("the rule was broken" if breaks else "the rule held")
    return 1 if breaks else 0
