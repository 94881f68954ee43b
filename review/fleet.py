"""Stand-ins for one case: backends, discovery, clients, and the relay as a process of its own.

Everything runs on loopback addresses in one event loop. Times in the record are seconds on the monotonic
clock since the start of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Callable
from itertools import count
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
START = time.monotonic()
IDS = count(1)
SOCKET_SLACK = 0.05  # s by which the pages make each time limit longer on sockets
TIME_LIMIT = 100.0  # of a case, s; its script may run for 120 s


def now() -> float:
    """Returns the time since the start of the case, s."""
    return time.monotonic() - START


class Record:
    """The events of a case, in the order in which they were seen."""

    def __init__(self, path: Path) -> None:
        """Starts an empty file."""
        self.file = path.open("w")

    def __call__(self, who: str, what: str) -> None:
        """Writes one event."""
        self.file.write(f"{now():9.3f}  {who:12}  {what}\n")
        self.file.flush()


def free_port(host: str) -> int:
    """Returns a port of a loopback address on which nothing listens."""
    with socket.create_server((host, 0)) as probe:
        return probe.getsockname()[1]


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection by a TCP reset."""
    link = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Attempt:
    """A request line that a backend has received."""

    def __init__(self, line: str, first_byte: float, last_byte: float, backend: str) -> None:
        """Takes the line apart."""
        _, self.id, self.key, values = line.split(" ")
        self.values = dict(pair.split("=", 1) for pair in values.split(","))
        self.first_byte, self.last_byte, self.backend = first_byte, last_byte, backend


