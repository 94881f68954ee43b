"""A referenced request whose second setup comes up late: does it go out after the window for repeats?"""

import asyncio
import contextlib
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from fleet import Backend, Discovery, Record, Relay, play, settings  # noqa: E402

WINDOW = 1.2  # s; how long backends remember a request, `window` of the settings
SLACK = 0.25  # s; the pages allow 50 ms on sockets, and 0.15 s between reading the clock and writing
RESET_AFTER = 0.2  # s from the request to the reset of its connection
LATE = 0.95  # s that a full queue lasts; the connect is tried again 1 s after the first time
MOST_LATE_SHARE = 1 / 3  # of the connections to backends
ROUNDS, BACKGROUND = 6, 12


async def case(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Plays the case and returns the breaks of the rule."""
    backends = [Backend(record, f"s-{number}") for number in range(3)]
    runs: dict[str, list[tuple[float, str]]] = {}
    counts = {"late": 0, "all": 0}
    tasks: list[asyncio.Task] = []

    async def hold_up(backend: Backend) -> None:
        """Has connections to a backend come up late: its queue of connections is full for a while."""
        counts["late"] += 2  # a setup and a probe at most
        record(f"{backend.name}: connections come up late")
        backend.pause()
        await asyncio.sleep(LATE)
        backend.resume()
        record(f"{backend.name}: connections come up at once")

    async def answer(backend: Backend, words: list[str], writer: asyncio.StreamWriter) -> str | None:
        counts["all"] += 1
        number, at = words[1], record.now()
        if number in runs and at - runs[number][0][0] < WINDOW:
            record(f"{backend.name} remembers {number}, {at - runs[number][0][0]:.3f} s old: does not run it")
            return f"UP {backend.name}-{number}"
        first = number not in runs
        runs.setdefault(number, []).append((at, backend.name))
        if not (trouble and first and number.startswith("stock")):
            return await backend.serve(words, writer)
        record(f"{backend.name} runs {number}, and its connection is reset in {RESET_AFTER} s")
        for other in backends:
            if other is not backend:
                tasks.append(asyncio.create_task(hold_up(other)))
        await asyncio.sleep(RESET_AFTER)
        with contextlib.suppress(OSError):
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        writer.transport.abort()
        return None

    for backend in backends:
        backend.on_open = lambda words, writer, one=backend: answer(one, words, writer)
        await backend.start()
    members = [backend.member() for backend in backends]
    discovery = Discovery(record, "discovery", members)
    await discovery.start()
    profiles = [
        {"name": "route-watch"},
        {
            "name": "stock-sync",
            "semantics": "token",
            "group": "all",
            "window": int(WINDOW * 1e6),
            "setup_goal": 800_000,
            "client_timeout": 4_800_000,
        },
    ]
    config = settings(profiles, allowed={"connect_timeout": 1_500_000, "most_setups": 3})
    known = {"revision": 41, "complete": True, "members": members}
    relay = Relay(record, "n1", folder, discovery.address, known, config)
    try:
        await relay.start()
        for turn in range(ROUNDS):
            for number in range(BACKGROUND):
                await relay.request(f"watch-{turn}-{number}", "c=route-watch,d=1200", stay=0.0)
                await asyncio.sleep(0.1)
            await relay.request(f"stock-{turn}", "c=stock-sync,d=4800", stay=0.0)
            await asyncio.sleep(1.0)
        await asyncio.gather(*tasks)
    finally:
        await relay.kill()
    record(f"late: {counts['late']} of {counts['all']} connections at most")
    if counts["late"] > MOST_LATE_SHARE * counts["all"]:
        raise RuntimeError("more connections came up late than the page allows")
    breaks = []
    for number, times in runs.items():
        for at, name in times[1:]:
            age = at - times[0][0]
            if number.startswith("stock") and age > WINDOW + SLACK:
                breaks.append(
                    f"{number} ran at {times[0][1]}, and {age:.3f} s later at {name}: "
                    f"its window is {WINDOW} s, and {SLACK} s are allowed past it"
                )
    return breaks


if __name__ == "__main__":
    sys.exit(play(case, HERE))
