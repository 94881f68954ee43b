"""Hollow relays on loopback, many to a process: starts the processes and adds up what they measured."""

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

# From the last process that is ready to the common beginning.
BEGIN_AFTER = SECOND // 10
# Past its end a worker is killed.
KILL_AFTER = 30.0


class HollowError(Exception):
    """A process did not end as it should."""


class HollowSample(msgspec.Struct, frozen=True):
    """One hollow relay, the mean over a fleet; seconds where not said."""

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
    """Addresses on loopback that nobody uses at the moment."""
    held = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    try:
        for link in held:
            link.bind(("127.0.0.1", 0))
        return ["{}:{}".format(*link.getsockname()) for link in held]
    finally:
        for link in held:
            link.close()


def measure(
    size: int,
    processes: int,
    backends: int,
    start_seconds: float,
    settle_seconds: float,
    calm_seconds: float,
    change_seconds: float,
) -> HollowSample:
    """A fleet of hollow relays in so many processes, once; all start within `start_seconds`. A change that is
    not known after `change_seconds` counts as if it were then."""
    with TemporaryDirectory() as folder:
        spans = start_seconds, settle_seconds, calm_seconds, change_seconds
        specs = _specs(size, min(processes, size), backends, *spans)
        workers = [_start(Path(folder) / f"{place}.json", spec) for place, spec in enumerate(specs)]
        length = specs[0].end / SECOND + KILL_AFTER
        try:
            _begin(workers)
            results = [_result(worker, length) for worker in workers]
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
    bounds = [size * place // processes for place in range(processes + 1)]
    return [
        WorkerSpec(
            addresses,
            first,
            past - first,
            backends,
            int(start_seconds * SECOND),
            calm_from,
            calm_to,
            calm_to + int(change_seconds * SECOND),
        )
        for first, past in pairwise(bounds)
    ]


def _start(path: Path, spec: WorkerSpec) -> subprocess.Popen[bytes]:
    path.write_bytes(msgspec.json.encode(spec))
    command = [sys.executable, "-m", "cedarledge.scale.hollow_worker", str(path)]
    return subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)


def _begin(workers: list[subprocess.Popen[bytes]]) -> None:
    """Once all are ready, all begin at one moment. Raises HollowError."""
    for worker in workers:
        if worker.stdout.readline() != READY:
            raise HollowError("a process of hollow relays did not start")
    begin = time.monotonic_ns() + BEGIN_AFTER
    for worker in workers:
        worker.stdin.write(b"%d\n" % begin)
        worker.stdin.flush()


def _result(worker: subprocess.Popen[bytes], within: float) -> WorkerResult:
    try:
        told, _ = worker.communicate(timeout=within)
        return msgspec.json.decode(told, type=WorkerResult)
    except (subprocess.TimeoutExpired, msgspec.MsgspecError) as error:
        raise HollowError(f"a process of hollow relays gave no result: {error}") from error


def _sample(
    size: int, results: list[WorkerResult], calm_seconds: float, change_seconds: float
) -> HollowSample:
    def total(name: str) -> int:
        return sum(getattr(result, name) for result in results)

    member_seconds = size * calm_seconds
    known = sorted(span / SECOND for result in results for span in result.change_known)
    known += [change_seconds] * (size - 1 - len(known))
    whole = [result.whole_after for result in results]
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
        max(whole) / SECOND if all(whole) else -1.0,
        total("false_deaths"),
        known[0],
        known[math.ceil(0.5 * len(known)) - 1],
        known[math.ceil(0.99 * len(known)) - 1],
        known[-1],
    )
