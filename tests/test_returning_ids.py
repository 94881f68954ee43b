"""Ids that come again after their client has left: what may have run and must not run twice is refused."""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from helpers import Backend, Client, RelayProgram, wait_until
from pytest import mark
from test_crossings import PATIENT
from test_handover import restartable_relay
from test_request_ids import SlowClient, ids_run

from cedarledge.net.request_ids import MAX_FINISHED_IDS, FinishedIds

BILL = "OPEN one key c=bill,d=1500"
# A class whose repeats its backends know for two seconds.
TOKEN = PATIENT["profiles"][0] | {"name": "token", "semantics": "token"}
SETTINGS = PATIENT | {
    "profiles": [*PATIENT["profiles"], TOKEN],
    "domain": PATIENT["domain"] | {"message_aim": [100_000] * 3},
}
UNREAD_BYTES = 1 << 20


def leave_open(relay: RelayProgram, backend: Backend, line: str) -> None:
    """Has a request served, and its client leave."""
    client = relay.client()
    assert client.exchange(line) == "UP r"
    client.close()
    wait_until(lambda: backend.ends)


def leave_waiting(relay: RelayProgram, backend: Backend, line: str) -> None:
    """Has a client leave while its backend says nothing."""
    backend.modes = ["hang", "UP r"]
    client = relay.client()
    client.link.sendall(line.encode() + b"\r\n")
    wait_until(lambda: backend.open_lines)
    client.close()
    wait_until(lambda: backend.ends)


def be_failed(relay: RelayProgram, backend: Backend, line: str) -> None:
    """Has a request answered with an error after which it may have run."""
    backend.modes = ["ERR", "UP r"]
    assert relay.client().exchange(line) == "ERR"


@mark.parametrize("effect", ["bill", "token"])
@mark.parametrize("end", [leave_open, leave_waiting])
def test_an_id_that_comes_again_after_its_client_has_left_is_not_run_twice(
    tmp_path: Path, end: Callable[[RelayProgram, Backend, str], None], effect: str
) -> None:
    """Guards against ids that are forgotten with their connection, though their requests have run."""
    backend = Backend("a")
    line = BILL.replace("bill", effect)
    with RelayProgram(tmp_path, [backend], settings=SETTINGS) as relay:
        end(relay, backend, line)
        for _ in range(3):
            assert relay.client().exchange(line) == "ERR"
        assert ids_run(backend) == ["one"]
        assert relay.client().open(names=f"c={effect},d=1500") == "UP r"


def test_an_id_that_comes_again_after_an_error_is_not_run_twice(tmp_path: Path) -> None:
    """Guards against a request that may have run, was answered with an error, and is run once more."""
    backend = Backend("a")
    with RelayProgram(tmp_path, [backend], settings=SETTINGS) as relay:
        be_failed(relay, backend, BILL)
        assert relay.client().exchange(BILL) == "ERR" and ids_run(backend) == ["one"]


@mark.parametrize("answer", ["BUSY", "idempotent"])
def test_an_id_that_may_run_again_is_served_when_it_comes_again(tmp_path: Path, answer: str) -> None:
    """Guards against refusals that no rule asks for: a reject invites its client to come again."""
    backend = Backend("a")
    line = BILL.replace("bill", "feed") if answer == "idempotent" else BILL
    with RelayProgram(tmp_path, [backend], settings=SETTINGS) as relay:
        if answer == "BUSY":
            backend.modes = ["BUSY"]
            assert relay.client().exchange(line) == "BUSY"
            backend.modes = ["UP r"]
        else:
            leave_open(relay, backend, line)
        wait_until(lambda: relay.client().exchange(line) == "UP r")


def test_an_id_that_ended_at_the_old_process_does_not_run_again_at_the_new_one(tmp_path: Path) -> None:
    """Guards against a hot restart that forgets what has run, before it and while both processes run."""
    backends = [Backend("a"), Backend("b")]
    with restartable_relay(tmp_path, *backends, settings=PATIENT) as relay:
        clients = [relay.client() for _ in range(3)]
        for number, client in enumerate(clients):
            assert client.exchange(f"OPEN id{number} key c=bill,d=1500") == "UP r"
        clients[0].close()
        wait_until(lambda: backends[0].ends + backends[1].ends)
        assert relay.start_next() < 6
        clients[1].close()
        wait_until(lambda: len(backends[0].ends + backends[1].ends) > 1)
        time.sleep(0.1)
        relay.processes[0].terminate()
        assert relay.processes[0].wait(timeout=4) == 0
        for number in range(3):
            assert relay.client().exchange(f"OPEN id{number} key c=bill,d=1500") == "ERR"
        assert sorted(ids_run(*backends)) == ["id0", "id1", "id2"]


def test_an_id_that_ended_at_the_new_process_does_not_run_again_at_the_old_one(tmp_path: Path) -> None:
    """Guards against an old process that serves an id which the new one has run and forgotten."""
    backends = [Backend("a"), Backend("b")]
    with restartable_relay(tmp_path, *backends, settings=PATIENT) as relay:
        slow = SlowClient(relay, "one")
        assert relay.start_next() < 6
        client = relay.client()
        assert client.exchange(BILL) == "UP r"
        client.close()
        wait_until(lambda: backends[0].ends + backends[1].ends)
        assert slow.finish() == "ERR" and ids_run(*backends) == ["one"]


@mark.parametrize("before", ["", "PING"])
def test_a_request_whose_client_closed_with_much_unread_is_not_sent_on(tmp_path: Path, before: str) -> None:
    """Guards against requests that are sent on after their client has sent more and closed."""
    backend = Backend("a")
    with RelayProgram(tmp_path, [backend], settings=SETTINGS) as relay:
        relay.pause()
        for number in range(20):
            client: Client = relay.client()
            client.link.settimeout(0.2)
            lines = f"{before}\r\n" * bool(before) + f"OPEN id{number} key c=bill,d=1500\r\n"
            padding = b"M 1\r\n" * (UNREAD_BYTES // 5)
            with suppress(OSError):  # as much as the system takes
                client.link.sendall(lines.encode() + padding)
            client.close()
        relay.resume()
        assert relay.client().open() == "UP r"
        assert not [request_id for request_id in ids_run(backend) if request_id.startswith("id")]


def test_finished_ids_are_bounded_and_the_oldest_is_forgotten_first() -> None:
    """Guards against memory that grows with every id that was ever used."""
    finished = FinishedIds()
    for number in range(MAX_FINISHED_IDS + 10):
        finished.add(f"id{number}")
    assert "id9" not in finished and "id10" in finished and f"id{MAX_FINISHED_IDS + 9}" in finished
    other = FinishedIds()
    other.merge(finished.hashes())
    assert other.hashes() == finished.hashes() and len(other.hashes()) == MAX_FINISHED_IDS
