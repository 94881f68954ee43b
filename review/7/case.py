"""A planned restart under the same name, with the descriptors halved as on the days of the crowd."""

import asyncio
import signal
import socket
from pathlib import Path

from stand import Case, Client, Discovery, config, free_port, main, ping, settings

HERE = Path(__file__).resolve().parent
DESCRIPTORS = 256
READY_WITHIN = 30.0
CLIENTS = 5


async def play(case: Case) -> None:
    """Has a relay serve, ends it by SIGTERM, and starts it again with half of its descriptors."""
    record = case.record
    boxes = await case.backends(12)
    members = [box.member(cell=place // 6) for place, box in enumerate(boxes)]
    discovery = Discovery(record, members)
    found_at = await discovery.open()
    control = f"127.0.0.1:{free_port()}"
    first = case.relay(
        "n1", config("n1", found_at, members, settings(), sockets=DESCRIPTORS, control=control)
    )
    await first.start("first")
    await first.wait_ready()
    await ask(case, first.address)
    first.signal(signal.SIGTERM)
    await asyncio.wait_for(first.process.wait(), 5.0)

    halved = DESCRIPTORS // 2 if case.trouble else DESCRIPTORS
    again = case.relay("n1", dict(first.config) | {"limits": first.config["limits"] | {"sockets": halved}})
    record.note(f"starts again with {halved} descriptors")
    await again.start("again")
    host, _, port = again.address.rpartition(":")
    until = record.now() + READY_WITHIN
    while again.process.returncode is None and record.now() < until:
        if await ping(host, int(port)) == "PONG":
            record.note("relay again: ready")
            await ask(case, again.address)
            return
        await asyncio.sleep(0.1)
    code = again.process.returncode
    for address in (again.address, control) if code is not None else ():
        case.require(can_listen(address), f"{address} is taken by another process")
    state = "is still starting" if code is None else f"ended with {code}"
    record.break_rule(f"the relay is not ready with {halved} descriptors: its process {state}")


def can_listen(address: str) -> bool:
    """Whether an address is free, so that it was not a taken one that kept the relay from its start."""
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, int(port)))
        except OSError:
            return False
        return True


async def ask(case: Case, address: str) -> None:
    """Has a few clients served, which shows that relay and stand-ins work."""
    for _ in range(CLIENTS):
        client = Client(case.record, address)
        answer = await client.request()
        case.require(bool(answer), "a client had no answer of a relay that is ready")
        client.close()


if __name__ == "__main__":
    main(str(HERE), play)
