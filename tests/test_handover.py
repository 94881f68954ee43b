"""Hot restart with real processes: one process of a relay after the other, on one listening socket."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import closing, contextmanager, suppress
from pathlib import Path

from helpers import MS, SETTINGS, Backend, Client, RelayProgram, host_with_backends, learn_loads, wait_until
from pytest import approx, mark, raises
from test_control import call, free_address

from cedarledge.net import learned_state
from cedarledge.net.handover import socket_path
from cedarledge.net.handover_messages import (
    VERSION,
    HandoverMessageError,
    encode_message,
    parse_handover_state,
)
from cedarledge.policy import utilization
from cedarledge.policy.estimators import mean_load
from cedarledge.settings import Indices


class RestartableRelay(RelayProgram):
    """A relay whose listening socket the test holds, as the platform does, for several processes in turn."""

    def __init__(self, tmp: Path, backends: list[Backend], folder: str = "common", **other: object) -> None:
        self.folder = tmp / folder
        self.folder.mkdir()
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.processes: list[subprocess.Popen] = []
        self.controls: list[str] = []
        super().__init__(tmp, backends, **other)
        self.address = self.listening.getsockname()

    def start(self) -> None:
        self.controls.append(free_address())
        self.process = subprocess.Popen(
            self.command(),
            stderr=self.log.open("ab"),
            pass_fds=[self.listening.fileno()],
            env=os.environ
            | self.environment
            | {
                "BALANCER_CONFIG": str(self.path),
                "BALANCER_CONTROL": self.controls[-1],
                "BALANCER_LISTEN_FD": str(self.listening.fileno()),
                "TMPDIR": str(self.folder),
            },
        )
        self.processes.append(self.process)

    def start_next(self) -> float:
        """Starts the next process; returns the seconds until it was ready."""
        self.start()
        return wait_until(self.ready, 6)

    def ready(self, which: int = -1) -> bool:
        with suppress(OSError):
            return call(self.controls[which], "GET", "/control/ready") == 200
        return False

    def __exit__(self, *_: object) -> None:
        for process in self.processes:
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.listening.close()

    def logged(self, text: str) -> bool:
        return text.encode() in self.log.read_bytes()


@contextmanager
def restartable_relay(tmp: Path, *backends: Backend, **other: object) -> Iterator[RestartableRelay]:
    with RestartableRelay(tmp, list(backends), **other) as relay:
        wait_until(relay.ready)
        yield relay


class ClientStream:
    """Clients that connect one after the other all the time, with the answer that each got."""

    def __init__(self, relay: RestartableRelay) -> None:
        self.relay = relay
        self.answers: list[str] = []
        self.open: list[Client] = []
        self.stopped = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while not self.stopped:
            try:
                client = self.relay.client()
                client.link.settimeout(3)
                answer = client.open(f"k{len(self.answers)}")
            except OSError as why:
                answer = repr(why)
            self.answers.append(answer)
            if answer == "UP r":
                self.open.append(client)
            if len(self.open) > 40:
                self.open.pop(0).close()
            time.sleep(0.01)

    def end(self) -> None:
        self.stopped = True
        self.thread.join()


def test_all_new_clients_are_served_and_open_connections_are_moved(tmp_path: Path) -> None:
    backend = Backend("a")
    # With the default limits an attempt is repeated after a tenth of a second, which happens on a busy
    # machine.
    long_limits = SETTINGS | {
        "profiles": [
            row | {"setup_goal": 3_000_000, "client_timeout": 3_000_000} for row in SETTINGS["profiles"]
        ]
    }
    with restartable_relay(tmp_path, backend, settings=long_limits) as relay:
        stream = ClientStream(relay)
        wait_until(lambda: len(stream.answers) > 10)
        for old in range(2):
            before = []
            while len(before) < 10:
                before.append(relay.client())
                assert before[-1].open() == "UP r"
            others = len(before) * (old + 1)
            assert relay.start_next() < 6
            count = len(stream.answers)
            assert not relay.ready(old), "only one of the two processes reports ready"
            start = time.monotonic()
            relay.processes[old].terminate()
            assert [client.read_line() for client in before] == ["MOVE"] * len(before)
            assert relay.processes[old].wait(timeout=4) == 0 and time.monotonic() - start < 3.7
            wait_until(lambda count=count: len(stream.answers) > count + 20)
        stream.end()
        assert set(stream.answers) == {"UP r"}, "no client was rejected or lost"
        assert len(backend.open_lines) == len(stream.answers) + others, "and none was set up twice"


@contextmanager
def short_path(path: Path) -> Iterator[str]:
    """Gives a path by the folder's descriptor: the plain path may exceed the limit of 107 bytes."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def connect_to(link: socket.socket, path: Path) -> None:
    with short_path(path) as name:
        link.connect(name)


