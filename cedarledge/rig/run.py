"""One run: starts the emulated systems and the relays as processes, applies the scheduled events that concern
relays, and has the event logs judged.

A process makes one run only, since a reactor can run only once.
"""

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

# Below the ephemeral ports that Linux assigns by default.
PORT_RANGE = (10_000, 28_000)
# Time between the start of the processes and the start of the run. It grows with the number of ports that a
# process of boxes listens on, with the number of worker processes (200 ms each), and with the number of
# relays, since relays share the cores.
STARTUP_TIME, STARTUP_PER_PORT, STARTUP_PER_RELAY = 2500 * MS, MS, 150 * MS
# After the clients have ended, the processes of the boxes log what they still receive for this long.
SETTLE_TIME = 1500 * MS
# A relay that is stopping is killed after its longest client timeout, at most 3 s, and this margin.
STOP_MARGIN, MAX_STOP_TIME = 700 * MS, 3 * SECOND
RESTART_DELAY = 200 * MS
SAMPLE_INTERVAL, READINESS_INTERVAL = 500 * MS, 50 * MS
# A relay's output beyond this size, in bytes, is discarded.
MAX_LOG_SIZE = 4 << 20


class RunError(Exception):
    """The run could not be made, or was interrupted."""


class TooSlowError(RunError):
    """The processes were not ready in time on this machine."""


def reserve_port() -> tuple[int, socket.socket]:
    """Returns a port that no other run on this machine uses, and the bound socket that reserves it.

    Raises RunError if none is found.
    """
    rng = random.SystemRandom()
    for _ in range(200):
        port = rng.randrange(*PORT_RANGE, 4)
        lock = socket.socket()
        try:
            lock.bind(("127.7.0.1", port))
            return port, lock
        except OSError:
            lock.close()
    raise RunError("no port is free")


