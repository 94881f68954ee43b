"""A request that may have run is sent again after the backends have forgotten it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet import (
    Attempt,
    Backend,
    Client,
    Discovery,
    Record,
    Relay,
    configuration,
    now,
    reset,
    run_case,
    settings,
)

PROFILE, CLIENT_TIMEOUT_MS = "session-state", 4800
# How long the backends discard repeats, s; and what the pages add to each limit: 50 ms on sockets, and 0.15 s
# for which a relay may be held up between reading its clock and writing.
WINDOW, SLACK = 1.0, 0.05 + 0.15
# How long after its arrival a request's connection is reset, s, where it is; and for how many requests.
WORK = 0.4
REQUESTS, RESET_EVERY = 12, 3
# The most of the connections that may come up late.
LATE_SHARE = 1 / 3
# A held backend accepts connections again after this time, s; the next SYN comes a second after the first.
HELD_FOR = 0.7


class Group:
    """The backends that discard repeats of a request, with what they remember."""

    def __init__(self, record: Record, backends: list[Backend], trouble: bool) -> None:
        """Serves the requests of all `backends`."""
        self.record = record
        self.backends = backends
        self.trouble = trouble
        self.runs: dict[str, list[float]] = {}  # when each request was run, by id
        for backend in backends:
            backend.serve = self.serve

    async def serve(
        self,
        backend: Backend,
        attempt: Attempt,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs a request that the group does not remember; some connections are reset under it."""
        runs = self.runs.setdefault(attempt.id, [])
        if runs and attempt.first_byte <= runs[0] + WINDOW + SLACK:
            self.record(backend.name, f"discards the repeat of {attempt.id}")
            await backend.open(attempt, reader, writer)
            return
        runs.append(attempt.last_byte)
        self.record(backend.name, f"runs {attempt.id}, for the {len(runs)}. time")
        if len(runs) > 1 or not self.trouble or len(self.runs) % RESET_EVERY:
            await backend.open(attempt, reader, writer)
            return
        for other in self.backends:
            if other is not backend:
                self.hold(other)
        await asyncio.sleep(WORK)
        self.record(backend.name, f"the connection of {attempt.id} is reset")
        reset(writer)

    def hold(self, backend: Backend) -> None:
        """Lets the connections to a backend come up late."""
        self.record(backend.name, "its connections come up late from now on")
        backend.hold_connections()
        asyncio.get_running_loop().call_later(WORK + HELD_FOR, self.release, backend)

    def release(self, backend: Backend) -> None:
        """Lets the connections to a backend come up at once again."""
        self.record(backend.name, "its connections come up again")
        backend.accept_connections()


async def play(record: Record, work: Path, trouble: bool) -> str:
    """Returns the requests that were run twice."""
    site = settings()
    site["allowed"]["connect_timeout"] = 1_500_000
    site["profiles"][0] |= {
        "name": PROFILE,
        "semantics": "token",
        "group": "all",
        "window": int(WINDOW * 1e6),
        "setup_goal": 4_000_000,
        "client_timeout": CLIENT_TIMEOUT_MS * 1000,
    }
    backends = [Backend(record, f"box-{number}", f"127.0.1.{number + 1}") for number in range(3)]
    group = Group(record, backends, trouble)
    discovery = Discovery(record, [backend.entry() for backend in backends])
    await discovery.start()
    relay = Relay(record, work, "n1", configuration(discovery.address, site))
    try:
        await relay.start(discovery.whole())
        await relay.ready()
        # The relay probes each backend meanwhile, and keeps the connections for its next probes.
        await asyncio.sleep(8)
        for _ in range(REQUESTS):
            client = await Client.connect(record, relay.address)
            started = now()
            await client.open(PROFILE, CLIENT_TIMEOUT_MS)
            await asyncio.sleep(started + WORK + HELD_FOR + 2.5 - now())
            client.close()
    finally:
        await relay.end()
    connections = sum(backend.connections for backend in backends)
    late = sum(backend.late_connections for backend in backends)
    record("case", f"{late} of {connections} connections to backends have come up late")
    if late > LATE_SHARE * connections:
        raise RuntimeError("more connections than allowed have come up late")
    twice = [
        f"{request} {runs[-1] - runs[0]:.2f} s apart" for request, runs in group.runs.items() if runs[1:]
    ]
    if len(group.runs) < REQUESTS:
        raise RuntimeError(f"only {len(group.runs)} of {REQUESTS} requests have reached a backend")
    return f"{len(twice)} of {REQUESTS} requests were run twice: {', '.join(twice)}" if twice else ""


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
