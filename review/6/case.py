"""Clients that write slowly, others that send the id of an open request, and one upgrade of the relay."""

import asyncio
import contextlib
import signal
from pathlib import Path

from stand import (
    Case,
    Client,
    Discovery,
    config,
    free_port,
    listening_socket,
    main,
    profile,
    settings,
    wait_yes,
)

HERE = Path(__file__).resolve().parent
RATE, RUN_FOR = 10, 9.0  # clients a second, and for how long they come
WRITES_FOR, PIECES = 2.0, 10  # some take so long to write their line, in so many pieces
SLOW_EACH = 3  # one in so many of the usual clients writes slowly
COPY_AFTER = 0.1  # how long after the UP the bad client sends the same id
UPGRADE_AT = 4.0
SLACK = 0.05  # the id has to be open so much longer than the bad request took to arrive


class Pair:
    """A usual client, and a bad one that sends the id of its open request."""

    def __init__(self) -> None:
        """Neither has come yet."""
        self.usual: Client | None = None
        self.bad: Client | None = None


async def play_pair(case: Case, address: str, label: str, pieces: int, pair: Pair) -> None:
    """Has a usual client served, and then the bad one ask with its id."""
    usual = pair.usual = Client(case.record, address, label=f"usual-{label}", c=label, d=3000)
    line = usual.line
    size = len(line) // pieces + 1
    await usual.connect()
    for start in range(0, len(line), size):
        await usual.send(line[start : start + size])
        await asyncio.sleep(WRITES_FOR / pieces if start + size < len(line) else 0)
    answer = await usual.await_answer()
    if not (answer and answer.startswith("UP")):
        return
    case.spawn(usual.talk())
    await asyncio.sleep(COPY_AFTER)
    if not usual.is_open:
        return
    pair.bad = Client(case.record, address, request=usual.id, label=f"bad-{label}", c=label, d=3000)
    with contextlib.suppress(OSError):
        if await pair.bad.request(3.0):
            await asyncio.sleep(1.0)
    pair.bad.close()


async def play(case: Case) -> None:
    """Starts a relay, lets clients come, and replaces the process while some are still writing."""
    record = case.record
    boxes = await case.backends(3)
    members = [box.member(cell=place) for place, box in enumerate(boxes)]
    discovery = Discovery(record, members)
    found_at = await discovery.open()
    listener = listening_socket()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    values = settings(profile("feed", timeout_ms=3000), profile("bill", "side_effect", 3000))
    controls = [f"127.0.0.1:{free_port()}" for _ in range(2)]
    old = case.relay("n1", config("n1", found_at, members, values, listen=address))
    await old.start("old", listener, controls[0])
    await old.wait_ready()
    await asyncio.sleep(1.0)

    pairs: list[Pair] = []

    async def arrivals() -> None:
        for number in range(int(RATE * RUN_FOR)):
            pairs.append(Pair())
            pieces = 1 if number % SLOW_EACH else PIECES
            case.spawn(play_pair(case, address, "bill" if number % 2 else "feed", pieces, pairs[-1]))
            await asyncio.sleep(1 / RATE)

    coming = case.spawn(arrivals())
    await asyncio.sleep(UPGRADE_AT)
    if case.trouble:
        new = case.relay("n1", dict(old.config))
        await new.start("new", listener, controls[1])
        await wait_yes(record, controls[1], 6.0)
        old.signal(signal.SIGTERM)
    await coming
    await asyncio.sleep(WRITES_FOR + 4.0)
    case.check_running()
    judge(case, pairs, boxes)


def judge(case: Case, pairs: list[Pair], boxes: list) -> None:
    """The bad client is owed an error or a close; it must not be served while the id is in use."""
    runs: dict[str, list] = {}
    for box in boxes:
        for run in box.runs:
            runs.setdefault(run.request, []).append(run)
    asked = 0
    for pair in pairs:
        if pair.bad is None:
            continue
        asked += 1
        ran = sorted(runs.get(pair.usual.id, []), key=lambda run: run.at)
        served = [run for run in ran if run.answer.startswith("UP")]
        if not (pair.bad.answer and pair.bad.answer.startswith("UP")) or len(served) < 2:
            continue
        first, second = served[:2]
        if first.ended_at is None or first.ended_at > second.at + SLACK:
            case.record.break_rule(
                f"{pair.bad.label}: id {pair.usual.id} was served twice at once: {first.backend} has it from"
                f" {first.at:.3f} to {first.ended_at}, {second.backend} got it at {second.at:.3f}"
            )
    case.record.note(f"{len(pairs)} usual clients, {asked} bad ones asked with an id that was open")
    case.require(asked >= 10, "too few bad clients came to ask")


if __name__ == "__main__":
    main(str(HERE), play)