class Backend:
    """A backend that follows the protocol page; `serve` decides on the answer to a request."""

    def __init__(self, record: Record, name: str, host: str, **entry: object) -> None:
        """Listens on a free port of `host`."""
        self.record = record
        self.name = name
        self.entry_values = entry
        self.load = 0.2  # what it reports to probes
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((host, 0))
        self.socket.listen(256)
        self.socket.setblocking(False)
        self.address = "{}:{}".format(*self.socket.getsockname())
        self.held = False
        self.attempts: list[Attempt] = []
        self.serve: Callable = self.accept_request
        self.draining = False
        self.receipts = count(1)
        self.fillers: list[socket.socket] = []
        self.filler_addresses: set[tuple[str, int]] = set()
        # Accepted from relays, and those of them that may have come up late: within 1.5 s of the release.
        self.connections = self.late_connections = 0
        self.late_until = 0.0
        self.tasks: set[asyncio.Task] = set()
        asyncio.get_running_loop().add_reader(self.socket, self._accept)

    def entry(self, phase: str = "up", **other: object) -> dict:
        """Returns the entry for discovery's list."""
        return (
            {
                "id": self.name,
                "host_port": self.address,
                "locality": "a",
                "flavor": "box",
                "cell": 0,
                "phase": phase,
                "size": 1.0,
                "up_since_ms": 0,
            }
            | self.entry_values
            | other
        )

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError):
            link, peer = self.socket.accept()
            if peer in self.filler_addresses:
                link.close()
                return
            self.connections += 1
            self.late_connections += now() < self.late_until
            link.setblocking(False)
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = asyncio.create_task(self._connection(link))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _connection(self, link: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=link)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            while True:
                first = await reader.readexactly(1)
                first_byte = now()
                line = (first + await reader.readuntil(b"\r\n")).decode("latin-1").removesuffix("\r\n")
                if line == "STATS":
                    report = f"utilization={self.load:.3f},recent_ms=4.0,x0={self.load:.3f}"
                    writer.write(f"PONG {report}\r\n".encode())
                elif line == "PING":
                    writer.write(b"PONG\r\n")
                else:
                    attempt = Attempt(line, first_byte, now(), self.name)
                    self.attempts.append(attempt)
                    self.record(self.name, f"received {line}")
                    await self.serve(self, attempt, reader, writer)
                    break
        writer.close()

    @staticmethod
    async def accept_request(
        backend: Backend, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Accepts a request and brings each line back."""
        await backend.open(attempt, reader, writer)

    async def open(
        self, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers UP, and brings each line back until the relay ends the connection."""
        receipt = f"{self.name}-{next(self.receipts)}"
        self.record(self.name, f"answers UP {receipt} to {attempt.id}")
        writer.write(f"UP {receipt}\r\n".encode())
        while line := await reader.readline():
            writer.write(line)

    def hold_connections(self) -> None:
        """Accepts no connection from now on: those to come do not come up until `accept_connections`.

        The queue of the listening socket is made short and filled, so that the system drops their SYN and the
        relay's system sends it again a second later.
        """
        self.held = True
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.socket.getsockname())
            self.fillers.append(filler)
            self.filler_addresses.add(filler.getsockname())

    def accept_connections(self) -> None:
        """Accepts connections again; one that is still trying comes up with its next SYN."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.held = False
        self.late_until = now() + 1.5
        self.socket.listen(256)
        asyncio.get_running_loop().add_reader(self.socket, self._accept)

    def close(self) -> None:
        """Ends the backend."""
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()


class Discovery:
    """Discovery, or the agent where lists are pushed: the whole list, and watches on changes."""

    def __init__(self, record: Record, members: list[dict], work: float = 0.0) -> None:
        """Holds the list `members`; the first call of a watch costs `work` s, and calls wait in turn."""
        self.record = record
        self.members = {member["id"]: member for member in members}
        self.revision = 1
        self.changed_at: dict[str, int] = dict.fromkeys(self.members, 1)
        self.work = work
        self.turn = asyncio.Lock()
        self.told: list[tuple[float, int]] = []  # when which revision was written
        self.news = asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Begins to listen."""
        self.server = await asyncio.start_server(self._connection, "127.0.0.9", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    def whole(self) -> dict:
        """Returns the whole list."""
        listed = [member for member in self.members.values() if member["phase"] != "removed"]
        return {"revision": self.revision, "complete": True, "members": listed}

    async def publish(self, *entries: dict) -> None:
        """Changes the list."""
        async with self.news:
            self.revision += 1
            for entry in entries:
                self.members[entry["id"]] = entry
                self.changed_at[entry["id"]] = self.revision
                self.record("discovery", f"revision {self.revision}: {entry['id']} is {entry['phase']}")
            self.news.notify_all()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        is_first = True
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ")[1]
                query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
                since = int(query.get("since", -1))
                if query:
                    with contextlib.suppress(TimeoutError):
                        async with self.news:
                            await asyncio.wait_for(
                                self.news.wait_for(lambda since=since: self.revision > since),
                                int(query["timeout_ms"]) / 1000,
                            )
                if is_first:
                    self.record("discovery", f"is called: {target}")
                    is_first = False
                    async with self.turn:
                        await asyncio.sleep(self.work)
                answer = self.whole()
                if query:
                    answer["complete"] = False
                    answer["members"] = [
                        member for name, member in self.members.items() if self.changed_at[name] > since
                    ]
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
                self.told.append((now(), answer["revision"]))
                self.record("discovery", f"tells revision {answer['revision']} ({target})")
        writer.close()


class NotReadyError(Exception):
    """A relay has not answered PONG in time."""


class Relay:
    """A relay, started by the deploy file's `run`."""

    def __init__(self, record: Record, folder: Path, name: str, config: dict, **environment: str) -> None:
        """Writes the configuration; `start` starts the process."""
        self.record = record
        self.folder = folder
        self.name = name
        self.config = config | {"name": name}
        self.path = folder / f"{name}.json"
        self.environment = environment
        self.process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0
        host, _, port = config["listen"].rpartition(":")
        self.address = (host, int(port))

    async def start(self, known: dict) -> None:
        """Starts the process with the list `known`."""
        self.path.write_text(json.dumps(self.config | {"known": known}))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        log = (self.folder / f"{self.name}.log").open("ab")
        self.started_at = now()
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env=os.environ
            | {"BALANCER_CONFIG": str(self.path), "TMPDIR": str(self.folder)}
            | self.environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record(self.name, f"process {self.process.pid} is started")

    async def ready(self, within: float = 30.0) -> None:
        """Waits until PING is answered PONG. Raises NotReadyError if the process ends or takes too long."""
        end = now() + within
        while now() < end:
            if self.process.returncode is not None:
                raise NotReadyError(f"process {self.process.pid} has ended with {self.process.returncode}")
            with contextlib.suppress(OSError, TimeoutError):
                client = await Client.connect(self.record, self.address, quiet=True)
                answer = await client.exchange("PING", 1.0)
                client.close()
                if answer == "PONG":
                    self.record(self.name, "answers PONG")
                    return
            await asyncio.sleep(0.02)
        raise NotReadyError(f"process {self.process.pid} is not ready after {within:.0f} s")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.record(self.name, f"{number.name} to process {self.process.pid}")
        self.process.send_signal(number)

    def log_lines(self) -> list[str]:
        """Returns the lines that the relay has logged."""
        return (self.folder / f"{self.name}.log").read_text().splitlines()

    async def end(self) -> None:
        """Kills the process, if it is still there."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Client:
    """A client's connection to a relay."""

    def __init__(self, record: Record, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Uses an established connection."""
        self.record, self.reader, self.writer = record, reader, writer
        self.id = f"{next(IDS):016x}"

    @classmethod
    async def connect(cls, record: Record, address: tuple[str, int], quiet: bool = False) -> Client:
        """Connects to a relay; raises OSError."""
        reader, writer = await asyncio.open_connection(*address)
        return cls(record if not quiet else lambda *_: None, reader, writer)

    async def read_line(self, within: float) -> str:
        """Returns the next line, or how the connection ended; raises TimeoutError."""
        try:
            line = await asyncio.wait_for(self.reader.readline(), within)
        except ConnectionError:
            return "(reset)"
        return line.decode("latin-1").removesuffix("\r\n") or "(closed)"

    async def exchange(self, line: str, within: float) -> str:
        """Sends a line and returns the answer; raises TimeoutError."""
        self.writer.write(line.encode() + b"\r\n")
        return await self.read_line(within)

    async def open(self, profile: str, timeout_ms: int, key: str = "", extra: str = "") -> str:
        """Sends OPEN and returns the answer; "(nothing)" once the request counts as lost."""
        line = f"OPEN {self.id} {key or self.id} c={profile},d={timeout_ms}{extra}"
        self.record("client", f"sends {line}")
        try:
            answer = await self.exchange(line, timeout_ms / 1000 + 0.5 + SOCKET_SLACK)
        except TimeoutError:
            answer = "(nothing)"
        self.record("client", f"{self.id} is answered {answer}")
        return answer

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


def settings(**other: object) -> dict:
    """Returns the settings of a small deployment, in the form of the wire page's example."""
    profile = {
        "client_timeout": 1_200_000,
        "credit": 3.0,
        "group": "all",
        "late_credit": 0.0,
        "name": "route-watch",
        "semantics": "pure",
        "setup_goal": 300_000,
        "stream": True,
        "window": 5_000_000,
    }
    return {
        "allowed": {
            "cancel": True,
            "conn_idle": 15_000_000,
            "connect_timeout": 150_000,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 800_000,
            "max_open": 1_000_000,
            "max_retry_after": 2_000_000,
            "most_setups": 6,
            "multiplex": 1_048_576,
            "peer_messages": False,
            "probes": True,
            "retry_after": False,
            "second_copies": False,
        },
        "client_habits": {"marks_retry": True},
        "credit_basis": "request",
        "dcs": ["a"],
        "domain": {
            "groups": False,
            "message_aim": [250_000.0],
            "mode": "proxy",
            "park": 0,
            "tells_delay": True,
            "tells_load": True,
            "tenant_quota_connections": [],
        },
        "group_size": 1,
        "host_types": ["box"],
        "load_report": {"columns": ["recent_ms", "utilization", "x0"], "how": "on_probe"},
        "me": 0,
        "membership_mode": "ask",
        "overage_credit": 0.1,
        "prices": {"cross_zone": 0.01, "late_fail": 0.08, "moves": 0.013, "probe": 0.0031, "waste": 0.15},
        "profiles": [profile],
        "round": 2000,
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
    } | other


def configuration(discovery: str, site: dict, host: str = "127.0.0.4", sockets: int = 1024) -> dict:
    """Returns a relay's configuration without its name and its list."""
    return {
        "listen": f"{host}:{free_port(host)}",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "settings": site,
    }


async def _played(play: Callable, record: Record, work: Path, trouble: bool) -> str:
    loop = asyncio.get_running_loop()
    # Connections that are cut as the case ends are no errors of the case.
    loop.set_exception_handler(lambda *_: None)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    return await asyncio.wait_for(play(record, work, trouble), TIME_LIMIT)


def run_case(folder: Path, play: Callable) -> int:
    """Plays a case and returns its exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    `play` gets the record, a temporary folder and whether the disruption happens. It ends all processes that
    it starts, and returns what broke the rule, or an empty string.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", f"with the disruption: {'yes' if trouble else 'no'}")
    with tempfile.TemporaryDirectory(prefix="case-", ignore_cleanup_errors=True) as work:
        try:
            broken = asyncio.run(_played(play, record, Path(work), trouble))
        except (Exception, asyncio.CancelledError) as why:
            record("case", f"could not run: {why!r}")
            print(f"could not run: {why!r}")
            return 2
    record("case", f"the rule was broken: {broken}" if broken else "the rule held")
    print(f"the rule was broken: {broken}" if broken else "the rule held")
    return 1 if broken else 0
