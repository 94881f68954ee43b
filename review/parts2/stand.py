"""Stand-ins for a review case: discovery, backends, clients, operators, and the start of relays.

All of it runs in one process on loopback addresses and the real clock. Everything that is sent, answered or
run is written to record.txt of the case. The stand-ins follow the protocol of the operators' pages and do
nothing that these do not allow.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, UNABLE = 0, 1, 2
LISTEN_FD = 7
# Gives the listening socket its number, and becomes the shell: a shell can't name descriptors past 9.
INHERIT = """
import os, sys
given, wanted = int(sys.argv[1]), int(sys.argv[2])
if given != wanted:
    os.dup2(given, wanted)
    os.close(given)
os.set_inheritable(wanted, True)
os.execv(sys.argv[3], sys.argv[3:])
"""


class UnableError(Exception):
    """The case could not run, so nothing is known about the rule."""


class Record:
    """The record of a case: one line an event, with seconds since its start."""

    def __init__(self, path: Path) -> None:
        """Opens the file anew."""
        self.file = path.open("w")
        self.began = time.monotonic()
        self.broken: list[str] = []

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Writes a line."""
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()

    def break_rule(self, text: str) -> None:
        """Writes a line on a broken rule, after which the case fails."""
        self.broken.append(text)
        self.note(f"RULE BROKEN: {text}")


def free_port(host: str = "127.0.0.1") -> int:
    """Returns a port that nothing listens on."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return probe.getsockname()[1]


def listening_socket() -> socket.socket:
    """Returns the clients' listening socket that the platform holds and every process inherits."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(1024)
    return listener


def profile(name: str, semantics: str = "pure", timeout_ms: int = 1500, **other: Any) -> dict[str, Any]:
    """Returns the settings of one class of requests."""
    row = {
        "name": name,
        "semantics": semantics,
        "group": "all",
        "window": 5_000_000,
        "credit": 1.0,
        "late_credit": 0.0,
        "setup_goal": 300_000,
        "client_timeout": timeout_ms * 1000,
        "stream": True,
    }
    return row | other


