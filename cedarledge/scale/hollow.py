"""Measures hollow relays on loopback: starts the worker processes and combines their results.

A hollow relay is a relay without client traffic; many of them run in one process (see hollow_worker).
"""

from __future__ import annotations

import math
import socket
import subprocess
import sys
import time
from itertools import pairwise
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from cedarledge.scale.hollow_worker import READY, WorkerResult, WorkerSpec
from cedarledge.terms import MS, SECOND

# Delay from the last process that is ready to the common start, ns.
START_DELAY = SECOND // 10
# A worker that has not exited this long after the end of its run is killed, s.
EXIT_TIMEOUT = 30.0


class HollowError(Exception):
    """A worker process did not start or gave no result."""


class HollowSample(msgspec.Struct, frozen=True):
    """Means per hollow relay over a fleet. Times are in seconds unless named otherwise."""

    bytes_per_second: float
    messages_per_second: float
    processor_ms_per_second: float
    memory_bytes: float
    process_base_bytes: float
    probes_per_relay_second: float
    list_calls_at_start: float
    datagrams_lost_share: float
    whole_view_share: float
    whole_view_after: float
    false_deaths: float
    change_known_first: float
    change_known_half: float
    change_known_99: float
    change_known_all: float


def free_addresses(count: int, kind: socket.SocketKind = socket.SOCK_DGRAM) -> list[str]:
    """Returns loopback addresses whose ports are free at the time of the call."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    try:
        for bound_socket in sockets:
            bound_socket.bind(("127.0.0.1", 0))
        return ["{}:{}".format(*bound_socket.getsockname()) for bound_socket in sockets]
    finally:
        for bound_socket in sockets:
            bound_socket.close()


def measure(
    size: int,
    processes: int,
    backends: int,
    start_seconds: float,
    settle_seconds: float,
    calm_seconds: float,
    change_seconds: float,
) -> HollowSample:
    """Runs one fleet of hollow relays in up to `processes` processes. Raises HollowError.

    The starts are spread over `start_seconds`. A change that a relay does not know after `change_seconds`
    counts as known at that time.
    """
    with TemporaryDirectory() as folder:
        durations = start_seconds, settle_seconds, calm_seconds, change_seconds
        specs = _specs(size, min(processes, size), backends, *durations)
        workers = [_spawn(Path(folder) / f"{index}.json", spec) for index, spec in enumerate(specs)]
        timeout = specs[0].end / SECOND + EXIT_TIMEOUT
        try:
            _start_measurement(workers)
            results = [_result(worker, timeout) for worker in workers]
        finally:
            for worker in workers:
                worker.kill()
                worker.wait()
    return _sample(size, results, calm_seconds, change_seconds)


def _specs(
    size: int,
    processes: int,
    backends: int,
    start_seconds: float,
    settle_seconds: float,
    calm_seconds: float,
    change_seconds: float,
) -> list[WorkerSpec]:
    calm_from = int(settle_seconds * SECOND)
    calm_to = calm_from + int(calm_seconds * SECOND)
    addresses = tuple(free_addresses(size))
    bounds = [size * index // processes for index in range(processes + 1)]
    return [
        WorkerSpec(
            addresses,
            first,
            end - first,
            backends,
            int(start_seconds * SECOND),
            calm_from,
            calm_to,
            calm_to + int(change_seconds * SECOND),
        )
        for first, end in pairwise(bounds)
    ]


def _spawn(path: Path, spec: WorkerSpec) -> subprocess.Popen[bytes]:
    path.write_bytes(msgspec.json.encode(spec))
    command = [sys.executable, "-m", "cedarledge.scale.hollow_worker", str(path)]
    return subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)


def _start_measurement(workers: list[subprocess.Popen[bytes]]) -> None:
    """Waits until all workers are ready and gives them a common start time. Raises HollowError."""
    for worker in workers:
        if worker.stdout.readline() != READY:
            raise HollowError("a process with hollow relays did not start")
    start_time = time.monotonic_ns() + START_DELAY
    for worker in workers:
        worker.stdin.write(b"%d\n" % start_time)
        worker.stdin.flush()


def _result(worker: subprocess.Popen[bytes], timeout: float) -> WorkerResult:
    try:
        output, _ = worker.communicate(timeout=timeout)
        return msgspec.json.decode(output, type=WorkerResult)
    except (subprocess.TimeoutExpired, msgspec.MsgspecError) as error:
        raise HollowError(f"a process with hollow relays returned no valid result: {error}") from error


def _sample(
    size: int, results: list[WorkerResult], calm_seconds: float, change_seconds: float
) -> HollowSample:
    def total(name: str) -> int:
        return sum(getattr(result, name) for result in results)

    member_seconds = size * calm_seconds
    known = sorted(span / SECOND for result in results for span in result.change_known)
    known += [change_seconds] * (size - 1 - len(known))
    complete_after = [result.whole_after for result in results]
    return HollowSample(
        total("sent_bytes") / member_seconds,
        total("sent") / member_seconds,
        total("processor_ns") / MS / member_seconds,
        total("member_bytes") / size,
        total("base_bytes") / len(results),
        total("probes") / member_seconds,
        total("list_calls") / size,
        1 - total("received") / max(1, total("sent")),
        total("whole_views") / size,
        max(complete_after) / SECOND if all(complete_after) else -1.0,
        total("false_deaths"),
        known[0],
        known[math.ceil(0.5 * len(known)) - 1],
        known[math.ceil(0.99 * len(known)) - 1],
        known[-1],
    )
