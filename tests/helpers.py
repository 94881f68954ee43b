"""Shared by the tests: a policy host that checks every action of the balancer, and, for tests of the relay
program, emulated clients, backends and discovery."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import count, cycle
from pathlib import Path
from typing import IO

from cedarledge.policy import Balancer
from cedarledge.policy.state import TICK
from cedarledge.terms import (
    MS,
    NEVER_RAN,
    SECOND,
    BackendEntry,
    BackendState,
    Dedup,
    DeploymentSettings,
    Effect,
    ListForm,
    LoadReport,
    Outcome,
    RequestClassSettings,
)

START = 1000 * SECOND


def make_settings(window: int = 2 * SECOND, **other: object) -> DeploymentSettings:
    rows = tuple(
        RequestClassSettings(effect, dedup, window, 300 * MS, 50 * MS, 1.0 + place)
        for place, (effect, dedup) in enumerate(
            (
                (Effect.IDEMPOTENT, Dedup.ALL),
                (Effect.DEDUPLICATED, Dedup.ALL),
                (Effect.DEDUPLICATED, Dedup.ZONE),
                (Effect.DEDUPLICATED, Dedup.CELL),
                (Effect.NON_IDEMPOTENT, Dedup.ALL),
            )
        )
    )
    plain: dict = dict(
        start_time=START,
        seed=1,
        relay_index=0,
        relays=2,
        zone=0,
        request_classes=rows,
        weighted=False,
        requests_list=True,
        list_request_interval=10 * SECOND,
        probes=True,
        message_delays_known=True,
        max_retry_after=SECOND,
        max_attempts=4,
        cold_capacity_share=0.2,
        warmup_duration=10 * SECOND,
        overload_multiple=3.0,
        overload_duration=2 * SECOND,
        grouped=False,
        tenant_quotas=(),
        over_quota_value_factor=1.0,
    )
    return DeploymentSettings(**(plain | other))


def list_entry(
    backend_id: int,
    standing: BackendState = BackendState.READY,
    started: int = 0,
    cells: int = 2,
    weight: float = 1.0,
) -> BackendEntry:
    """Returns an entry of the list of backends."""
    return BackendEntry(
        backend_id, backend_id % cells, backend_id % 2, 0, weight, standing, started, backend_id
    )


@dataclass
class ClientRequest:
    """A request with its attempts, as its host sees it."""

    profile: int
    arrived: int
    give_up: int
    answered: bool = False
    attempts: list[list] = field(default_factory=list)  # [backend, start, outcome or None, whether it opened]


class RuleCheckingHost:
    """A policy host that records the balancer's actions and fails on the first that is not allowed.

    Unless `answers` is false, probes of requests that wait for one are answered at once.
    """

    def __init__(self, settings: DeploymentSettings, answers: bool = True) -> None:
        self.settings = settings
        self.answers = answers
        self.now = settings.start_time
        self.requests: dict[int, ClientRequest] = {}
        self.listing: dict[int, BackendEntry] = {}
        self.attempts: list[tuple[int, int, int]] = []  # time, connection, backend
        self.probes: list[tuple[int, int]] = []
        self.moves: list[int] = []
        self.rejections: list[tuple[int, int]] = []
        self.list_requests: list[int] = []
        self.timers: list[tuple[int, int]] = []
        self.reported_loads: dict[int, float] = {}  # of each backend, the last; probes return it again
        self.balancer = Balancer(self, settings)

    # -- actions of the balancer (terms.PolicyHost), with the checks -----------------------------

    def _may_have_run(self, request: ClientRequest) -> list[list]:
        return [attempt for attempt in request.attempts if attempt[2] not in NEVER_RAN]

    def attempt(self, connection_id: int, backend_id: int, timeout: int) -> None:
        request, row = (
            self.requests[connection_id],
            self.settings.request_classes[self.requests[connection_id].profile],
        )
        assert not request.answered, "an attempt after the final answer"
        assert all(attempt[2] is not None for attempt in request.attempts), "two attempts at once"
        assert len(request.attempts) < self.settings.max_attempts
        assert 0 < timeout <= request.give_up - self.now, (
            "an attempt that may last longer than the client waits"
        )
        assert self.listing[backend_id].state is BackendState.READY, (
            "an attempt at a draining or removed backend"
        )
        ran = self._may_have_run(request)
        if ran and row.effect is not Effect.IDEMPOTENT:
            assert row.effect is Effect.DEDUPLICATED, "a request that must not be repeated may run twice"
            first = ran[0]
            assert self.now < first[1] + row.window, "a repetition after the deduplication window"
            earlier, later = self.listing[first[0]], self.listing[backend_id]
            assert (
                row.dedup is Dedup.ALL
                or (row.dedup is Dedup.ZONE and earlier.zone == later.zone)
                or (row.dedup is Dedup.CELL and earlier.cell == later.cell)
            ), "a repetition outside the deduplication group"
        request.attempts.append([backend_id, self.now, None, False])
        self.attempts.append((self.now, connection_id, backend_id))

    def reject(self, connection_id: int, retry_after: int) -> None:
        request, row = (
            self.requests[connection_id],
            self.settings.request_classes[self.requests[connection_id].profile],
        )
        assert not request.answered, "two final answers"
        assert 0 <= retry_after <= self.settings.max_retry_after
        assert (
            not self._may_have_run(request)
            or row.effect is Effect.IDEMPOTENT
            or (row.effect is Effect.DEDUPLICATED and row.dedup is Dedup.ALL)
        ), "a rejection of a request that may have run"
        request.answered = True
        self.rejections.append((self.now, connection_id))

    def close_with_error(self, connection_id: int) -> None:
        assert not self.requests[connection_id].answered, "two final answers"
        self.requests[connection_id].answered = True

    def move(self, connection_id: int) -> None:
        assert self.requests[connection_id].attempts[-1][3], "a move of a connection that is not open"
        self.moves.append(connection_id)

    def probe(self, backend_id: int) -> None:
        self.probes.append((self.now, backend_id))

    def set_timer(self, delay: int, token: int) -> None:
        assert delay > 0
        # This host's timers have a resolution of 1 us.
        self.timers.append((self.now + delay // 1000 * 1000, token))

    def request_list(self) -> None:
        self.list_requests.append(self.now)

    def log(self, text: str) -> None:
        pass

    # -- events ------------------------------------------------------------------------------------

    def check(self) -> None:
        """Checks that each request is answered, attempted or waiting for a probe."""
        for request in self.requests.values():
            is_attempted = request.attempts and request.attempts[-1][2] is None
            awaits_probe = (
                self.now
                < request.arrived + self.settings.request_classes[request.profile].setup_latency_target // 4
            )
            assert request.answered or is_attempted or awaits_probe, (
                "a request with neither an answer nor an attempt"
            )

    def update_list(self, form: ListForm, *entries: BackendEntry) -> None:
        """Passes a list of backends to the balancer."""
        if form is not ListForm.UNAVAILABLE:
            if form is not ListForm.CHANGES:
                for backend_id, old in self.listing.items():
                    self.listing[backend_id] = old._replace(state=BackendState.GONE)
            self.listing |= {entry.backend_id: entry for entry in entries}
        self.balancer.list_changed(self.now, form, list(entries))

    def arrive(
        self,
        profile: int = 0,
        key: str | None = None,
        budget: int = SECOND,
        hint: float | None = None,
        group: str | None = None,
        tenant: int | None = None,
    ) -> int:
        connection_id = len(self.requests)
        self.requests[connection_id] = ClientRequest(profile, self.now, self.now + budget)
        self.balancer.connection_requested(
            self.now, connection_id, profile, tenant, key, group, budget, hint, False
        )
        while self.answers and connection_id in self.balancer.state.awaiting_probe:
            backend_id = self.balancer.state.awaiting_probe[connection_id].backend_id
            self.report(backend_id, self.reported_loads.get(backend_id, 0.0))
        return connection_id

    def adopt(self, backend_id: int, hint: float | None = None, group: str | None = None) -> int:
        connection_id = len(self.requests)
        self.requests[connection_id] = ClientRequest(
            0, self.now, self.now, True, [[backend_id, self.now, None, True]]
        )
        self.balancer.connection_adopted(self.now, connection_id, 0, None, None, group, backend_id, hint)
        return connection_id

    def open(self, connection_id: int) -> None:
        attempt = self.requests[connection_id].attempts[-1]
        attempt[3] = self.requests[connection_id].answered = True
        self.balancer.connection_opened(self.now, connection_id, self.now - attempt[1])

    def end(self, connection_id: int, outcome: Outcome) -> None:
        request = self.requests[connection_id]
        attempt = request.attempts[-1]
        attempt[2] = outcome
        if outcome is Outcome.DONE:
            request.answered = True
        self.balancer.attempt_ended(
            self.now, connection_id, attempt[0], request.answered, outcome, self.now - attempt[1], None
        )

    def end_moved(self) -> None:
        for connection_id in self.moves:
            if self.requests[connection_id].attempts[-1][2] is None:
                self.end(connection_id, Outcome.CANCELLED)

    def report(self, backend_id: int, asked: float) -> None:
        self.reported_loads[backend_id] = asked
        self.balancer.probe_ended(self.now, backend_id, True, LoadReport(offered_load=asked))

    def run(self, span: int) -> None:
        """Lets time pass, with the timers that fall due."""
        end = self.now + span
        while due := [timer for timer in self.timers if timer[0] <= end]:
            timer = min(due)
            self.timers.remove(timer)
            self.now = timer[0]
            self.balancer.timer_fired(self.now, timer[1])
        self.now = end


def host_with_backends(
    size: int = 6, asked: float | None = 0.3, cells: int = 2, **other: object
) -> RuleCheckingHost:
    host = RuleCheckingHost(make_settings(**other))
    host.update_list(ListForm.RESTORED, *(list_entry(backend_id, cells=cells) for backend_id in range(size)))
    if asked is not None:
        for backend_id in range(size):
            host.report(backend_id, asked)
    return host


def learn_loads(host: RuleCheckingHost) -> None:
    """Opens eight connections of load 100 and reports all backends half loaded four times."""
    for number in range(8):
        host.open(host.arrive(hint=100.0, key=str(number)))
    for _ in range(4):
        host.now += 500 * MS
        for backend_id in host.listing:
            host.report(backend_id, 0.5)


# -- the relay program -----------------------------------------------------------------------------

SETTINGS = {
    "allowed": {"most_setups": 4, "probes": True, "connect_timeout": 150_000, "conn_idle": 15_000_000},
    "safety": {
        "cold_from": 0.2,
        "warm_within": 9_000_000,
        "fall_multiple": 3,
        "overload_for": 2_000_000,
        "ask_every": 2_000_000,
    },
    "profiles": [
        {
            "name": name,
            "semantics": semantics,
            "group": "all",
            "window": 2_000_000,
            "credit": 1,
            "setup_goal": 300_000,
            "client_timeout": 1_500_000,
        }
        for name, semantics in (("feed", "pure"), ("bill", "side_effect"))
    ],
    "domain": {"message_aim": [100_000, 100_000], "tells_delay": True, "groups": False},
    "load_report": {"columns": ["utilization", "recent_ms", "x0"], "how": "on_probe"},
    "service_type": "conn",
    "membership_mode": "ask",
    "group_size": 1,
    "dcs": ["here"],
    "zone": "here",
    "host_types": ["box"],
    "weight_kind": "off",
    "unheard": {"of": "passed over"},
}


def reset(link: socket.socket, file: IO[bytes]) -> None:
    """Closes a connection by a TCP reset."""
    link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    file.close()
    link.close()


class LoopbackServer:
    """A server on the loopback interface with one thread per connection."""

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.ended = 0  # connections
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                link, _ = self.socket.accept()
                threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError):
            self.serve(link, link.makefile("rb"))
        self.ended += 1

    def serve(self, link: socket.socket, lines: IO[bytes]) -> None:
        raise NotImplementedError


class Backend(LoopbackServer):
    """An emulated backend that answers each OPEN by its next mode, and by the last one from then on.

    A mode is a line, a line with " then reset", "reset" or "hang". After the answer it echoes lines.
    """

    def __init__(self, name: str, *modes: str) -> None:
        self.name = name
        self.modes = list(modes) or ["UP r"]
        self.ends: list[str] = []  # how each connection ended, as seen here: "ended" or "reset"
        self.unresponsive = False  # lines get no response
        self.stats = "utilization=0.2,recent_ms=4,x0=0.2"
        self.open_lines: list[str] = []
        self.opened: list[socket.socket] = []
        self.last: socket.socket  # connection of the newest OPEN
        super().__init__()

    def entry(self, phase: str = "up") -> dict:
        return {
            "id": self.name,
            "host_port": self.address,
            "locality": "here",
            "flavor": "box",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    def serve(self, link: socket.socket, lines: IO[bytes]) -> None:
        end = "ended"
        try:
            self.serve_lines(link, lines)
        except ConnectionResetError:
            end = "reset"
        self.ends.append(end)
        with contextlib.suppress(OSError):
            lines.close()
            link.close()

    def serve_lines(self, link: socket.socket, lines: IO[bytes]) -> None:
        for line in lines:
            if line == b"STATS\r\n":
                link.sendall(f"PONG {self.stats}\r\n".encode())
            elif not line.startswith(b"OPEN"):
                if line == b"RESET\r\n":
                    reset(link, lines)
                    return
                if not self.unresponsive:
                    link.sendall(line)
            else:
                self.last = link
                self.open_lines.append(line.decode().strip())
                mode = self.modes.pop(0) if len(self.modes) > 1 else self.modes[0]
                if mode == "reset":
                    reset(link, lines)
                    return
                # Recorded before the answer is sent, as the test may look at it right after the answer.
                if mode.startswith("UP"):
                    self.opened.append(link)
                if mode != "hang":
                    link.sendall(mode.removesuffix(" then reset").encode() + b"\r\n")
                if mode.endswith(" then reset"):
                    reset(link, lines)
                    return


def http(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Discovery(LoopbackServer):
    """An emulated discovery service: holds the list and its revision; a watch waits for the next change."""

    def __init__(self, members: list[dict]) -> None:
        self.members = members
        self.revision = 7
        self.changes: list[dict] = []
        self.calls: list[tuple[float, str]] = []
        self.answered: list[float] = []
        self.broken: bytes | None = None  # sent instead of the next answers
        self.back = 0  # subtracted from the revisions that it reports
        self.twice = False  # every answer is sent twice
        self.changed = threading.Condition()
        self.links: set[socket.socket] = set()
        # Connections that fall silent, with the bytes that they still send.
        self.silent: dict[socket.socket, bytes] = {}
        self.down = False  # every call is reset
        super().__init__()

    def fall_silent(self, part: bytes = b"") -> None:
        """On connections that are open now, sends only `part` of the next answer and nothing after it."""
        self.silent |= dict.fromkeys(self.links, part)

    def go_down(self) -> None:
        with self.changed:
            self.down = True
            self.changed.notify_all()

    def publish(self, *entries: dict) -> None:
        with self.changed:
            self.changes = list(entries)
            self.revision += 1
            self.changed.notify_all()

    def serve(self, link: socket.socket, lines: IO[bytes]) -> None:
        self.links.add(link)
        try:
            self.answer(link, lines)
        finally:
            self.links.discard(link)
            lines.close()
            link.close()

    def answer(self, link: socket.socket, lines: IO[bytes]) -> None:
        for line in lines:
            if not line.startswith(b"GET"):
                continue
            target = line.split()[1].decode()
            self.calls.append((time.monotonic(), target))
            asked = [int(part.split("=")[1]) for part in target.partition("?")[2].split("&") if part]
            since, wait = asked or (-1, 0)
            with self.changed:
                if self.broken is None:
                    self.changed.wait_for(lambda since=since: self.down or self.revision > since, wait / 1000)
                news = self.members if not asked else self.changes if self.revision > since else []
                answer = {"revision": self.revision - self.back, "complete": not asked, "members": news}
            if self.down:
                reset(link, lines)
                return
            if link in self.silent:
                link.sendall(self.silent[link])
                continue
            self.answered.append(time.monotonic())
            self.send(link, (self.broken or http(self.encode(answer))) * (1 + self.twice))

    def encode(self, answer: dict) -> bytes:
        return json.dumps(answer).encode()

    def send(self, link: socket.socket, data: bytes) -> None:
        link.sendall(data)


IDS = count(1)


class Client:
    """A client's connection to the relay."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.link = socket.create_connection(address, timeout=8)
        self.file = self.link.makefile("rb")

    def exchange(self, line: str) -> str:
        self.link.sendall(line.encode() + b"\r\n")
        return self.read_line()

    def read_line(self) -> str:
        """Returns the next line; "" at the end of the connection, "reset" if it was reset."""
        try:
            return self.file.readline().decode().removesuffix("\r\n")
        except ConnectionResetError:
            return "reset"

    def close(self) -> None:
        self.file.close()
        self.link.close()

    def open(self, key: str = "k", names: str = "c=feed,d=1500,g=g1") -> str:
        self.id = f"{next(IDS):016x}"
        return self.exchange(f"OPEN {self.id} {key} {names}")


