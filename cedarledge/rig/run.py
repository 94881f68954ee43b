"""One run: starts the stand-ins and the relays as processes, plays what the schedule has for relays, and has
the books judged. One run a process, since a reactor runs once."""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.protocol import ProcessProtocol

from cedarledge.faults.preload import compile_library, merge_environments
from cedarledge.faults.system_calls import SystemCallFaults
from cedarledge.faults.wall_clock import WallClock
from cedarledge.net.reactor import install_reactor
from cedarledge.net.timers import Timer, Timers
from cedarledge.rig.variants import Variant
from cedarledge.standins.clients import PingProbe, connect_to_relay
from cedarledge.standins.discovery import Discovery
from cedarledge.standins.event_log import EventLog, RelayLifetime, TimerLateness, read_event_logs
from cedarledge.standins.judge import Judge, Verdict
from cedarledge.standins.plan import (
    Plan,
    ProcessSpec,
    ScheduledEvent,
    discovery_address,
    discovery_proxy_address,
    peer_address,
    peer_proxy_address,
    relay_address,
)
from cedarledge.standins.process_context import ProcessContext
from cedarledge.standins.worker import LatenessMonitor
from cedarledge.terms import MS, SECOND

PORTS = (10_000, 28_000)
# Until the run begins the processes start; more boxes take longer to listen, and relays share the cores.
START_WITHIN, START_A_PORT, START_A_RELAY = 2500 * MS, MS, 150 * MS
# After the end of the clients the boxes' processes write what they still see.
SETTLE = 1500 * MS
# A relay that was asked to stop is killed after its longest client timeout, 3 s at most, and this.
KILL_LATER, LONGEST_STOP = 700 * MS, 3 * SECOND
RESTART_AFTER = 200 * MS
SAMPLE_EVERY, READY_EVERY = 500 * MS, 50 * MS
# How much of a relay's log is kept.
LOG_KEPT = 4 << 20


class RunError(Exception):
    """The run could not be made."""


class TooSlowError(RunError):
    """This machine did not have the processes ready in time."""


def free_port() -> tuple[int, socket.socket]:
    """A port that no other run here uses, and the socket that says so; below those that systems hand out."""
    chance = random.SystemRandom()
    for _ in range(200):
        port = chance.randrange(*PORTS, 4)
        lock = socket.socket()
        try:
            lock.bind(("127.7.0.1", port))
            return port, lock
        except OSError:
            lock.close()
    raise RunError("no port is free")


class WorkerProcess(ProcessProtocol):
    def __init__(self, run: Run, post: ProcessSpec) -> None:
        self.run = run
        self.post = post
        self.ready = self.over = False
        self.rest = b""
        self.errors = b""
        self.last: dict[str, Any] = {}

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(msgspec.json.encode(self.post))
        self.transport.closeStdin()

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            if line == b"ready":
                self.ready = True
            elif line.startswith(b"{"):
                self.last = json.loads(line)

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        self.errors = (self.errors + data)[-20_000:]

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        self.over = True
        if reason.value.exitCode != 0:
            self.run.fail(
                f"a stand-in ({self.post.role} {self.post.part}) ended with {reason.value.exitCode}: "
                + self.errors.decode(errors="replace")[-3000:]
            )


