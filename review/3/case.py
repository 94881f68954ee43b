"""A backend has just started as half of the clients drop and come again: is it pushed over?"""

import asyncio
import math
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from fleet import Backend, Discovery, Record, Relay, play, settings  # noqa: E402

RELAYS, BACKENDS, CELL = 28, 15, 3  # the day `throng`: 20 to 30 relays; cells of 3 to 8 backends
FULL = 60  # connections that fill a warm backend: 2 cores of 30
LOAD = 0.55  # of the warm fleet
LIFE = 250.0  # s; "26 to 290 s on average"
COLD_FROM, WARM_WITHIN, MULTIPLE, SPAN = 0.12, 9.0, 3.0, 1.0  # of the settings
SHARE, WITHIN = 0.49, 1.0  # kurzeme-markets: "14 to 55% ... drop and come again within 0.21 to 2.9 s"
TOLD = 0.5  # s from the start of the new backend to the reconnects; relays are told within milliseconds


def limit(age: float) -> float:
    """Returns how many requests a backend of that age may get within SPAN: N + 3 root N + 3, N under 30."""
    share = min(1.0, COLD_FROM + (1 - COLD_FROM) * age / WARM_WITHIN)
    number = MULTIPLE * share * FULL / WARM_WITHIN * SPAN
    return number + 3 * math.sqrt(number) + 3


async def case(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Plays the case and returns the breaks of the rule."""
    chance = random.Random()
    backends = [Backend(record, f"s-{number}") for number in range(BACKENDS)]
    cold = backends[-1]
    started = 0.0
    sends: list[tuple[float, str]] = []  # when, and by which relay
    told: dict[str, float] = {}  # when a relay's discovery had written the start
    breaks: list[str] = []

    def measure(backend: Backend) -> None:
        capacity = FULL
        if backend is cold:
            capacity *= min(1.0, COLD_FROM + (1 - COLD_FROM) * (record.now() - started) / WARM_WITHIN)
        backend.load = len(backend.held_open) / capacity

    async def answer(backend: Backend, words: list[str], writer: asyncio.StreamWriter) -> str | None:
        if backend is cold:
            at = record.now()
            sends.append((at, words[1].split("-")[0]))
            window = [relay for sent, relay in sends if at - sent < SPAN]
            recent, allowed = len(window), limit(at - started)
            knowing = sum(told.get(relay, math.inf) < at for relay in window)
            record(
                f"{cold.name}, {at - started:.3f} s old: {recent} requests in {SPAN} s, {allowed:.1f} allowed"
            )
            if recent > allowed and 3 * knowing > 2 * recent and not breaks:
                breaks.append(
                    f"{cold.name} got {recent} requests in {SPAN} s at an age of {at - started:.3f} s, "
                    f"{allowed:.1f} are allowed, {knowing} by relays that were told: it falls over, "
                    f"with {len(cold.held_open)} open connections"
                )
                record(breaks[0])
                cold.stop()
                return None
        return await backend.serve(words, writer)

    for backend in backends:
        backend.on_open = lambda words, writer, one=backend: answer(one, words, writer)
        backend.before_stats = measure
    for backend in backends[:-1]:
        await backend.start()
    members = [backend.member(cell=number // CELL) for number, backend in enumerate(backends)]
    agents = [Discovery(record, f"agent-n{number}", members[:-1]) for number in range(RELAYS)]
    for agent in agents:
        agent.on_answer = lambda name, listed: cold.name in listed and told.setdefault(name, record.now())
        await agent.start()
    known = {"revision": 41, "complete": True, "members": members[:-1]}
    config = settings(
        [{"setup_goal": 500_000, "client_timeout": 3_000_000}],
        membership_mode="push",
        group_size=RELAYS,
        domain={"tells_load": False},
        safety={
            "cold_from": COLD_FROM,
            "warm_within": int(WARM_WITHIN * 1e6),
            "fall_multiple": MULTIPLE,
            "overload_for": int(SPAN * 1e6),
        },
    )
    relays = [Relay(record, f"n{n}", folder, agents[n].address, known, config) for n in range(RELAYS)]
    clients: dict[int, asyncio.Task] = {}

    async def client(number: int, again: bool = False) -> None:
        values = "c=route-watch,d=3000" + (",again=1" if again else "")
        relay = chance.choice(relays)
        name = f"{relay.name}-q{number}" + ("b" if again else "")
        await relay.request(name, values, key=f"k{number}", stay=300.0, timeout=3.5)

    async def reconnect(number: int) -> None:
        await asyncio.sleep(chance.random() * WITHIN)
        await client(number, again=True)

    try:
        await asyncio.gather(*(relay.start() for relay in relays))
        standing = int(LOAD * FULL * (BACKENDS - 1))
        for number in range(standing):
            clients[number] = asyncio.create_task(client(number))
            await asyncio.sleep(12.0 / standing)

        async def arrivals() -> None:
            for number in range(standing, 10**6):
                await asyncio.sleep(chance.expovariate(standing / LIFE))
                clients[number] = asyncio.create_task(client(number))

        steady = asyncio.create_task(arrivals())
        await asyncio.sleep(30.0)
        started = record.now()
        await cold.start()
        for agent in agents:
            agent.add(cold.member(cell=(BACKENDS - 1) // CELL, up_since_ms=int(time.time() * 1000)))
        await asyncio.sleep(TOLD)
        if trouble:
            gone = chance.sample(sorted(clients), int(SHARE * len(clients)))
            record(f"{len(gone)} of {len(clients)} clients drop and come again within {WITHIN} s")
            for number in gone:
                clients[number].cancel()
                clients[number] = asyncio.create_task(reconnect(number))
        await asyncio.sleep(WARM_WITHIN - TOLD)
        steady.cancel()
    finally:
        for relay in relays:
            await relay.kill()
        for task in clients.values():
            task.cancel()
        await asyncio.gather(*clients.values(), return_exceptions=True)
    return breaks


if __name__ == "__main__":
    sys.exit(play(case, HERE))