# Ports below the system's ephemeral range: a connection of a concurrent test could take an ephemeral port
# between its choice and its opening by the relay, which then would not start. Concurrent processes begin at
# different places of the range.
PORTS = cycle(range(10_000, 32_000))
for _ in range(os.getpid() * 977 % 22_000):
    next(PORTS)


def free_port() -> int:
    """Returns a port on which nothing listens."""
    for port in PORTS:
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    raise AssertionError("unreachable, as the ports are tried in a cycle")


def is_paused(pid: int) -> bool:
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "T"


class RelayProgram:
    """The relay, started as a process."""

    environment: Mapping[str, str] = {}  # in addition to this process's own

    def __init__(
        self, tmp: Path, backends: list[Backend], arguments: Sequence[str] = (), **other: object
    ) -> None:
        self.backends = backends
        self.arguments = arguments
        self.discovery = Discovery([backend.entry() for backend in backends])
        self.address = ("127.0.0.1", free_port())
        config = {
            "name": "n0",
            "listen": "{}:{}".format(*self.address),
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": {"revision": 7, "complete": True, "members": self.discovery.members},
            "settings": SETTINGS,
        } | other
        self.config = config
        self.path = tmp / "config.json"
        self.path.write_text(json.dumps(config))
        self.log = tmp / "log"
        self.start()

    def command(self) -> list[str]:
        return [sys.executable, "-m", "cedarledge", *self.arguments]

    def start(self) -> None:
        self.process = subprocess.Popen(
            self.command(),
            stderr=self.log.open("ab"),
            env=os.environ | self.environment | {"BALANCER_CONFIG": str(self.path)},
        )

    def __enter__(self) -> RelayProgram:
        wait_until(lambda: self.process.poll() is not None or self.answers())
        assert self.process.poll() is None, self.log.read_text()
        return self

    def answers(self) -> bool:
        with contextlib.suppress(OSError):
            return self.client().exchange("PING") == "PONG"
        return False

    def __exit__(self, *_: object) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def client(self) -> Client:
        return Client(self.address)

    def reload(self, text: str | None = None, **other: object) -> None:
        self.path.write_text(text or json.dumps(self.config | other))
        self.process.send_signal(signal.SIGHUP)

    def pause(self) -> None:
        self.process.send_signal(signal.SIGSTOP)
        self.until_paused()

    def until_paused(self) -> None:
        """Waits until the process is stopped, by whatever signal or by itself."""
        wait_until(lambda: is_paused(self.process.pid))

    def resume(self) -> None:
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)


def wait_until(holds: Callable[[], bool], within: float = 8) -> float:
    """Waits until a condition holds, and returns how long that took, in s."""
    start = time.monotonic()
    while not holds():
        assert time.monotonic() - start < within, "the condition did not hold in time"
        time.sleep(0.005)
    return time.monotonic() - start


__all__ = [
    "MS",
    "SECOND",
    "START",
    "TICK",
    "Backend",
    "ClientRequest",
    "RelayProgram",
    "RuleCheckingHost",
    "host_with_backends",
    "http",
    "learn_loads",
    "list_entry",
    "make_settings",
    "reset",
    "wait_until",
]
