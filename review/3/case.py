"""Connections that were open before the run are ended while discovery works through its calls."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet import Backend, Client, Discovery, Record, Relay, configuration, now, run_case, settings

RELAYS = 4
# What a first call costs discovery, s; it works through calls in turn. The slow one answers the last of four
# relays after 2.8 s, which is within the 3 s after which the deployment's discovery would fail a call.
WORK, SLOW_WORK = 0.05, 0.7
# A connection that was open before the run and is not up after this time is lost, s.
UP_WITHIN = 40.0


async def open_again(record: Record, relay: Relay, backend: Backend) -> bool:
    """Opens a connection that the backend held before the run; returns whether it came up."""
    client = await Client.connect(record, relay.address)
    line = f"OPEN {client.id} {client.id} c=route-watch,d=1200,at={backend.name}"
    record("client", f"sends {line} to {relay.name}")
    started = now()
    try:
        answer = await client.exchange(line, UP_WITHIN)
    except TimeoutError:
        answer = "(nothing)"
    record("client", f"{client.id} at {relay.name} is answered {answer} after {now() - started:.2f} s")
    return answer.startswith("UP ")


async def play(record: Record, work: Path, trouble: bool) -> str:
    """Returns the connections that were lost."""
    backends = [Backend(record, f"box-{number}", f"127.0.1.{number + 1}") for number in range(4)]
    discovery = Discovery(record, [backend.entry() for backend in backends], SLOW_WORK if trouble else WORK)
    await discovery.start()
    # The relays' list is older than the last backend, as they last had it.
    known = discovery.whole()
    known["revision"], known["members"] = 0, known["members"][:-1]
    relays = []
    try:
        for number in range(RELAYS):
            site = settings(group_size=RELAYS, me=number)
            config = configuration(discovery.address, site, f"127.0.0.{20 + number}")
            relays.append(Relay(record, work, f"n{number}", config))
        await asyncio.gather(*(relay.start(known) for relay in relays))
        await asyncio.gather(*(relay.ready() for relay in relays))
        pairs = [(relay, backend) for relay in relays for backend in (backends[0], backends[-1])]
        up = await asyncio.gather(*(open_again(record, *pair) for pair in pairs))
    finally:
        for relay in relays:
            await relay.end()
    lost = [
        f"{relay.name} at {backend.name}"
        for (relay, backend), is_up in zip(pairs, up, strict=True)
        if not is_up
    ]
    return f"{len(lost)} of {len(pairs)} connections were lost: {', '.join(lost)}" if lost else ""


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
