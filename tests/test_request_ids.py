"""Request ids that are in use at one of two or three processes of a relay are refused at the others."""

from __future__ import annotations

import random
import signal
import socket
import time
from collections import deque
from collections.abc import Callable
from contextlib import closing
from pathlib import Path

from helpers import Backend, Client, wait_until
from pytest import mark
from test_crossings import PATIENT
from test_handover import RestartableRelay, connect_to, restartable_relay
from twisted.internet.task import Clock

from cedarledge.net.handover import socket_path
from cedarledge.net.handover_messages import VERSION, encode_message
from cedarledge.net.request_ids import CLAIM_TIMEOUT, ClaimResult, RequestIds
from cedarledge.net.timers import Timers
from cedarledge.terms import SECOND

# A client writes the rest of its line so long after the next process is ready.
PAUSE_S = 0.1


class SlowClient(Client):
    """A client that has connected and sent a part of its line."""

    def __init__(self, relay: RestartableRelay, request_id: str) -> None:
        super().__init__(relay.address)
        self.rest = f"{request_id} key c=bill,d=1500"
        self.link.sendall(b"OPEN ")
        time.sleep(PAUSE_S)  # until the process that serves has accepted it

    def finish(self) -> str:
        return self.exchange(self.rest)


def ids_run(*backends: Backend) -> list[str]:
    return [line.split(" ")[1] for backend in backends for line in backend.open_lines]


def test_an_id_that_the_old_process_takes_after_the_handover_is_refused_at_the_new_one(
    tmp_path: Path,
) -> None:
    """Guards against ids told once, with the state, so that the new process serves one of them again."""
    backends = [Backend("a"), Backend("b")]
    with restartable_relay(tmp_path, *backends, settings=PATIENT) as relay:
        slow = SlowClient(relay, "one")
        assert relay.start_next() < 6
        assert slow.finish() == "UP r"
        assert relay.client().exchange("OPEN one key c=bill,d=1500") == "ERR"
        assert slow.exchange("M 1") == "M 1" and ids_run(*backends) == ["one"]


def test_an_id_that_is_open_at_the_new_process_is_refused_at_the_old_one(tmp_path: Path) -> None:
    """Guards against an old process that does not know the ids of the new one."""
    backends = [Backend("a"), Backend("b")]
    with restartable_relay(tmp_path, *backends, settings=PATIENT) as relay:
        slow, other = SlowClient(relay, "one"), SlowClient(relay, "two")
        assert relay.start_next() < 6
        first = relay.client()
        assert first.exchange("OPEN one key c=bill,d=1500") == "UP r"
        assert slow.finish() == "ERR" and other.finish() == "UP r"
        assert first.exchange("M 1") == "M 1" and ids_run(*backends) == ["one", "two"]


def test_an_id_that_the_first_of_three_processes_takes_is_refused_at_the_last(tmp_path: Path) -> None:
    """Guards against a process in the middle that keeps to itself what the first one has in use."""
    backends = [Backend("a"), Backend("b")]
    with restartable_relay(tmp_path, *backends, settings=PATIENT) as relay:
        early, slow = relay.client(), SlowClient(relay, "one")
        assert early.exchange("OPEN zero key c=bill,d=1500") == "UP r"
        assert relay.start_next() < 6 and relay.start_next() < 6
        assert slow.finish() == "UP r"
        for request_id in ("zero", "one"):
            assert relay.client().exchange(f"OPEN {request_id} key c=bill,d=1500") == "ERR"
        assert ids_run(*backends) == ["zero", "one"]


@mark.parametrize("end", ["hangs", "dies"])
def test_a_request_at_the_old_process_is_answered_in_time_if_the_new_one_hangs_or_dies(
    tmp_path: Path, end: str
) -> None:
    """Guards against requests that wait for ever for a process that does not answer."""
    backend = Backend("a")
    with restartable_relay(tmp_path, backend, settings=PATIENT) as relay:
        slow = SlowClient(relay, "one")
        assert relay.start_next() < 6
        relay.process.send_signal(signal.SIGSTOP if end == "hangs" else signal.SIGKILL)
        start = time.monotonic()
        assert slow.finish() == ("BUSY" if end == "hangs" else "UP r")
        assert time.monotonic() - start < 0.75, "half of the client's time"
        assert ids_run(backend) == ([] if end == "hangs" else ["one"])


def test_a_next_process_of_an_earlier_release_is_sent_no_claims(tmp_path: Path) -> None:
    """Guards against messages that end the connection to a process that does not know them."""
    with restartable_relay(tmp_path, Backend("a"), settings=PATIENT) as relay:
        slow = SlowClient(relay, "one")
        with closing(socket.socket(socket.AF_UNIX)) as link:
            connect_to(link, socket_path(relay.folder, "n0", relay.process.pid))
            link.sendall(encode_message(version=VERSION, name="n0"))
            messages = link.makefile("rb")
            assert b"estate" in messages.readline()
            link.sendall(encode_message(taken=True))
            wait_until(lambda: relay.logged("the new process serves"))
            assert slow.finish() == "UP r"
            assert all(b"held" in messages.readline() for _ in range(3))


