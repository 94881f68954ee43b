"""A backend begins to drain while a relay is down: does the relay's new process send it anything?"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from fleet import Backend, Discovery, Record, Relay, play, settings  # noqa: E402

GRACE, SLACK = 0.5, 0.05  # s; `drain_grace` of the settings, and what the pages add to it on sockets
SLOW = 1.5  # s that an answer of discovery takes; a call fails after 2 s
DOWN = 2.0  # s between the kill and the next start
BACKENDS, DRAINING = 4, "s-1"  # a quarter of the backends drain
RATE, LENGTH, STAY = 16.0, 3.0, 6.0


async def case(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Plays the case and returns the breaks of the rule."""
    backends = [Backend(record, f"s-{number}") for number in range(BACKENDS)]
    sends: list[tuple[float, str]] = []

    async def answer(backend: Backend, words: list[str], writer: asyncio.StreamWriter) -> str | None:
        if backend.name == DRAINING:
            sends.append((record.now(), words[1]))
        return await backend.serve(words, writer)

    for backend in backends:
        backend.on_open = lambda words, writer, one=backend: answer(one, words, writer)
        await backend.start()
    members = [backend.member() for backend in backends]
    discovery = Discovery(record, "discovery", members)
    await discovery.start()
    is_slow = asyncio.Event()

    async def delay() -> int:
        if is_slow.is_set():
            await asyncio.sleep(SLOW)
        return 200

    discovery.before_answer = delay
    config = settings([{}], membership_mode="push", safety={"drain_grace": int(GRACE * 1e6)})
    known = {"revision": 41, "complete": True, "members": members}
    relay = Relay(record, "n1", folder, discovery.address, known, config)
    clients: list[asyncio.Task] = []

    async def traffic(phase: str) -> None:
        for number in range(int(RATE * LENGTH)):
            request = relay.request(
                f"{phase}-{number}", "c=route-watch,d=1200", key=f"k{number}", stay=STAY, timeout=1.7
            )
            clients.append(asyncio.create_task(request))
            await asyncio.sleep(1 / RATE)

    try:
        await relay.start()
        await traffic("before")
        record("the relay is killed")
        await relay.kill()
        discovery.change(DRAINING, "draining")
        if trouble:
            record(f"discovery is slow: answers take {SLOW} s")
            is_slow.set()
        await asyncio.sleep(DOWN)
        await relay.start()
        ready = record.now()  # later than "the first moment of a new process", from which the change is told
        await traffic("after")
        await asyncio.gather(*clients)
    finally:
        await relay.kill()
    return [
        f"{DRAINING} was sent {name} {at - ready:.3f} s after the new process was ready, "
        f"{GRACE + SLACK} s are allowed"
        for at, name in sends
        if at > ready + GRACE + SLACK
    ]


if __name__ == "__main__":
    sys.exit(play(case, HERE))