def test_the_old_process_goes_on_if_the_new_one_dies_before_it_serves(tmp_path: Path) -> None:
    with restartable_relay(tmp_path, Backend("a")) as relay:
        path = socket_path(relay.folder, "n0", relay.process.pid)
        assert path.stat().st_mode & 0o777 == 0o600
        with closing(socket.socket(socket.AF_UNIX)) as link:
            connect_to(link, path)
            link.sendall(json.dumps({"version": VERSION, "name": "n0"}).encode() + b"\n")
            state = parse_handover_state(link.makefile("rb").readline())
            assert [entry["id"] for entry in state.members] == ["a"] and state.revision == 7
            waits = relay.client()
            waits.link.sendall(b"PING\r\n")
            time.sleep(0.3)
            assert not relay.logged("serves on"), "the client waits in the kernel's queue"
        assert waits.read_line() == "PONG" and relay.ready()
        # A process that stays connected and confirms nothing: the lease ends.
        with closing(socket.socket(socket.AF_UNIX)) as link:
            connect_to(link, path)
            link.sendall(json.dumps({"version": VERSION, "name": "n0"}).encode() + b"\n")
            assert link.recv(1), "the answer has begun"
            start = time.monotonic()
            assert relay.client().exchange("PING") == "PONG" and 1 < time.monotonic() - start < 3
        assert relay.start_next() < 6


def test_the_old_process_accepts_clients_again_if_the_new_one_is_killed_after_it_took_over(
    tmp_path: Path,
) -> None:
    with restartable_relay(tmp_path, Backend("a")) as relay:
        assert relay.start_next() < 6 and not relay.ready(0)
        relay.process.kill()
        wait_until(lambda: relay.ready(0))
        assert relay.client().open() == "UP r"


@mark.parametrize("state", ["killed", "hung"])
def test_a_new_process_starts_alone_if_the_old_one_does_not_answer(tmp_path: Path, state: str) -> None:
    with restartable_relay(tmp_path, Backend("a")) as relay:
        relay.process.send_signal(signal.SIGKILL if state == "killed" else signal.SIGSTOP)
        assert relay.start_next() < 6
        assert relay.client().open() == "UP r"
        assert relay.logged("left over" if state == "killed" else "timed out")


def test_operators_calls_to_one_process_reach_both(tmp_path: Path) -> None:
    backends = [Backend("a"), Backend("b")]
    with restartable_relay(tmp_path, *backends) as relay:
        assert call(relay.controls[0], "POST", "/control/backends/a/offline") == 200
        assert relay.start_next() < 6
        old, new = relay.controls
        assert all(relay.client().open(str(key)) == "UP r" for key in range(8))
        assert not backends[0].open_lines, "the new process knows that the backend is offline"
        # Calls to the old process and to the new one, while both run.
        assert call(old, "POST", "/control/backends/b/offline") == 200
        assert relay.client().open("none") == "BUSY"
        assert call(new, "POST", "/control/backends/a/online") == 200
        assert call(old, "POST", "/control/backends/x/online") == 404
        assert call(old, "POST", "/control/out-of-service") == 200
        assert relay.client().exchange("PING") == "ERR"
        relay.processes[0].terminate()
        assert relay.processes[0].wait(timeout=4) == 0
        assert relay.client().exchange("PING") == "ERR" and not relay.ready()
        # A process that takes over while out of service reports ready, since the old one is stopped only
        # then, and stays out of service.
        assert relay.start_next() < 6
        assert relay.client().exchange("PING") == "ERR"
        assert call(relay.controls[-1], "POST", "/control/in-service") == 200
        assert relay.client().exchange("PING") == "PONG"