class Process:
    """One process's ids, and the messages on their way to the process before it and the one after it."""

    def __init__(self, clock: Clock) -> None:
        self.ids = RequestIds(Timers(clock, lambda: round(clock.seconds() * SECOND)))
        self.to_next: deque[Callable[[], None]] = deque()
        self.to_previous: deque[Callable[[], None]] = deque()
        self.next: Process | None = None
        self.held: set[str] = set()  # ids whose requests this process has taken
        self.pending: dict[str, object] = {}  # the request that waits for its claim, by its id
        self.results: list[ClaimResult] = []

    def send_claim(self, number: int, request_id: str) -> None:
        def answer(granted: bool) -> None:
            self.next.to_previous.append(lambda: self.ids.claim_answered(number, granted))

        self.to_next.append(lambda: self.next.ids.claimed_by_predecessor(request_id, answer))

    def send_release(self, request_id: str, must_not_run_again: bool) -> None:
        self.to_next.append(lambda: self.next.ids.released_by_predecessor(request_id, must_not_run_again))

    def hand_over_to(self, successor: Process) -> None:
        self.next = successor
        successor.ids.import_from_predecessor(self.ids.all_in_use(), self.ids.finished.hashes())
        self.ids.share_with(self)

    def request(self, request_id: str) -> None:
        if self.ids.is_taken(request_id):
            return
        request = self.pending[request_id] = object()

        def settled(result: ClaimResult) -> None:
            self.results.append(result)
            if self.pending.get(request_id) is request:
                del self.pending[request_id]
                if result is ClaimResult.GRANTED:
                    self.held.add(request_id)
                else:
                    self.ids.release(request_id, must_not_run_again=False)

        self.ids.take(request_id, CLAIM_TIMEOUT, settled)

    def end_one(self, chance: random.Random) -> None:
        if ids := sorted(self.held | self.pending.keys()):
            request_id = chance.choice(ids)
            self.held.discard(request_id)
            self.pending.pop(request_id, None)
            self.ids.release(request_id, must_not_run_again=False)


SEEDS, STEPS, HANDOVERS = 20, 3000, (500, 1500)


def play_random_steps(seed: int) -> set[ClaimResult]:
    """Lets up to three processes take and release ids, with late messages; returns the claims' results."""
    chance, clock = random.Random(seed), Clock()
    processes = [Process(clock)]
    for step in range(STEPS):
        if step in HANDOVERS:
            processes.append(Process(clock))
            processes[-2].hand_over_to(processes[-1])
        process = chance.choice(processes)
        action = chance.random()
        if action < 0.3:
            process.request(chance.choice("abcdefgh"))
        elif action < 0.45:
            process.end_one(chance)
        elif action < 0.95:
            queue = chance.choice([process.to_next, process.to_previous])
            if queue:
                queue.popleft()()
        else:
            clock.advance(chance.choice([0.01, 0.1, 0.4]))
        held = [request_id for one in processes for request_id in one.held]
        assert len(held) == len(set(held)), f"seed {seed}, step {step}"
    check_that_nothing_stays_refused(processes, clock)
    return {result for process in processes for result in process.results}


def check_that_nothing_stays_refused(processes: list[Process], clock: Clock) -> None:
    for _ in range(4):  # messages may start further claims, which end by time
        clock.pump([0.4, 0.1, 0.1])
        for process in processes:
            for request_id in process.held:
                process.ids.release(request_id, must_not_run_again=False)
            process.held.clear()
        while queues := [queue for one in processes for queue in (one.to_next, one.to_previous) if queue]:
            queues[0].popleft()()
    assert not any(process.ids.all_in_use() for process in processes)


def test_no_two_of_three_processes_ever_have_one_id() -> None:
    """Guards against an order of messages and hand-overs in which an id is taken twice, or stays taken."""
    results = set.union(*(play_random_steps(seed) for seed in range(SEEDS)))
    assert results == set(ClaimResult), "each result was seen"


def test_ids_are_free_again_when_their_requests_have_ended_and_nothing_of_them_may_have_run() -> None:
    """Guards against ids that stay refused for as long as the old process runs."""
    clock = Clock()
    old, new = Process(clock), Process(clock)
    old.request("a")
    old.request("b")
    old.hand_over_to(new)
    assert new.ids.is_taken("a") and new.ids.is_taken("b")
    old.held.remove("a")
    old.ids.release("a", must_not_run_again=False)
    old.to_next.popleft()()
    assert not new.ids.is_taken("a")
    new.ids.forget_predecessor()
    assert new.ids.is_taken("b"), "its end was not told, so its request may have run"
    assert not len(new.ids) and not new.ids.all_in_use()


def test_a_claim_is_granted_if_the_next_process_is_gone() -> None:
    """Guards against requests that stay unanswered as the process that was asked is gone."""
    clock = Clock()
    old = Process(clock)
    old.hand_over_to(Process(clock))
    old.request("a")
    assert not old.held
    old.ids.stop_sharing()
    assert old.held == {"a"} and old.results == [ClaimResult.GRANTED]
    clock.advance(1)
    assert old.results == [ClaimResult.GRANTED]


def test_a_claim_that_is_granted_after_its_time_leaves_nothing_refused() -> None:
    """Guards against an id that the last of three processes refuses for ever, as its claim came late."""
    clock = Clock()
    first, middle, last = (Process(clock) for _ in range(3))
    first.hand_over_to(middle)
    middle.hand_over_to(last)
    first.request("a")
    first.to_next.popleft()()
    clock.pump([0.4, 0.1])
    assert first.results == [ClaimResult.UNANSWERED]
    for queue in (middle.to_next, first.to_next):
        while queue:
            queue.popleft()()
    assert not last.ids.is_taken("a") and not middle.ids.is_taken("a")
