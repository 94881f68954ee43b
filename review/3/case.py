"""A relay is started again with half of its descriptors, and ends instead."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet import (
    Backend,
    Client,
    Discovery,
    NotReadyError,
    Record,
    Relay,
    configuration,
    free_port,
    run_case,
    settings,
)

# The fewest descriptors that the pages give a relay, and half of them.
DESCRIPTORS, HALVED = 256, 128


async def play(record: Record, work: Path, trouble: bool) -> str:
    """Returns how the second process ended, if it did."""
    backends = [Backend(record, f"box-{number}", f"127.0.1.{number + 1}") for number in range(4)]
    discovery = Discovery(record, [backend.entry() for backend in backends])
    await discovery.start()
    config = configuration(discovery.address, settings(), sockets=DESCRIPTORS)
    config["control"] = f"127.0.0.5:{free_port('127.0.0.5')}"
    relay = Relay(record, work, "n1", config)
    try:
        await relay.start(discovery.whole())
        await relay.ready()
        client = await Client.connect(record, relay.address)
        if not (await client.open("route-watch", 1200)).startswith("UP "):
            raise RuntimeError("the relay did not serve before its restart")
        # A planned restart.
        relay.signal(signal.SIGTERM)
        record("client", f"reads {await client.read_line(5)}")
        client.close()
        record("n1", f"has ended with {await relay.process.wait()}")
        relay.config["limits"]["sockets"] = HALVED if trouble else DESCRIPTORS
        record("n1", f"may hold {relay.config['limits']['sockets']} descriptors now")
        await relay.start(discovery.whole())
        try:
            await relay.ready()
        except NotReadyError as why:
            record("n1", f"logs {relay.log()}")
            return str(why)
        client = await Client.connect(record, relay.address)
        answer = await client.open("route-watch", 1200)
        client.close()
        return "" if answer.startswith("UP ") else f"the restarted relay answers {answer}"
    finally:
        await relay.end()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