class WorkerProcess(ProcessProtocol):
    """A process of emulated boxes, clients or proxies.

    The process receives its specification on stdin. On stdout it writes `ready`, then lines of JSON with its
    current figures.
    """

    def __init__(self, run: Run, spec: ProcessSpec) -> None:
        """Takes the run that is aborted if the process fails, and the process's specification."""
        self.run = run
        self.spec = spec
        self.is_ready = self.has_ended = False
        self.output_buffer = b""
        self.stderr_tail = b""
        self.last_figures: dict[str, Any] = {}

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the specification once the process has started."""
        self.transport.write(msgspec.json.encode(self.spec))
        self.transport.closeStdin()

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads whole lines of stdout."""
        *lines, self.output_buffer = (self.output_buffer + data).split(b"\n")
        for line in lines:
            if line == b"ready":
                self.is_ready = True
            elif line.startswith(b"{"):
                self.last_figures = json.loads(line)

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Keeps the end of stderr for the error message."""
        self.stderr_tail = (self.stderr_tail + data)[-20_000:]

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """Aborts the run if the process failed."""
        self.has_ended = True
        if reason.value.exitCode != 0:
            self.run.abort(
                f"worker process ({self.spec.role} {self.spec.part}) exited with {reason.value.exitCode}: "
                + self.stderr_tail.decode(errors="replace")[-3000:]
            )


class RelayProcess(ProcessProtocol):
    """One process of a relay, from its start to its exit."""

    def __init__(self, run: Run, relay: int, path: Path) -> None:
        """Takes the relay's index and the path of the log file that its output is appended to."""
        self.run = run
        self.relay = relay
        self.started_at = run.now()
        self.ready_at: int | None = None
        self.end_reason = ""  # why the rig ended the process; empty: it has not
        self.cpu_ns = self.peak_kb = 0
        self.log = path.open("ab")
        self.has_ended = False
        self.restart_on_exit = False
        self.kill_timer: Timer | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Starts the readiness probes and the resource samples once the process has started."""
        self._probe_readiness()
        self._sample_usage()

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Appends output to the log, up to MAX_LOG_SIZE."""
        if self.log.tell() < MAX_LOG_SIZE:
            self.log.write(data)

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Logs stdout like stderr."""
        self.errReceived(data)

    def _probe_readiness(self) -> None:
        if self.ready_at is None and not self.has_ended:
            ping = PingProbe(self.run.timers, self._on_pong)
            connect_to_relay(self.run.reactor, self.relay, self.run.port, ping, lambda _reason: None)
            self.run.timers.after(READINESS_INTERVAL, self._probe_readiness)

    def _on_pong(self) -> None:
        if self.ready_at is None:
            self.ready_at = self.run.now()

    def _sample_usage(self) -> None:
        if self.has_ended:
            return
        self.measure_usage()
        self.run.timers.after(SAMPLE_INTERVAL, self._sample_usage)

    def measure_usage(self) -> None:
        """Reads processor time (ns) and peak memory (KB) from /proc; keeps the old values if that fails."""
        with contextlib.suppress(OSError, IndexError, ValueError):
            fields = Path(f"/proc/{self.transport.pid}/stat").read_text().rpartition(")")[2].split()
            self.cpu_ns = (int(fields[11]) + int(fields[12])) * SECOND // os.sysconf("SC_CLK_TCK")
            for line in Path(f"/proc/{self.transport.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    self.peak_kb = int(line.split()[1])

    def terminate(self, end_reason: str, signal_name: str) -> None:
        """Sends a signal that ends the process (`KILL`, `TERM`) and records the reason."""
        if not self.has_ended:
            self.measure_usage()
            self.end_reason = end_reason
            with contextlib.suppress(Exception):
                self.transport.signalProcess(signal_name)

    def resend_signals(self) -> None:
        """Sends SIGHUP, and SIGTERM again if the process is stopping.

        A process that is still starting gets none: no operator could have signalled it yet.
        """
        if self.has_ended or self.ready_at is None:
            return
        for signal_name in ("HUP", "TERM") if self.end_reason == "stopped" else ("HUP",):
            with contextlib.suppress(Exception):
                self.transport.signalProcess(signal_name)

    def stop(self) -> None:
        """Stops the relay by SIGTERM and starts it again after its exit.

        A relay that does not stop in time is killed, which counts as a crash.
        """
        self.restart_on_exit = True
        self.terminate("stopped", "TERM")
        longest_timeout = max(profile.client_timeout for profile in self.run.plan.profiles)
        self.kill_timer = self.run.timers.after(
            min(MAX_STOP_TIME, longest_timeout) + STOP_MARGIN, self.terminate, "overran", "KILL"
        )

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """Logs the process's lifetime as an event and restarts the relay after a planned stop."""
        self.has_ended = True
        self.run.timers.cancel(self.kill_timer)
        code = reason.value.exitCode
        code = -(reason.value.signal or 0) if code is None else code
        end_reason = self.end_reason
        if not end_reason or end_reason == "overran" or (end_reason == "stopped" and code != 0):
            end_reason = "crashed"
        self.run.event_log.write(
            RelayLifetime(
                self.relay,
                self.started_at,
                self.ready_at,
                self.run.now(),
                end_reason,
                code,
                self.cpu_ns,
                self.peak_kb,
            )
        )
        self.log.close()
        if self.restart_on_exit:
            self.run.timers.after(RESTART_DELAY, self.run.start_relay, self.relay)