class RelayProcess(ProcessProtocol):
    """One process of a relay, from its start to its end."""

    def __init__(self, run: Run, relay: int, path: Path) -> None:
        self.run = run
        self.relay = relay
        self.began = run.now()
        self.ready: int | None = None
        self.how = ""
        self.cpu = self.peak = 0
        self.log = path.open("ab")
        self.over = False
        self.restarts = False
        self.due: Timer | None = None

    def connectionMade(self) -> None:  # noqa: N802
        self._ask()
        self._sample()

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        if self.log.tell() < LOG_KEPT:
            self.log.write(data)

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        self.errReceived(data)

    def _ask(self) -> None:
        if self.ready is None and not self.over:
            ping = PingProbe(self.run.timers, self._answers)
            connect_to_relay(self.run.reactor, self.relay, self.run.port, ping, lambda _why: None)
            self.run.timers.after(READY_EVERY, self._ask)

    def _answers(self) -> None:
        if self.ready is None:
            self.ready = self.run.now()

    def _sample(self) -> None:
        if self.over:
            return
        self.measure()
        self.run.timers.after(SAMPLE_EVERY, self._sample)

    def measure(self) -> None:
        """What the system says that it has used: processor time in ns, peak memory in KB."""
        with contextlib.suppress(OSError, IndexError, ValueError):
            fields = Path(f"/proc/{self.transport.pid}/stat").read_text().rpartition(")")[2].split()
            self.cpu = (int(fields[11]) + int(fields[12])) * SECOND // os.sysconf("SC_CLK_TCK")
            for line in Path(f"/proc/{self.transport.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    self.peak = int(line.split()[1])

    def end(self, how: str, sign: str) -> None:
        if not self.over:
            self.measure()
            self.how = how
            with contextlib.suppress(Exception):
                self.transport.signalProcess(sign)

    def signal_again(self) -> None:
        """One more of a series: SIGHUP, and SIGTERM where it was told to end. One that is only starting could
        not have been told to before."""
        if self.over or self.ready is None:
            return
        for sign in ("HUP", "TERM") if self.how == "stopped" else ("HUP",):
            with contextlib.suppress(Exception):
                self.transport.signalProcess(sign)

    def stop(self) -> None:
        """A planned end; a relay that takes too long over it is killed, and that counts as a crash."""
        self.restarts = True
        self.end("stopped", "TERM")
        longest = max(profile.client_timeout for profile in self.run.plan.profiles)
        self.due = self.run.timers.after(min(LONGEST_STOP, longest) + KILL_LATER, self.end, "overran", "KILL")

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        self.over = True
        self.run.timers.cancel(self.due)
        code = reason.value.exitCode
        code = -(reason.value.signal or 0) if code is None else code
        how = self.how
        if not how or how == "overran" or (how == "stopped" and code != 0):
            how = "crashed"
        self.run.book.write(
            RelayLifetime(self.relay, self.began, self.ready, self.run.now(), how, code, self.cpu, self.peak)
        )
        self.log.close()
        if self.restarts:
            self.run.timers.after(RESTART_AFTER, self.run.start_relay, self.relay)


class Run:
    """Everything of one run that is not in another process."""

    def __init__(
        self,
        reactor: Any,
        plan: Plan,
        variant: Variant,
        folder: Path,
        progress: Callable[[dict[str, Any]], None] | None,
    ) -> None:
        self.reactor = reactor
        self.plan = plan
        self.variant = variant
        self.folder = folder
        self.progress = progress
        self.port, self.lock = free_port()
        ports = len(plan.boxes) * plan.relays
        parts = {
            "boxes": 1 + max(len(plan.boxes) // 80, plan.client_settings.initial_clients // 2500),
            "clients": 1 + plan.client_settings.initial_clients // 1200,
        } | ({"lanes": 1} if plan.peers_enabled or plan.proxied_relays else {})
        self._prepare_faults()
        lead = START_WITHIN + START_A_PORT * ports // parts["boxes"] + 200 * MS * sum(parts.values())
        lead += START_A_RELAY * plan.relays
        self.begin = time.monotonic_ns() + lead
        self.begin_unix_ms = (time.time_ns() + lead) // MS
        self.timers = Timers(reactor, self.now)
        self.books = [folder / "rig.book"]
        self.book = EventLog(self.books[0])
        self.lateness = LatenessMonitor(self.timers, self.now)
        stage = ProcessContext(reactor, self.timers, self.now, plan, self.port, self.book)
        self.discovery = Discovery(stage, self.begin_unix_ms)
        self.workers: list[WorkerProcess] = []
        self.relays: dict[int, RelayProcess] = {}
        self.failure: RunError | None = None
        for role, count in parts.items():
            for part in range(count):
                book = folder / f"{role}-{part}.book"
                self.books.append(book)
                self.workers.append(
                    WorkerProcess(
                        self,
                        ProcessSpec(
                            plan, role, part, count, self.port, self.begin, self.begin_unix_ms, str(book)
                        ),
                    )
                )

    def _prepare_faults(self) -> None:
        """Wall clocks and system calls of relays, which outlive their processes. Libraries are compiled once
        and before the run's beginning is set: each takes a tenth of a second."""
        stepped = {act.index for act in self.plan.events if act.target == "relay" and act.action == "step"}
        failing = {
            act.index: act.size
            for act in self.plan.events
            if act.target == "relay" and act.action == "system_calls"
        }
        clock_library = compile_library("wall_clock", self.folder) if stepped else None
        calls_library = compile_library("system_calls", self.folder) if failing else None
        self.clocks = {
            relay: WallClock(self._fault_folder(relay), clock_library) for relay in sorted(stepped)
        }
        self.system_calls = {
            relay: SystemCallFaults(self._fault_folder(relay), self.plan.seed, rate, library=calls_library)
            for relay, rate in failing.items()
        }

    def _fault_folder(self, relay: int) -> Path:
        folder = self.folder / f"faults-{relay}"
        folder.mkdir(exist_ok=True)
        return folder

    def now(self) -> int:
        return time.monotonic_ns() - self.begin

    def start(self) -> None:
        self.discovery.open()
        if self.plan.peers_enabled:
            from cedarledge.rig.looks import Looks

            Looks(self, self.plan.operator["peers"]["fleet"]).open()
        for worker in self.workers:
            self.reactor.spawnProcess(
                worker,
                sys.executable,
                [sys.executable, "-m", "cedarledge.standins.worker"],
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )
        for relay in range(self.plan.relays):
            self.start_relay(relay)
        self.timers.after(-self.now(), self._begin)

    def start_relay(self, relay: int, under: int | None = None) -> None:
        """`under`: with the name of that other one."""
        if self.now() >= self.plan.seconds * SECOND or self.failure is not None:
            return
        running = self.relays.get(relay)
        if running is not None and not running.over:
            return  # it was started by another fault, or comes back from its planned stop
        name = f"n{relay if under is None else under}"
        path = self.folder / f"relay-{relay}.json"
        chance = random.Random(self.plan.seed * 7919 + relay * 31 + (self.now() > 0))
        path.write_text(
            json.dumps(
                {
                    "name": name,
                    "listen": f"{relay_address(relay)}:{self.port}",
                    "discovery": f"{self._discovery(relay)}:{self.port}",
                    "seed": f"{chance.getrandbits(64):016x}",
                    "limits": {"cores": 1.0, "memory_mb": self.plan.memory_mb, "sockets": self.plan.sockets},
                    "known": self.discovery.initial_list(relay),
                    "settings": self.plan.settings
                    | {"me": relay, "zone": self.plan.zones.zone_of_relay(relay)},
                }
            )
        )
        process = self.relays[relay] = RelayProcess(self, relay, self.folder / f"relay-{relay}.log")
        env = os.environ | {"BALANCER_CONFIG": str(path), "BALANCER_NAME": name} | self.variant.env
        faults = (self.clocks.get(relay), self.system_calls.get(relay))
        env |= merge_environments(*(fault.environment() for fault in faults if fault is not None))
        command = self.variant.command
        if self.plan.operator and self.variant.takes_file:
            command = [*command, "relay", "--file", self._operator_file(relay)]
        self.reactor.spawnProcess(process, command[0], command, env=env, path=self.variant.cwd)

    def _discovery(self, relay: int) -> str:
        return (discovery_proxy_address if relay in self.plan.proxied_relays else discovery_address)(relay)

    def _operator_file(self, relay: int) -> str:
        told = dict(self.plan.operator)
        if self.plan.peers_enabled:
            told["peers"] = told["peers"] | {
                "region": "region-"
                f"{self.plan.zones.region_of_zone(self.plan.zones.zone_of_relay(relay)) + 1}",
                "listen": f"{peer_address(relay)}:{self.port}",
                "told": f"{peer_proxy_address(relay)}:{self.port}",
                "seeds": [f"{peer_proxy_address(seed)}:{self.port}" for seed in range(3)],
            }
        path = self.folder / f"operator-{relay}.toml"
        path.write_bytes(msgspec.toml.encode(told))
        return str(path)

    def _begin(self) -> None:
        slow = [worker for worker in self.workers if not worker.ready]
        if slow:
            self.fail(f"{len(slow)} of {len(self.workers)} stand-ins were not ready in time", TooSlowError)
            return
        unready = [relay for relay, process in self.relays.items() if process.ready is None]
        if unready:
            self.fail(f"relays {unready} were not ready in time; --keep keeps their logs", TooSlowError)
            return
        self.lateness.begin()
        self.discovery.begin()
        for act in self.plan.events:
            if act.target == "relay":
                self.timers.after(act.at - self.now(), self._played, act)
        self._second(1)
        self.timers.after(int(self.plan.seconds * SECOND) + 100 * MS - self.now(), self._end)

    def _played(self, act: ScheduledEvent) -> None:
        process = self.relays[act.index]
        if act.action == "system_calls":
            return  # it was started with them
        if act.action == "kill":
            process.end("killed", "KILL")
        elif act.action == "stop":
            process.stop()
        elif act.action == "step":
            self.clocks[act.index].step(int(act.size))
        elif act.action == "signal":
            process.signal_again()
        elif act.action in ("pause", "resume"):
            if not process.over:
                process.transport.signalProcess(signal.SIGSTOP if act.action == "pause" else signal.SIGCONT)
        elif process.over:
            self.start_relay(act.index, act.relay if act.relay >= 0 else None)

    def _second(self, second: int) -> None:
        self.timers.after(second * SECOND + 150 * MS - self.now(), self._tell, second)

    def _tell(self, second: int) -> None:
        if self.progress is not None:
            self.progress(
                {
                    "second": second,
                    "of": self.plan.seconds,
                    "workers": [w.last for w in self.workers],
                    "relays": {
                        relay: "down" if process.over else process.how or "up"
                        for relay, process in self.relays.items()
                    },
                    "list": dict(self.discovery.phases),
                }
            )
        if second < self.plan.seconds:
            self._second(second + 1)

    def _end(self) -> None:
        # Stand-ins end a little after the clients, relays after them: who ends first is seen as a cut by the
        # rest.
        self.timers.after(SETTLE, self._end_relays)

    def _end_relays(self) -> None:
        for process in self.relays.values():
            process.restarts = False
            process.end("over", "KILL")
        self.timers.after(300 * MS, self._close)

    def _close(self) -> None:
        if not all(process.over for process in (*self.relays.values(), *self.workers)):
            self.timers.after(100 * MS, self._close)
            return
        self.book.write(TimerLateness("rig", self.lateness.worst, self.lateness.at))
        self.reactor.stop()

    def fail(self, why: str, kind: type[RunError] = RunError) -> None:
        if self.failure is not None:
            return
        self.failure = kind(why)
        for process in self.relays.values():
            process.restarts = False
            process.end("over", "KILL")
        for worker in self.workers:
            if not worker.over and worker.transport is not None:
                with contextlib.suppress(Exception):
                    worker.transport.signalProcess("KILL")
        if self.reactor.running:
            self.timers.after(200 * MS, self.reactor.stop)


def run_plan(
    plan: Plan,
    variant: Variant,
    progress: Callable[[dict[str, Any]], None] | None = None,
    keep: Path | None = None,
) -> Verdict:
    """Makes the run and judges it; `keep` is a folder for its books and the relays' logs. Raises RunError."""
    reactor = install_reactor()

    with contextlib.ExitStack() as stack:
        if keep is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="cedarledge-rig-")))
        else:
            folder = keep
            folder.mkdir(parents=True, exist_ok=True)
        run = Run(reactor, plan, variant, folder, progress)
        # Ctrl-C ends what was started here, and nothing else.
        previous = signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(run.fail, "interrupted"))
        reactor.callWhenRunning(run.start)
        reactor.run(installSignalHandlers=True)
        signal.signal(signal.SIGINT, previous)
        run.book.close()
        run.lock.close()
        for clock in run.clocks.values():
            clock.close()
        if run.failure is not None:
            raise run.failure
        return Judge(plan, read_event_logs(run.books)).verdict()