def test_a_connection_id_that_is_open_at_the_old_process_is_refused(tmp_path: Path) -> None:
    with restartable_relay(tmp_path, Backend("a")) as relay:
        client = relay.client()
        assert client.open() == "UP r"
        assert relay.start_next() < 6
        again = f"OPEN {client.id} k c=feed,d=1500,g=g1"
        assert relay.client().exchange(again) == "ERR"
        relay.processes[0].terminate()
        assert client.read_line() == "MOVE"
        relay.processes[0].wait(timeout=4)
        wait_until(lambda: relay.logged("the previous process has ended"))
        assert relay.client().exchange(again) == "UP r"


def test_a_drain_known_to_the_old_process_holds_at_the_new_one_from_its_start(tmp_path: Path) -> None:
    backends = [Backend("a"), Backend("b")]
    with restartable_relay(tmp_path, *backends) as relay:
        relay.discovery.publish(backends[0].entry("draining"))
        wait_until(lambda: len(relay.discovery.calls) > 1)
        # Discovery fails from here on, and the configuration of the new process has the list before the
        # drain.
        relay.discovery.broken = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        assert relay.start_next() < 6
        assert all(relay.client().open(str(key)) == "UP r" for key in range(8))
        assert not backends[0].open_lines


def answer_nonsense(listener: socket.socket) -> None:
    link, _ = listener.accept()
    with closing(link), link.makefile("rb") as lines:
        # If closed with unread input the connection would be reset, and the answer lost.
        lines.readline()
        link.sendall(encode_message(version=VERSION, estate={}))


def test_unknown_or_malformed_messages_between_processes_change_nothing(tmp_path: Path) -> None:
    with restartable_relay(tmp_path, Backend("a")) as relay:
        path = socket_path(relay.folder, "n0", relay.process.pid)
        for data in (
            b"\x00\xff\n",
            b"[1]\n",
            b'{"taken":true}\n',
            b'{"held":5000}\n',
            b'{"do":"offline"}\n',
            b'{"done":[1]}\n',
            b'{"version":99,"name":"n0"}\n',
            encode_message(version=VERSION, name="n1"),
            b"{" * 200_000,
        ):
            with closing(socket.socket(socket.AF_UNIX)) as link:
                connect_to(link, path)
                with suppress(OSError):
                    link.sendall(data)
                    link.shutdown(socket.SHUT_WR)
                    assert b"estate" not in link.makefile("rb").read()
            assert relay.client().exchange("PING") == "PONG" and relay.ready()
        # A left-over file of a process that has ended, and a socket that answers nonsense in the name of a
        # process that started after the relay's and so is asked first.
        (relay.folder / path.name.replace(str(relay.process.pid), "1")).touch()
        with closing(socket.socket(socket.AF_UNIX)) as impostor, subprocess.Popen(["sleep", "60"]) as newer:
            with short_path(relay.folder / path.name.replace(str(relay.process.pid), str(newer.pid))) as name:
                impostor.bind(name)
            impostor.listen()
            threading.Thread(target=answer_nonsense, args=(impostor,), daemon=True).start()
            assert relay.start_next() < 6
            newer.kill()
        assert relay.logged("not a hand-over state") and relay.logged("takes over")


def test_sighup_takes_effect_with_an_inherited_socket_too(tmp_path: Path) -> None:
    with restartable_relay(tmp_path, Backend("a")) as relay:
        assert relay.start_next() < 6
        relay.reload()
        wait_until(lambda: relay.logged("configuration read again"))
        assert not relay.logged("can't be used") and relay.client().open() == "UP r"


