"""A new configuration moves discovery, whose queue is so long that it fails the relay's first call."""

import asyncio
import signal
from pathlib import Path

from stand import Case, Client, Discovery, config, main, profile, settings

HERE = Path(__file__).resolve().parent
RATE = 40.0  # clients a second
FAILS_AFTER = 2.9  # discovery fails a call that has waited so long in its queue
TOLD_AFTER, GRACE, SLACK = 4.0, 0.25, 0.05
# Half of the backends begin to drain, one after the other, at these times after SIGHUP.
DRAINS_AT = (0.2, 0.5, 0.8, 1.1, 1.4, 1.7)


async def play(case: Case) -> None:
    """Lets clients come, moves discovery by SIGHUP, and has backends drain right after."""
    record = case.record
    boxes = await case.backends(2 * len(DRAINS_AT))
    members = [box.member(cell=place // 6) for place, box in enumerate(boxes)]
    discovery = Discovery(record, members)
    old, new = await discovery.open(), await discovery.open()
    values = settings(profile("feed", timeout_ms=1200), group_size=4)
    relay = case.relay("n1", config("n1", old, members, values))
    queued = 0

    async def before_answer(address: str, _target: str) -> int:
        nonlocal queued
        if address != new or not case.trouble or queued:
            return 200
        queued += 1
        await asyncio.sleep(FAILS_AFTER)
        return 503

    discovery.before_answer = before_answer
    await relay.start()
    await relay.wait_ready()

    async def one() -> None:
        client = Client(record, relay.address, d=1200)
        if await client.request():
            await asyncio.sleep(0.5)
        client.close()

    async def arrivals() -> None:
        while True:
            case.spawn(one())
            await asyncio.sleep(1 / RATE)

    coming = case.spawn(arrivals())
    await asyncio.sleep(4.0)
    relay.write_config(discovery=new)
    moved_at = record.now()
    relay.signal(signal.SIGHUP)
    await discovery.leave(old, after=1.5)
    drained = boxes[::2]
    for box, at in zip(drained, DRAINS_AT, strict=True):
        await asyncio.sleep(moved_at + at - record.now())
        box.draining = True
        discovery.change(box.name, phase="draining")
    await asyncio.sleep(moved_at + TOLD_AFTER + 5.0 - record.now())
    coming.cancel()
    case.check_running()
    told_at = moved_at + TOLD_AFTER
    before = [run for box in drained for run in box.runs if run.at < moved_at]
    late = [run for box in drained for run in box.runs if run.at > told_at + GRACE + SLACK]
    record.note(f"SIGHUP at {moved_at:.3f}, told at {told_at:.3f} at the latest, {len(late)} sends too late")
    case.require(bool(before), "nothing was sent to these backends before")
    if late:
        last = max(late, key=lambda run: run.at)
        record.break_rule(
            f"{len(late)} requests were sent to backends that drain, over {GRACE + SLACK} s after the relay"
            f" counts as told; the last to {last.backend} {last.at - told_at:.3f} s after"
        )


if __name__ == "__main__":
    main(str(HERE), play)