class Run:
    """One run: its worker and relay processes, and the emulated discovery service inside this process.

    Times are ns after the run's start, which lies a startup time after the creation of this object.
    """

    def __init__(
        self,
        reactor: Any,
        plan: Plan,
        variant: Variant,
        folder: Path,
        progress: Callable[[dict[str, Any]], None] | None,
    ) -> None:
        """Reserves the port, prepares faults and defines the worker processes; `start` starts them.

        `folder` gets all files of the run. `progress` is called each second with the current figures.
        Raises RunError if no port is free.
        """
        self.reactor = reactor
        self.plan = plan
        self.variant = variant
        self.folder = folder
        self.progress = progress
        self.port, self.port_lock = reserve_port()
        ports = len(plan.boxes) * plan.relays
        worker_counts = {
            "boxes": 1 + max(len(plan.boxes) // 80, plan.client_settings.initial_clients // 2500),
            "clients": 1 + plan.client_settings.initial_clients // 1200,
        } | ({"lanes": 1} if plan.peers_enabled or plan.proxied_relays else {})
        self._prepare_faults()
        startup_time = (
            STARTUP_TIME
            + STARTUP_PER_PORT * ports // worker_counts["boxes"]
            + 200 * MS * sum(worker_counts.values())
        )
        startup_time += STARTUP_PER_RELAY * plan.relays
        self.start_time = time.monotonic_ns() + startup_time
        self.start_unix_ms = (time.time_ns() + startup_time) // MS
        self.timers = Timers(reactor, self.now)
        self.event_log_paths = [folder / "rig.book"]
        self.event_log = EventLog(self.event_log_paths[0])
        self.lateness_monitor = LatenessMonitor(self.timers, self.now)
        context = ProcessContext(reactor, self.timers, self.now, plan, self.port, self.event_log)
        self.discovery = Discovery(context, self.start_unix_ms)
        self.workers: list[WorkerProcess] = []
        self.relays: dict[int, RelayProcess] = {}
        self.failure: RunError | None = None
        for role, count in worker_counts.items():
            for part in range(count):
                path = folder / f"{role}-{part}.book"
                self.event_log_paths.append(path)
                self.workers.append(
                    WorkerProcess(
                        self,
                        ProcessSpec(
                            plan, role, part, count, self.port, self.start_time, self.start_unix_ms, str(path)
                        ),
                    )
                )

    def _prepare_faults(self) -> None:
        """Creates the wall clocks and system call faults of relays, which persist over restarts.

        Libraries are compiled once, before the run's start time is set: each takes a tenth of a second.
        """
        stepped = {
            event.index for event in self.plan.events if event.target == "relay" and event.action == "step"
        }
        failure_rates = {
            event.index: event.size
            for event in self.plan.events
            if event.target == "relay" and event.action == "system_calls"
        }
        clock_library = compile_library("wall_clock", self.folder) if stepped else None
        calls_library = compile_library("system_calls", self.folder) if failure_rates else None
        self.clocks = {
            relay: WallClock(self._fault_folder(relay), clock_library) for relay in sorted(stepped)
        }
        self.system_calls = {
            relay: SystemCallFaults(self._fault_folder(relay), self.plan.seed, rate, library=calls_library)
            for relay, rate in failure_rates.items()
        }

    def _fault_folder(self, relay: int) -> Path:
        folder = self.folder / f"faults-{relay}"
        folder.mkdir(exist_ok=True)
        return folder

    def now(self) -> int:
        """Returns the time since the run's start in ns; negative before it."""
        return time.monotonic_ns() - self.start_time

    def start(self) -> None:
        """Starts discovery, the workers and the relays, and schedules the start of the run."""
        self.discovery.open()
        if self.plan.peers_enabled:
            from cedarledge.rig.membership_sampler import MembershipSampler

            MembershipSampler(self, self.plan.operator["peers"]["fleet"]).open()
        for worker in self.workers:
            self.reactor.spawnProcess(
                worker,
                sys.executable,
                [sys.executable, "-m", "cedarledge.standins.worker"],
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )
        for relay in range(self.plan.relays):
            self.start_relay(relay)
        self.timers.after(-self.now(), self._begin_run)

    def start_relay(self, relay: int, named_as: int | None = None) -> None:
        """Starts a relay's process, under the name of the relay `named_as` if that is given.

        Does nothing if the relay runs, or after the end or failure of the run.
        """
        if self.now() >= self.plan.seconds * SECOND or self.failure is not None:
            return
        running = self.relays.get(relay)
        if running is not None and not running.has_ended:
            return  # started by another fault already, or in a planned stop that restarts it
        name = f"n{relay if named_as is None else named_as}"
        path = self.folder / f"relay-{relay}.json"
        rng = random.Random(self.plan.seed * 7919 + relay * 31 + (self.now() > 0))
        path.write_text(
            json.dumps(
                {
                    "name": name,
                    "listen": f"{relay_address(relay)}:{self.port}",
                    "discovery": f"{self._discovery_host(relay)}:{self.port}",
                    "seed": f"{rng.getrandbits(64):016x}",
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
            command = [*command, "relay", "--file", self._write_operator_file(relay)]
        self.reactor.spawnProcess(process, command[0], command, env=env, path=self.variant.cwd)

    def _discovery_host(self, relay: int) -> str:
        return (discovery_proxy_address if relay in self.plan.proxied_relays else discovery_address)(relay)

    def _write_operator_file(self, relay: int) -> str:
        tables = dict(self.plan.operator)
        if self.plan.peers_enabled:
            tables["peers"] = tables["peers"] | {
                "region": "region-"
                f"{self.plan.zones.region_of_zone(self.plan.zones.zone_of_relay(relay)) + 1}",
                "listen": f"{peer_address(relay)}:{self.port}",
                "told": f"{peer_proxy_address(relay)}:{self.port}",
                "seeds": [f"{peer_proxy_address(seed)}:{self.port}" for seed in range(3)],
            }
        path = self.folder / f"operator-{relay}.toml"
        path.write_bytes(msgspec.toml.encode(tables))
        return str(path)

    def _begin_run(self) -> None:
        unready_workers = [worker for worker in self.workers if not worker.is_ready]
        if unready_workers:
            self.abort(
                f"{len(unready_workers)} of {len(self.workers)} worker processes were not ready in time",
                TooSlowError,
            )
            return
        unready_relays = [relay for relay, process in self.relays.items() if process.ready_at is None]
        if unready_relays:
            self.abort(
                f"relays {unready_relays} were not ready in time; --keep keeps their logs", TooSlowError
            )
            return
        self.lateness_monitor.begin()
        self.discovery.begin()
        for event in self.plan.events:
            if event.target == "relay":
                self.timers.after(event.at - self.now(), self._apply_event, event)
        self._schedule_progress(1)
        self.timers.after(int(self.plan.seconds * SECOND) + 100 * MS - self.now(), self._end_run)

    def _apply_event(self, event: ScheduledEvent) -> None:
        process = self.relays[event.index]
        if event.action == "system_calls":
            return  # in effect since the process started
        if event.action == "kill":
            process.terminate("killed", "KILL")
        elif event.action == "stop":
            process.stop()
        elif event.action == "step":
            self.clocks[event.index].step(int(event.size))
        elif event.action == "signal":
            process.resend_signals()
        elif event.action in ("pause", "resume"):
            if not process.has_ended:
                process.transport.signalProcess(signal.SIGSTOP if event.action == "pause" else signal.SIGCONT)
        elif process.has_ended:
            self.start_relay(event.index, event.relay if event.relay >= 0 else None)

    def _schedule_progress(self, second: int) -> None:
        self.timers.after(second * SECOND + 150 * MS - self.now(), self._report_progress, second)

    def _report_progress(self, second: int) -> None:
        if self.progress is not None:
            self.progress(
                {
                    "second": second,
                    "of": self.plan.seconds,
                    "workers": [worker.last_figures for worker in self.workers],
                    "relays": {
                        relay: "down" if process.has_ended else process.end_reason or "up"
                        for relay, process in self.relays.items()
                    },
                    "list": dict(self.discovery.phases),
                }
            )
        if second < self.plan.seconds:
            self._schedule_progress(second + 1)

    def _end_run(self) -> None:
        # Clients end first, the other workers a little later, and relays last: the processes that still run
        # see the end of another one as cut connections.
        self.timers.after(SETTLE_TIME, self._kill_relays)

    def _kill_relays(self) -> None:
        for process in self.relays.values():
            process.restart_on_exit = False
            process.terminate("over", "KILL")
        self.timers.after(300 * MS, self._stop_when_ended)

    def _stop_when_ended(self) -> None:
        if not all(process.has_ended for process in (*self.relays.values(), *self.workers)):
            self.timers.after(100 * MS, self._stop_when_ended)
            return
        self.event_log.write(TimerLateness("rig", self.lateness_monitor.worst, self.lateness_monitor.at))
        self.reactor.stop()

    def abort(self, why: str, error_type: type[RunError] = RunError) -> None:
        """Kills all processes and stops the reactor; `run_plan` raises the first error."""
        if self.failure is not None:
            return
        self.failure = error_type(why)
        for process in self.relays.values():
            process.restart_on_exit = False
            process.terminate("over", "KILL")
        for worker in self.workers:
            if not worker.has_ended and worker.transport is not None:
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
    """Makes a run and returns the verdict on it.

    `progress` is called each second with the current figures. `keep` is a folder that event logs and relays'
    logs stay in; without it they are deleted. Raises RunError, or PreloadBuildError if a library of a fault
    cannot be compiled.
    """
    reactor = install_reactor()

    with contextlib.ExitStack() as stack:
        if keep is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="cedarledge-rig-")))
        else:
            folder = keep
            folder.mkdir(parents=True, exist_ok=True)
        run = Run(reactor, plan, variant, folder, progress)
        # Ctrl-C ends the processes that this run started, and no others.
        previous = signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(run.abort, "interrupted"))
        reactor.callWhenRunning(run.start)
        reactor.run(installSignalHandlers=True)
        signal.signal(signal.SIGINT, previous)
        run.event_log.close()
        run.port_lock.close()
        for clock in run.clocks.values():
            clock.close()
        if run.failure is not None:
            raise run.failure
        return Judge(plan, read_event_logs(run.event_log_paths)).verdict()