def settings(*profiles: dict[str, Any], **other: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment."""
    rows = list(profiles) or [profile("feed")]
    plain = {
        "allowed": {
            "cancel": True,
            "conn_idle": 15_000_000,
            "connect_timeout": 150_000,
            "max_open": 1_000_000,
            "max_retry_after": 2_000_000,
            "most_setups": 4,
            "peer_messages": False,
            "probes": True,
            "retry_after": False,
            "second_copies": False,
        },
        "safety": {
            "ask_every": 10_000_000,
            "cold_from": 0.31,
            "drain_grace": 250_000,
            "fall_multiple": 3.0,
            "grace_to_answer": 8_000,
            "overload_for": 1_500_000,
            "warm_within": 8_900_000,
        },
        "domain": {
            "groups": False,
            "message_aim": [250_000.0 for _ in rows],
            "mode": "proxy",
            "tells_delay": True,
            "tells_load": True,
            "tenant_quota_connections": [],
        },
        "prices": {"cross_zone": 0.01, "probe": 0.0031},
        "load_report": {"columns": ["recent_ms", "utilization", "x0"], "how": "on_probe"},
        "service_type": "conn",
        "membership_mode": "ask",
        "weight_kind": "off",
        "group_size": 2,
        "me": 0,
        "profiles": rows,
        "tenants": [],
        "dcs": ["here"],
        "zone": "here",
        "host_types": ["full"],
    }
    return plain | other


class Discovery:
    """Discovery: the list of backends over HTTP/1.1, whole or as a watch on changes."""

    def __init__(self, record: Record, members: list[dict[str, Any]], revision: int = 41) -> None:
        """Starts with the members at `revision`; `open` has to follow for each address."""
        self.record = record
        self.members = {member["id"]: dict(member) for member in members}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.revision = revision
        self.changed = asyncio.Event()
        # Called before each answer; may wait, and returns a status other than 200 to fail the call.
        self.before_answer: Callable[[str, str], Awaitable[int]] | None = None
        self.told: dict[tuple[str, int], float] = {}  # by address and revision: when written
        self.servers: dict[str, asyncio.Server] = {}
        self.callers: dict[str, set[asyncio.StreamWriter]] = {}

    async def open(self, host: str = "127.0.0.1") -> str:
        """Listens on a free port and returns the address."""
        address = ""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.callers[address].add(writer)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._serve(address, reader, writer)
            self.callers[address].discard(writer)
            writer.close()

        server = await asyncio.start_server(serve, host, 0)
        address = f"{host}:{server.sockets[0].getsockname()[1]}"
        self.servers[address], self.callers[address] = server, set()
        return address

    async def leave(self, address: str, after: float) -> None:
        """Takes no new connection at an address, and closes the open ones after a time."""
        self.servers[address].close()

        async def close_open() -> None:
            await asyncio.sleep(after)
            for writer in list(self.callers[address]):
                writer.close()

        self.leaving = asyncio.ensure_future(close_open())

    def entry(self, name: str) -> dict[str, Any]:
        """Returns a member's present entry."""
        return dict(self.members[name])

    def change(self, name: str, **fields: Any) -> int:
        """Changes or adds a member and returns the new revision."""
        self.revision += 1
        member = self.members.setdefault(name, {"id": name})
        member.update(fields)
        entry = dict(member)
        self.changes.append((self.revision, entry))
        if entry.get("phase") == "removed":
            del self.members[name]
        self.record.note(f"discovery: revision {self.revision}: {name} {fields}")
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def whole(self) -> dict[str, Any]:
        """Returns the whole list as one answer."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def _serve(self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            self.record.note(f"discovery at {address}: GET {target}")
            status = 200
            if self.before_answer is not None:
                status = await self.before_answer(address, target)
            body = b""
            if status == 200:
                answer = await self._answer(target)
                body = json.dumps(answer).encode()
            writer.write(
                f"HTTP/1.1 {status} {'OK' if status == 200 else 'Service Unavailable'}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            await writer.drain()
            if status == 200:
                self.told.setdefault((address, answer["revision"]), self.record.now())
                self.record.note(f"discovery at {address}: 200, revision {answer['revision']}")
            else:
                self.record.note(f"discovery at {address}: {status}")

    async def _answer(self, target: str) -> dict[str, Any]:
        _, _, query = target.partition("?")
        values = dict(pair.split("=", 1) for pair in query.split("&")) if query else {}
        if "since" not in values:
            return self.whole()
        since, until = int(values["since"]), time.monotonic() + int(values["timeout_ms"]) / 1000
        while self.revision <= since and time.monotonic() < until:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
        latest: dict[str, dict[str, Any]] = {}
        for revision, entry in self.changes:
            if revision > since:
                latest[entry["id"]] = entry
        return {"revision": self.revision, "complete": False, "members": list(latest.values())}


class Run:
    """A request that arrived whole at a backend."""

    def __init__(self, backend: str, request: str, at: float) -> None:
        """Notes where and when."""
        self.backend = backend
        self.request = request
        self.at = at
        self.answer = ""
        self.ended_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether it was answered UP and its connection stands."""
        return self.answer.startswith("UP") and self.ended_at is None


class Backend:
    """A backend: takes requests, answers probes and echoes the lines of open connections."""

    def __init__(self, record: Record, name: str, host: str = "127.0.0.1") -> None:
        """Has no port yet; `open` has to follow."""
        self.record = record
        self.name = name
        self.host = host
        self.port = 0
        self.runs: list[Run] = []
        self.probes: list[float] = []
        self.load = 0.2
        self.draining = False
        # Called with each request; returns the answer's line, or None to say nothing.
        self.decide: Callable[[Run], Awaitable[str | None]] | None = None
        self.echo_delay: Callable[[], float] | None = None  # None: at once
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Returns host and port."""
        return f"{self.host}:{self.port}"

    def member(self, phase: str = "up", cell: int = 0, since: int = 0, zone: str = "here") -> dict[str, Any]:
        """Returns its entry for discovery's list."""
        return {
            "id": self.name,
            "host_port": self.address,
            "locality": zone,
            "flavor": "full",
            "cell": cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": since,
        }

    async def open(self) -> None:
        """Listens, on a free port or on the one that it had before."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """Stops listening and resets every connection, as a process that dies does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        run = None
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                if run is not None:
                    if self.echo_delay is not None:
                        await asyncio.sleep(self.echo_delay())
                    writer.write(f"RE {line}\r\n".encode("latin-1"))
                elif line in ("PING", "STATS"):
                    self.probes.append(self.record.now())
                    report = f" recent_ms=1.0,utilization={self.load},x0={self.load}"
                    writer.write(("PONG" + (report if line == "STATS" else "") + "\r\n").encode())
                elif line.startswith("OPEN "):
                    run = Run(self.name, line.split(" ")[1], self.record.now())
                    is_open_here = any(one.request == run.request and one.is_open for one in self.runs)
                    self.runs.append(run)
                    self.record.note(f"{self.name}: got {line}")
                    answer: str | None = f"UP {self.name}.{run.request}"
                    if is_open_here:
                        answer = "ERR"  # of no use to it: it could not tell the two apart
                    elif self.draining:
                        answer = "BUSY"
                    elif self.decide is not None:
                        answer = await self.decide(run)
                    if answer is None:
                        await reader.read()
                        return
                    run.answer = answer
                    self.record.note(f"{self.name}: answers {run.request} with {answer}")
                    writer.write(f"{answer}\r\n".encode())
                    if not answer.startswith("UP"):
                        await writer.drain()
                        return
                else:
                    self.record.note(f"{self.name}: got what no client sends: {line[:80]!r}")
                    writer.write(b"SYNTAX\r\n")
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            if run is not None:
                run.ended_at = self.record.now()
                self.record.note(f"{self.name}: {run.request} has ended")
            self.writers.discard(writer)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    link = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


class Client:
    """One client: sends its line, waits for its answer, then sends a line every 2 s and expects one back."""

    numbers = count(1)

    def __init__(
        self, record: Record, address: str, request: str = "", label: str = "", **values: Any
    ) -> None:
        """`values` are those of the OPEN line, by default class feed and 1,500 ms."""
        self.record = record
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.id = request or f"{int(time.time()):x}{os.getpid():x}{next(self.numbers):06x}"
        self.label = label or "client"
        self.values = {"c": "feed", "d": 1500} | values
        self.key = f"key{next(self.numbers)}"
        self.answer: str | None = None  # None: none; "": closed without one
        self.sent_at = self.answered_at = 0.0
        self.lines: list[str] = []
        self.moved = False
        self.closed_at: float | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.reader: asyncio.StreamReader | None = None

    @property
    def line(self) -> bytes:
        """Returns the OPEN line."""
        values = ",".join(f"{name}={value}" for name, value in self.values.items())
        return f"OPEN {self.id} {self.key} {values}\r\n".encode()

    async def connect(self) -> None:
        """Connects."""
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)

    async def send(self, data: bytes) -> None:
        """Sends bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def request(self, patience: float | None = None) -> str | None:
        """Sends the whole line and waits for the answer."""
        if self.writer is None:
            await self.connect()
        await self.send(self.line)
        return await self.await_answer(patience)

    async def await_answer(self, patience: float | None = None) -> str | None:
        """Waits for the first line, by default half a second past the client's own time."""
        self.sent_at = self.record.now()
        self.record.note(f"{self.label}: sent {self.id} ({self.values['c']}, d={self.values['d']})")
        limit = self.values["d"] / 1000 + 0.55 if patience is None else patience
        try:
            line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit)
            self.answer = line[:-2].decode("latin-1")
        except TimeoutError:
            self.record.note(f"{self.label}: {self.id} has no answer after {limit:.2f} s")
        except (asyncio.IncompleteReadError, OSError) as why:
            self.answer = ""
            self.closed_at = self.record.now()
            self.record.note(f"{self.label}: {self.id} closed without an answer: {why!r}")
        self.answered_at = self.record.now()
        if self.answer:
            self.record.note(f"{self.label}: {self.id} is answered {self.answer}")
        return self.answer

    @property
    def is_open(self) -> bool:
        """Whether it was served and its connection stands."""
        return bool(self.answer) and self.answer.startswith("UP") and self.closed_at is None

    async def talk(self, every: float = 2.0) -> None:
        """Sends a line every 2 s until the connection ends, and reads what comes."""
        speaking = asyncio.create_task(self._speak(every))
        try:
            while True:
                line = (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                self.lines.append(line)
                if line == "MOVE":
                    self.moved = True
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            speaking.cancel()
            self.closed_at = self.record.now()
            self.record.note(f"{self.label}: {self.id} ended{', moved' if self.moved else ''}")
            self.writer.close()

    async def _speak(self, every: float) -> None:
        for number in count(1):
            await asyncio.sleep(every)
            with contextlib.suppress(OSError):
                await self.send(f"line {number}\r\n".encode())

    def close(self, abrupt: bool = False) -> None:
        """Ends the connection."""
        if self.writer is not None:
            if abrupt:
                reset(self.writer)
            else:
                self.writer.close()


class Relay:
    """One process of the program, started by the line `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, config: dict[str, Any]) -> None:
        """Writes the configuration; `start` has to follow."""
        self.record = record
        self.folder = folder
        self.name = name
        self.config = config
        self.path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.log: Path | None = None
        self.write_config()

    def write_config(self, **changes: Any) -> None:
        """Writes the file, with changes; the file is replaced as a whole."""
        self.config.update(changes)
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.replace(self.path)

    async def start(
        self, label: str = "", listen: socket.socket | None = None, control: str | None = None
    ) -> None:
        """Starts the program; `listen` is the socket that it inherits as descriptor 7."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        label = label or self.name
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environ = dict(os.environ) | {"BALANCER_CONFIG": str(self.path), "TMPDIR": str(temporary)}
        environ |= {
            "BALANCER_NAME": self.config["name"],
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_DISCOVERY": self.config["discovery"],
        }
        if control is not None:
            environ["BALANCER_CONTROL"] = control
        environ.pop("PYTHONPATH", None)  # it is for the stand-ins alone
        command, passed = ["/bin/sh", "-c", run], ()
        if listen is not None:
            environ["BALANCER_LISTEN_FD"] = str(LISTEN_FD)
            passed = (listen.fileno(),)
            command = [sys.executable, "-c", INHERIT, str(listen.fileno()), str(LISTEN_FD), *command]
        self.log = self.folder / f"{label}.log"
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environ, pass_fds=passed, stdout=log, stderr=log
            )
        self.record.note(f"relay {label}: started as process {self.process.pid}")

    @property
    def address(self) -> str:
        """Returns the clients' address."""
        return self.config["listen"]

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.record.note(f"relay {self.log.stem}: {number.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait_ready(self, limit: float = 30.0) -> None:
        """Waits until the relay answers PING with PONG."""
        host, _, port = self.address.rpartition(":")
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise UnableError(f"{self.log.stem} ended with {self.process.returncode}")
            if await ping(host, int(port)) == "PONG":
                self.record.note(f"relay {self.log.stem}: ready")
                return
            await asyncio.sleep(0.05)
        raise UnableError(f"{self.log.stem} was not ready within {limit} s")


async def ping(host: str, port: int) -> str | None:
    """Asks the clients' address once; returns the answer, None if there is none."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"PING\r\n")
        answer = await asyncio.wait_for(reader.readuntil(b"\r\n"), 1.0)
        writer.close()
        return answer[:-2].decode()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


async def call(record: Record, address: str, path: str, method: str = "POST", limit: float = 1.0) -> int:
    """Makes an operator's call and returns its status; 0 if there was no answer in time."""
    host, _, port = address.rpartition(":")

    async def exchange() -> int:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n".encode())
        head = await reader.readuntil(b"\r\n")
        writer.close()
        return int(head.split(b" ")[1])

    try:
        status = await asyncio.wait_for(exchange(), limit)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        status = 0
    if method != "GET":
        record.note(f"operator: {method} {path} at {address}: {status}")
    return status


async def wait_yes(record: Record, address: str, limit: float) -> None:
    """Waits until the process at a control address says that it is ready."""
    until = time.monotonic() + limit
    while time.monotonic() < until:
        if await call(record, address, "/control/ready", "GET", 0.5) == 200:
            record.note(f"operator: ready at {address}: yes")
            return
        await asyncio.sleep(0.05)
    raise UnableError(f"no yes at {address} within {limit} s")


def config(
    name: str,
    discovery: str,
    members: list[dict[str, Any]],
    values: dict[str, Any],
    revision: int = 41,
    sockets: int = 512,
    listen: str = "",
    **other: Any,
) -> dict[str, Any]:
    """Returns the configuration of a relay."""
    return {
        "name": name,
        "listen": listen or f"127.0.0.1:{free_port()}",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": {"revision": revision, "complete": True, "members": copy.deepcopy(members)},
        "settings": values,
    } | other


class Case:
    """What a case has: its record, a temporary folder, whether there is trouble, and all processes."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        """`TROUBLE=0` in the environment leaves the disruption out."""
        self.record = Record(folder / "record.txt")
        self.temporary = temporary
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.relays: list[Relay] = []
        self.tasks: list[asyncio.Task] = []

    def relay(self, name: str, values: dict[str, Any]) -> Relay:
        """Returns a process to be, which the case ends if nothing else does."""
        relay = Relay(self.record, self.temporary, name, values)
        self.relays.append(relay)
        return relay

    async def call(self, address: str, path: str) -> int:
        """Makes an operator's call and returns its status; 0 if there was no answer in time."""
        return await call(self.record, address, path)

    def spawn(self, work: Awaitable[Any]) -> asyncio.Task:
        """Runs something beside the case."""
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def backends(self, number: int, **fields: Any) -> list[Backend]:
        """Returns that many backends, which listen."""
        made = [Backend(self.record, f"s-{place}", **fields) for place in range(number)]
        for backend in made:
            await backend.open()
        return made

    def require(self, condition: bool, reason: str) -> None:
        """Ends the case as unable to run if something that it rests on did not happen."""
        if not condition:
            raise UnableError(reason)

    def check_running(self) -> None:
        """Ends the case as unable to run if a process has ended by itself, which is not what it checks."""
        for relay in self.relays:
            if relay.process is not None and relay.process.returncode not in (None, 0, -9):
                raise UnableError(f"{relay.log.stem} ended with {relay.process.returncode}")

    async def end(self) -> None:
        """Ends every process and copies the relays' logs into the record."""
        for task in self.tasks:
            task.cancel()
        for relay in self.relays:
            if relay.process is not None and relay.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    relay.process.kill()
                await relay.process.wait()
        for path in sorted(self.temporary.glob("*.log")):
            self.record.file.write(f"--- log of {path.stem}\n{path.read_text(errors='replace')}")
        self.record.file.flush()


def main(folder: str, play: Callable[[Case], Awaitable[None]], limit: float = 110.0) -> None:
    """Plays a case and exits: 0 the rule held, 1 it was broken, 2 the case could not run.

    Told to end in the middle, or after a fault of its own, it could not run; its processes end in any case.
    """

    async def run() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            case = Case(Path(folder).resolve(), Path(temporary))
            case.record.note(f"trouble: {'yes' if case.trouble else 'no'}")
            code = UNABLE
            try:
                await asyncio.wait_for(play(case), limit)
                code = BROKEN if case.record.broken else HELD
            except (Exception, asyncio.CancelledError) as why:
                case.record.note(f"could not run: {why!r}")
            finally:
                for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                    loop.add_signal_handler(number, lambda: None)
                await case.end()
                case.record.note(f"exit code {code}")
            return code

    code = asyncio.run(run())
    sys.stdout.write({HELD: "held\n", BROKEN: "BROKEN\n", UNABLE: "could not run\n"}[code])
    sys.stdout.flush()
    os._exit(code)