def test_descriptors_that_the_old_process_frees_go_to_the_new_one(tmp_path: Path) -> None:
    limits = {"cores": 1.0, "memory_mb": 96, "sockets": 150}
    with restartable_relay(tmp_path, Backend("a"), limits=limits) as relay:
        clients = [relay.client() for _ in range(22)]
        assert all(client.open(str(number)) == "UP r" for number, client in enumerate(clients))
        assert relay.start_next() < 6
        # Both processes together hold no more than one may, so the new one soon has no slot and accepts
        # nobody.
        accepted: list[Client] = []
        answer = "UP r"
        while answer == "UP r":
            assert len(accepted) < 30
            accepted.append(relay.client())
            answer = accepted[-1].open(f"new{len(accepted)}")
        assert len(accepted) > 3
        both = sum(len(list(Path(f"/proc/{process.pid}/fd").iterdir())) for process in relay.processes)
        assert both <= 150
        relay.processes[0].terminate()
        assert relay.processes[0].wait(timeout=4) == 0
        wait_until(lambda: relay.client().exchange("PING") == "PONG", 3)


def test_a_folder_with_a_long_path_works(tmp_path: Path) -> None:
    with restartable_relay(tmp_path, Backend("a"), folder="x" * 120) as relay:
        assert relay.start_next() < 6 and relay.logged("takes over") and not relay.ready(0)


def test_a_handover_state_is_checked() -> None:
    good = {
        "until": 1,
        "revision": None,
        "members": [],
        "banned": {"a": 1},
        "back": {},
        "away": False,
        "ids": ["x"],
        "held": 3,
        "beliefs": {},
    }

    def message_with(**other: object) -> bytes:
        return json.dumps({"version": VERSION, "estate": good | other}).encode()

    assert parse_handover_state(message_with()).banned == {"a": 1}
    for other in (
        {"until": "1"},
        {"revision": 1.5},
        {"members": [1]},
        {"banned": [1]},
        {"away": 0},
        {"banned": {"a": "1"}},
        {"back": 2},
        {"ids": [2]},
        {"held": None},
        {"beliefs": []},
        {"clock_offset": 0.5},
        {"unix_offset": "1"},
        {"finished_ids": ["1"]},
        {"more": 1},
    ):
        with raises(HandoverMessageError):
            parse_handover_state(message_with(**other))
    with raises(HandoverMessageError):
        parse_handover_state(json.dumps({"version": VERSION + 1, "estate": good}).encode())
    with raises(HandoverMessageError):
        parse_handover_state(message_with()[:-9])


def test_a_bad_descriptor_gives_one_error_line(tmp_path: Path) -> None:
    with restartable_relay(tmp_path, Backend("a")) as relay, closing(socket.socket()) as idle:
        for bad in ("x", "999", "9" * 30, str(idle.fileno())):
            ended = subprocess.run(
                [sys.executable, "-m", "cedarledge"],
                capture_output=True,
                text=True,
                timeout=20,
                check=False,
                pass_fds=[idle.fileno()],
                env=os.environ | {"BALANCER_CONFIG": str(relay.path), "BALANCER_LISTEN_FD": bad},
            )
            assert ended.returncode == 2 and ended.stderr.count("\n") == 1 and "LISTEN_FD" in ended.stderr


def test_the_new_process_takes_over_what_the_old_one_has_learned_and_keeps_it() -> None:
    old = host_with_backends(size=2, asked=None)
    kinds = Indices(["k"])
    learn_loads(old)
    learned = json.loads(json.dumps(learned_state.export_state(old.balancer, kinds, old.now)))
    new = host_with_backends(size=2, asked=None, start_time=old.now)
    with raises(ValueError):
        learned_state.import_state(new.balancer, kinds, learned | {"loads": learned["loads"][1:]}, new.now)
    with raises(ValueError):
        learned_state.import_state(new.balancer, kinds, learned | {"rate": -1.0}, new.now)
    assert not new.balancer.state.fill_rate and mean_load(new.balancer.state.class_loads, new.now, 0) == 0
    learned_state.import_state(new.balancer, kinds, learned, new.now)
    assert mean_load(new.balancer.state.class_loads, new.now, 0) == approx(100)
    # The clients are still at the old process, and the backends' reports include them.
    for _ in range(10):
        new.now += 500 * MS
        for ep in range(2):
            new.report(ep, 0.8)
    # Eight connections of 100 at each of two relays fill two members by half.
    assert utilization.capacity(new.balancer.state, new.now, new.balancer.state.backends[0]) == approx(1600)
