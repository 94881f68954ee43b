"""What the tests share: a recording host that holds the balancer to the four rules, and, for the program on
sockets, stand-ins for clients, backends and discovery."""

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
    ep: int,
    standing: BackendState = BackendState.READY,
    started: int = 0,
    cells: int = 2,
    weight: float = 1.0,
) -> BackendEntry:
    return BackendEntry(ep, ep % cells, ep % 2, 0, weight, standing, started, ep)


@dataclass
class ClientRequest:
    profile: int
    arrived: int
    give_up: int
    answered: bool = False
    setups: list[list] = field(default_factory=list)  # [ep, sent at, outcome or None, opened]


class RuleCheckingHost:
    """Records every call, and fails on the first that breaks a rule."""

    def __init__(self, site: DeploymentSettings, answers: bool = True) -> None:
        self.settings = site
        self.answers = answers
        self.now = site.start_time
        self.requests: dict[int, ClientRequest] = {}
        self.listing: dict[int, BackendEntry] = {}
        self.sends: list[tuple[int, int, int]] = []  # time, tunnel, ep
        self.probes: list[tuple[int, int]] = []
        self.moves: list[int] = []
        self.declines: list[tuple[int, int]] = []
        self.watches: list[int] = []
        self.wakes: list[tuple[int, int]] = []
        self.told: dict[int, float] = {}  # what each backend last reported, and says again when looked at
        self.balancer = Balancer(self, site)

    # -- the host interface, with the rules ------------------------------------------------------

    def _may_have_run(self, case: ClientRequest) -> list[list]:
        return [setup for setup in case.setups if setup[2] not in NEVER_RAN]

    def attempt(self, tun: int, ep: int, timeout: int) -> None:
        case, row = self.requests[tun], self.settings.request_classes[self.requests[tun].profile]
        assert not case.answered, "a send after the final answer"
        assert all(setup[2] is not None for setup in case.setups), "two setups out at once"
        assert len(case.setups) < self.settings.max_attempts
        assert 0 < timeout <= case.give_up - self.now, "a time-out past the client timeout"
        assert self.listing[ep].state is BackendState.READY, "a send to a draining or gone backend"
        ran = self._may_have_run(case)
        if ran and row.effect is not Effect.IDEMPOTENT:
            assert row.effect is Effect.DEDUPLICATED, "a once-only tunnel may run twice"
            first = ran[0]
            assert self.now < first[1] + row.window, "a repeat outside the window"
            one, two = self.listing[first[0]], self.listing[ep]
            assert (
                row.dedup is Dedup.ALL
                or (row.dedup is Dedup.ZONE and one.zone == two.zone)
                or (row.dedup is Dedup.CELL and one.cell == two.cell)
            ), "a repeat outside the group"
        case.setups.append([ep, self.now, None, False])
        self.sends.append((self.now, tun, ep))

    def reject(self, tun: int, come_back: int) -> None:
        case, row = self.requests[tun], self.settings.request_classes[self.requests[tun].profile]
        assert not case.answered, "two final answers"
        assert 0 <= come_back <= self.settings.max_retry_after
        assert (
            not self._may_have_run(case)
            or row.effect is Effect.IDEMPOTENT
            or (row.effect is Effect.DEDUPLICATED and row.dedup is Dedup.ALL)
        ), "a decline after a run"
        case.answered = True
        self.declines.append((self.now, tun))

    def close_with_error(self, tun: int) -> None:
        assert not self.requests[tun].answered, "two final answers"
        self.requests[tun].answered = True

    def move(self, tun: int) -> None:
        assert self.requests[tun].setups[-1][3], "a move of a tunnel that is not open"
        self.moves.append(tun)

    def probe(self, ep: int) -> None:
        self.probes.append((self.now, ep))

    def set_timer(self, delay: int, token: int) -> None:
        assert delay > 0
        self.wakes.append((self.now + delay // 1000 * 1000, token))  # a host that counts microseconds

    def request_list(self) -> None:
        self.watches.append(self.now)

    def log(self, text: str) -> None:
        pass

    # -- what happens ------------------------------------------------------------------------------

    def check(self) -> None:
        for case in self.requests.values():
            held = case.setups and case.setups[-1][2] is None
            looks = (
                self.now
                < case.arrived + self.settings.request_classes[case.profile].setup_latency_target // 4
            )
            assert case.answered or held or looks, "a tunnel with neither an answer nor a setup out"

    def tell(self, form: ListForm, *entries: BackendEntry) -> None:
        if form is not ListForm.UNAVAILABLE:
            if form is not ListForm.CHANGES:
                for ep, old in self.listing.items():
                    self.listing[ep] = old._replace(state=BackendState.GONE)
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
        tun = len(self.requests)
        self.requests[tun] = ClientRequest(profile, self.now, self.now + budget)
        self.balancer.connection_requested(self.now, tun, profile, tenant, key, group, budget, hint, False)
        while self.answers and tun in self.balancer.state.awaiting_probe:
            ep = self.balancer.state.awaiting_probe[tun].backend_id
            self.report(ep, self.told.get(ep, 0.0))
        return tun

    def adopt(self, ep: int, hint: float | None = None, group: str | None = None) -> int:
        tun = len(self.requests)
        self.requests[tun] = ClientRequest(0, self.now, self.now, True, [[ep, self.now, None, True]])
        self.balancer.connection_adopted(self.now, tun, 0, None, None, group, ep, hint)
        return tun

    def open(self, tun: int) -> None:
        setup = self.requests[tun].setups[-1]
        setup[3] = self.requests[tun].answered = True
        self.balancer.connection_opened(self.now, tun, self.now - setup[1])

    def end(self, tun: int, outcome: Outcome) -> None:
        case = self.requests[tun]
        setup = case.setups[-1]
        setup[2] = outcome
        if outcome is Outcome.DONE:
            case.answered = True
        self.balancer.attempt_ended(
            self.now, tun, setup[0], case.answered, outcome, self.now - setup[1], None
        )

    def end_moved(self) -> None:
        for tun in self.moves:
            if self.requests[tun].setups[-1][2] is None:
                self.end(tun, Outcome.CANCELLED)

    def report(self, ep: int, asked: float) -> None:
        self.told[ep] = asked
        self.balancer.probe_ended(self.now, ep, True, LoadReport(offered_load=asked))

    def run(self, span: int) -> None:
        """Lets time pass, with the wakes that fall due."""
        end = self.now + span
        while due := [wake for wake in self.wakes if wake[0] <= end]:
            wake = min(due)
            self.wakes.remove(wake)
            self.now = wake[0]
            self.balancer.timer_fired(self.now, wake[1])
        self.now = end


def host_with_backends(
    size: int = 6, asked: float | None = 0.3, cells: int = 2, **other: object
) -> RuleCheckingHost:
    host = RuleCheckingHost(make_settings(**other))
    host.tell(ListForm.RESTORED, *(list_entry(ep, cells=cells) for ep in range(size)))
    if asked is not None:
        for ep in range(size):
            host.report(ep, asked)
    return host


def learn_loads(host: RuleCheckingHost) -> None:
    """Eight tunnels of 100 on the fleet, and reports of half its load."""
    for number in range(8):
        host.open(host.arrive(hint=100.0, key=str(number)))
    for _ in range(4):
        host.now += 500 * MS
        for ep in host.listing:
            host.report(ep, 0.5)


# -- the program on sockets ------------------------------------------------------------------------

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
    link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    file.close()
    link.close()


class LoopbackServer:
    """A server on loopback with a thread for each connection."""

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
    """Answers OPEN by the next of its modes, the last for good: a line (perhaps " then reset"), "reset" or
    "hang". Then it echoes."""

    def __init__(self, name: str, *modes: str) -> None:
        self.name = name
        self.modes = list(modes) or ["UP r"]
        self.ends: list[str] = []  # how clients' connections ended, as seen here
        self.deaf = False
        self.stats = "utilization=0.2,recent_ms=4,x0=0.2"
        self.heads: list[str] = []
        self.opened: list[socket.socket] = []
        self.last: socket.socket  # by which the newest head came
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
            self.talk(link, lines)
        except ConnectionResetError:
            end = "reset"
        self.ends.append(end)
        with contextlib.suppress(OSError):
            lines.close()
            link.close()

    def talk(self, link: socket.socket, lines: IO[bytes]) -> None:
        for line in lines:
            if line == b"STATS\r\n":
                link.sendall(f"PONG {self.stats}\r\n".encode())
            elif not line.startswith(b"OPEN"):
                if line == b"RESET\r\n":
                    reset(link, lines)
                    return
                if not self.deaf:
                    link.sendall(line)
            else:
                self.last = link
                self.heads.append(line.decode().strip())
                mode = self.modes.pop(0) if len(self.modes) > 1 else self.modes[0]
                if mode == "reset":
                    reset(link, lines)
                    return
                # Noted before it is said: whoever hears UP may look here at once.
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
    """Holds the list and its revision; a watch waits for the next change."""

    def __init__(self, members: list[dict]) -> None:
        self.members = members
        self.revision = 7
        self.changes: list[dict] = []
        self.calls: list[tuple[float, str]] = []
        self.answered: list[float] = []
        self.broken: bytes | None = None  # said in place of the next answers
        self.back = 0  # how far the revisions that it tells have gone back
        self.twice = False  # every answer is said twice
        self.changed = threading.Condition()
        self.links: set[socket.socket] = set()
        self.silent: dict[socket.socket, bytes] = {}  # what each of those still says
        self.down = False  # every call ends with a reset
        super().__init__()

    def fall_silent(self, part: bytes = b"") -> None:
        """Who is connected now hears that much of the next answer, and nothing after it."""
        self.silent |= dict.fromkeys(self.links, part)

    def go_down(self) -> None:
        with self.changed:
            self.down = True
            self.changed.notify_all()

    def tell(self, *entries: dict) -> None:
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
                told = {"revision": self.revision - self.back, "complete": not asked, "members": news}
            if self.down:
                reset(link, lines)
                return
            if link in self.silent:
                link.sendall(self.silent[link])
                continue
            self.answered.append(time.monotonic())
            self.say(link, (self.broken or http(self.text_of(told))) * (1 + self.twice))

    def text_of(self, told: dict) -> bytes:
        return json.dumps(told).encode()

    def say(self, link: socket.socket, data: bytes) -> None:
        link.sendall(data)


IDS = count(1)


class Client:
    """One client's connection to the relay."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.link = socket.create_connection(address, timeout=8)
        self.file = self.link.makefile("rb")

    def say(self, line: str) -> str:
        self.link.sendall(line.encode() + b"\r\n")
        return self.read_line()

    def read_line(self) -> str:
        """The next line; empty at the end, "reset" where the connection was reset."""
        try:
            return self.file.readline().decode().removesuffix("\r\n")
        except ConnectionResetError:
            return "reset"

    def close(self) -> None:
        self.file.close()
        self.link.close()

    def open(self, key: str = "k", names: str = "c=feed,d=1500,g=g1") -> str:
        self.id = f"{next(IDS):016x}"
        return self.say(f"OPEN {self.id} {key} {names}")


# Below those that the system deals out: between its choice and its opening by the relay any connection of a
# test beside this one could take it, and the relay would not start. Runs side by side begin elsewhere.
PORTS = cycle(range(10_000, 32_000))
for _ in range(os.getpid() * 977 % 22_000):
    next(PORTS)


def free_port() -> int:
    """One that nobody listens at."""
    for port in PORTS:
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    raise AssertionError("it goes round")


def is_paused(pid: int) -> bool:
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "T"


class RelayProgram:
    """The relay, started as a program."""

    environment: Mapping[str, str] = {}  # beside this process's own

    def __init__(
        self, tmp: Path, backends: list[Backend], arguments: Sequence[str] = (), **other: object
    ) -> None:
        self.backends = backends
        self.arguments = arguments
        self.discovery = Discovery([backend.entry() for backend in backends])
        self.address = ("127.0.0.1", free_port())
        told = {
            "name": "n0",
            "listen": "{}:{}".format(*self.address),
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": {"revision": 7, "complete": True, "members": self.discovery.members},
            "settings": SETTINGS,
        } | other
        self.told = told
        self.path = tmp / "told.json"
        self.path.write_text(json.dumps(told))
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
            return self.client().say("PING") == "PONG"
        return False

    def __exit__(self, *_: object) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def client(self) -> Client:
        return Client(self.address)

    def reload(self, text: str | None = None, **other: object) -> None:
        self.path.write_text(text or json.dumps(self.told | other))
        self.process.send_signal(signal.SIGHUP)

    def pause(self) -> None:
        self.process.send_signal(signal.SIGSTOP)
        self.until_paused()

    def until_paused(self) -> None:
        """Also where it stops by itself."""
        wait_until(lambda: is_paused(self.process.pid))

    def resume(self) -> None:
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)


def wait_until(holds: Callable[[], bool], within: float = 8) -> float:
    """Waits for something to hold, and says how long that took."""
    start = time.monotonic()
    while not holds():
        assert time.monotonic() - start < within, "does not come to hold"
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
