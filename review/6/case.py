"""A fleet of 320 backends that are all full for a while, before a relay with 256 descriptors."""

import asyncio
import contextlib
import os
import random
from pathlib import Path

from stand import Backend, Case, Client, Discovery, Run, config, main, ping, profile, settings

HERE = Path(__file__).resolve().parent
BACKENDS, CELL = 320, 8  # sixteen times 20; backends in a cell
DESCRIPTORS = 256
RATE, TRIES = 2.0, 3  # new clients a second, and tries of each that is turned away
FULL_FOR, THEN = 20.0, 20.0  # how long the backends are full, and how long clients go on coming
MEAN_LIFE, LIFE_SIGMA = 22.0, 0.8
TIMEOUT_MS = 1200
PATIENCE = TIMEOUT_MS / 1000 + 0.55  # the client's own time, half a second, and the slack of sockets


async def play(case: Case) -> None:
    """Lets clients come at a steady rate while the backends are full, and afterwards."""
    record, chance = case.record, random.Random(6)
    boxes = await case.backends(BACKENDS)
    members = [box.member(cell=place // CELL) for place, box in enumerate(boxes)]
    discovery = Discovery(record, members)
    values = settings(profile("feed", timeout_ms=TIMEOUT_MS))
    values["allowed"]["most_setups"] = 6
    relay = case.relay("n1", config("n1", await discovery.open(), members, values, sockets=DESCRIPTORS))
    await relay.start()
    await relay.wait_ready()
    is_full = False

    async def decide(run: Run) -> str:
        return "BUSY" if is_full else f"UP {run.backend}.{run.request}"

    def set_full(full: bool) -> None:
        nonlocal is_full
        is_full = full
        record.note(f"the backends are {'full' if full else 'no longer full'}")
        for box in boxes:
            box.load = 1.1 if full else 0.2

    for box in boxes:
        box.decide = decide
    set_full(case.trouble)
    clients: list[Client] = []

    async def one(life: float) -> None:
        key = ""
        for number in range(TRIES):
            client = Client(record, relay.address, d=TIMEOUT_MS, **({"r": 1} if number else {}))
            client.key = key = key or client.key
            clients.append(client)
            answer = await client.request(PATIENCE)
            if client.is_open:
                talk = case.spawn(client.talk())
                await asyncio.sleep(life)
                talk.cancel()
                return
            client.close()
            if not (answer and answer.startswith("BUSY")):
                return

    async def arrivals() -> None:
        while True:
            case.spawn(one(chance.lognormvariate(0, LIFE_SIGMA) * MEAN_LIFE / 1.377))
            await asyncio.sleep(chance.expovariate(RATE))

    coming = case.spawn(arrivals())
    await asyncio.sleep(FULL_FOR)
    if case.trouble:
        set_full(False)
    await asyncio.sleep(THEN)
    coming.cancel()
    host, _, port = relay.address.rpartition(":")
    record.note(f"PING is answered {await ping(host, int(port))}")
    await asyncio.sleep(PATIENCE + 0.5)
    held = 0
    with contextlib.suppress(OSError):
        held = len(os.listdir(f"/proc/{relay.process.pid}/fd"))
    record.note(f"the relay holds {held} descriptors of {DESCRIPTORS}")
    case.check_running()
    judge(case, clients, boxes)


def judge(case: Case, clients: list[Client], boxes: list[Backend]) -> None:
    """Each request that was sent whole is owed an answer; one whose connection was closed is not counted."""
    record = case.record
    for first, last, name in (
        (0.0, FULL_FOR, "first part"),
        (FULL_FOR, FULL_FOR + THEN, "second part"),
        (FULL_FOR + THEN - 10.0, FULL_FOR + THEN, "last 10 s"),
    ):
        sent = [client for client in clients if first <= client.sent_at < last]
        unanswered = [client for client in sent if client.answer is None]
        record.note(f"{name}: {len(sent)} requests, {len(unanswered)} without an answer or a close")
    unanswered = [client for client in clients if client.answer is None]
    case.require(sum(len(box.probes) for box in boxes) > 0, "no backend was probed")
    if unanswered:
        record.break_rule(
            f"{len(unanswered)} of {len(clients)} requests have no answer and no close after {PATIENCE} s;"
            f" the first is {unanswered[0].id}, sent at {unanswered[0].sent_at:.3f}"
        )


if __name__ == "__main__":
    main(str(HERE), play)
