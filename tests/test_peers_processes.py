"""Membership between processes of the program under kills, stops, restarts and floods; and `run`, which must
not load it."""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import statistics
import subprocess
import sys
import time
import tomllib
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path

from helpers import Backend, Client, RelayProgram, wait_until
from pytest import mark
from test_handover import RestartableRelay

from cedarledge.operator.file import read_operator_file
from cedarledge.peers.command import NoAnswerError, fetch_view
from cedarledge.peers.messages import FORMAT, Kind, Message, encode

SOURCE = Path(__file__).parents[1]
OPERATOR_FILE = '[peers]\non = true\nfleet = "t"\nlisten = "{}"\nseeds = [{}]\n[log]\nform = "json"\n'


class RelayFleet:
    """Relay processes of one fleet, each with its own operator file, in front of the same backends."""

    def __init__(self, stack: ExitStack, folder: Path, backends: list[Backend], names: list[str]) -> None:
        self.stack, self.folder, self.backends = stack, folder, backends
        sockets = [stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in names]
        for udp_socket in sockets:
            udp_socket.bind(("127.0.0.1", 0))
        self.addresses = ["{}:{}".format(*udp_socket.getsockname()) for udp_socket in sockets]
        for udp_socket in sockets:
            udp_socket.close()
        self.programs = [self.start(index, name) for index, name in enumerate(names)]

    def start(self, index: int, name: str, text: str = "") -> RelayProgram:
        folder = self.folder / f"{index}-{name}"
        folder.mkdir(exist_ok=True)
        seeds = ", ".join(f'"{address}"' for address in self.addresses[:3])
        (folder / "file").write_text(text or OPERATOR_FILE.format(self.addresses[index], seeds))
        arguments = ["relay", "--file", str(folder / "file")]
        return self.stack.enter_context(RelayProgram(folder, self.backends, arguments, name=name))

    def free_address(self) -> str:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
            udp_socket.bind(("127.0.0.1", 0))
            return "{}:{}".format(*udp_socket.getsockname())

    def view(self, index: int) -> dict[str, str]:
        """State by name of all members in a relay's view, itself included; empty if it does not answer."""
        with suppress(NoAnswerError):
            return {row.name: row.state for row in self.rows(index)}
        return {}

    def rows(self, index: int) -> list:
        return fetch_view(read_operator_file(next(self.folder.glob(f"{index}-*")) / "file").peers).rows

    def all_see(self, *expected: str) -> bool:
        """Whether every running relay sees exactly these members as alive."""
        return all(
            {name for name, state in self.view(index).items() if state in ("alive", "self")} == set(expected)
            for index, program in enumerate(self.programs)
            if program.process.poll() is None
        )


@contextmanager
def running_relays(folder: Path, *names: str):
    """A fleet in which all relays see each other."""
    with ExitStack() as stack:
        fleet = RelayFleet(stack, folder, [Backend("b-a"), Backend("b-b")], list(names))
        wait_until(lambda: fleet.all_see(*names), 10)
        yield fleet


def logged(program: RelayProgram, event: str) -> list[dict]:
    lines = [json.loads(line) for line in program.log.read_text().splitlines() if line.startswith("{")]
    return [line for line in lines if line.get("event") == event]


def test_a_kill_a_stop_a_restart_and_a_planned_exit_are_distinguished_in_time(tmp_path: Path) -> None:
    with running_relays(tmp_path, "n0", "n1", "n2", "n3") as fleet:
        wait_until(lambda: all("state" in row.told for row in fleet.rows(0)), 10)
        metadata = {row.name: row.told for row in fleet.rows(0)}
        assert [metadata[name]["state"] for name in ("n0", "n1", "n2", "n3")] == ["ready"] * 4
        assert (
            len({metadata[name]["settings"] for name in metadata}) == 1 and metadata["n1"]["zone"] == "here"
        )
        client = fleet.programs[0].client()
        assert client.open() == "UP r"
        wait_until(lambda: {row.name: row.told for row in fleet.rows(2)}["n0"].get("tunnels") == 1, 10)
        # A restart faster than the suspicion timeout: no member ever declares it dead.
        fleet.programs[3].process.kill()
        fleet.programs[3].process.wait()
        fleet.programs[3].start()
        wait_until(lambda: fleet.all_see("n0", "n1", "n2", "n3"), 10)
        # Killed for good, with a client connected.
        assert fleet.programs[1].client().open() == "UP r"
        fleet.programs[1].process.kill()
        wait_until(lambda: {fleet.view(index).get("n1") for index in (0, 2, 3)} == {"dead"}, 10)
        # Stopped and continued: dead to the others meanwhile, it declares none of them dead afterwards.
        fleet.programs[2].process.send_signal(signal.SIGSTOP)
        wait_until(lambda: fleet.view(0)["n2"] == "dead" and fleet.view(3)["n2"] == "dead", 12)
        fleet.programs[2].process.send_signal(signal.SIGCONT)
        wait_until(lambda: fleet.all_see("n0", "n2", "n3"), 8)
        assert not [line for line in logged(fleet.programs[2], "peers.dead") if line["peer"] != "n1"]
        # A planned exit is announced and needs no detection.
        fleet.programs[3].terminate()
        wait_until(lambda: fleet.view(0)["n3"] == "left" and fleet.view(2)["n3"] == "left", 6)
        assert [line["peer"] for line in logged(fleet.programs[0], "peers.dead")] == ["n1", "n2"]
        assert client.exchange("M 1") == "M 1" and fleet.programs[2].client().open() == "UP r"


def test_after_a_hot_restart_and_a_kill_during_one_all_views_agree(tmp_path: Path) -> None:
    with running_relays(tmp_path, "n0", "n1") as fleet:
        address = fleet.free_address()
        (tmp_path / "file").write_text(OPERATOR_FILE.format(address, f'"{fleet.addresses[0]}"'))
        arguments = ["relay", "--file", str(tmp_path / "file")]
        with RestartableRelay(tmp_path, fleet.backends, arguments=arguments, name="n2") as pair:
            wait_until(lambda: fleet.all_see("n0", "n1", "n2"), 10)
            client = Client(pair.address)
            assert client.open() == "UP r"
            pair.start_next()
            # The previous process still holds the port and the name; the new one serves without membership.
            wait_until(lambda: pair.logged("tried again each second"))
            assert Client(pair.address).open("k2") == "UP r"
            pair.processes[0].send_signal(signal.SIGTERM)
            wait_until(lambda: pair.log.read_text().count("peers: on as n2") == 2, 10)
            wait_until(lambda: fleet.all_see("n0", "n1", "n2"), 10)
            assert client.read_line() == "MOVE"
            # A process that is killed when a handover has just begun.
            pair.start()
            pair.processes[1].kill()
            wait_until(lambda: pair.log.read_text().count("peers: on as n2") == 3, 10)
            wait_until(lambda: fleet.all_see("n0", "n1", "n2"), 10)
            wait_until(lambda: Client(pair.address).open("k3") == "UP r")
        assert not [line for line in logged(fleet.programs[0], "peers.dead") if line["peer"] == "n2"]


def test_relays_that_are_all_killed_and_restarted_within_a_second_find_each_other(tmp_path: Path) -> None:
    with running_relays(tmp_path, "n0", "n1", "n2") as fleet:
        for program in fleet.programs:
            program.process.kill()
        for program in fleet.programs:
            program.process.wait()
            program.start()
        wait_until(lambda: fleet.all_see("n0", "n1", "n2"), 10)
        assert all(program.client().open() == "UP r" for program in fleet.programs)


def test_of_two_relays_with_one_name_one_goes_silent_and_both_serve(tmp_path: Path) -> None:
    with running_relays(tmp_path, "n0", "n1", "n2") as fleet:
        fleet.addresses.append(fleet.free_address())
        second = fleet.start(3, "n2")
        pair = (second, fleet.programs[2])
        wait_until(lambda: any("another relay of this name" in each.log.read_text() for each in pair), 10)
        assert all(program.client().open() == "UP r" for program in pair)
        wait_until(lambda: fleet.view(0) == {"n0": "self", "n1": "alive", "n2": "alive"}, 10)


def test_a_port_in_use_and_seeds_that_never_answer_delay_nothing(tmp_path: Path) -> None:
    with (
        running_relays(tmp_path, "n0") as fleet,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as occupant,
    ):
        occupant.bind(("127.0.0.1", 0))
        fleet.addresses.append("{}:{}".format(*occupant.getsockname()))
        second = fleet.start(1, "n1")
        assert second.client().open() == "UP r" and "tried again" in second.log.read_text()
        occupant.close()
        wait_until(lambda: fleet.view(0) == {"n0": "self", "n1": "alive"}, 10)
        silent = OPERATOR_FILE.format(
            fleet.addresses[1].replace("127.0.0.1", "127.0.0.2"), '"127.0.0.9:9", "10.255.255.1:9"'
        )
        assert fleet.start(2, "n9", silent).client().open() == "UP r"
        assert fleet.view(2) == {"n9": "self"}


def test_a_flood_on_the_membership_port_delays_no_request_and_takes_no_memory(tmp_path: Path) -> None:
    with running_relays(tmp_path, "n0", "n1") as fleet:
        target = fleet.programs[0]

        def resident() -> int:
            text = Path(f"/proc/{target.process.pid}/status").read_text()
            return int(text.split("VmRSS:")[1].split()[0])

        host, _, port = fleet.addresses[0].rpartition(":")
        before, sent, durations = resident(), 0, []
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
            for number in range(60):
                forged = Message(FORMAT, "t", Kind.PING, f"x{number}", "127.0.0.9:9", 1, 0, 0, "n0")
                for data in (b"", b"\x00" * 1200, encode(forged), b"\x93\x01\xa1t\x00") * 100:
                    with suppress(OSError):
                        sent += udp_socket.sendto(data, (host, int(port))) >= 0
                start = time.monotonic()
                assert target.client().open(str(number)) == "UP r"
                durations.append(time.monotonic() - start)
        assert sent > 10_000 and statistics.median(durations) < 0.1 and max(durations) < 1
        assert resident() - before < 12 << 10
        wait_until(lambda: fleet.view(0).get("n1") == "alive" and fleet.view(1).get("n0") == "alive", 20)


def test_a_changed_peers_table_on_sighup_is_rejected_with_one_line_and_the_relay_continues(
    tmp_path: Path,
) -> None:
    with running_relays(tmp_path, "n0", "n1") as fleet:
        path = tmp_path / "0-n0" / "file"
        valid = path.read_text()
        for text in (valid.replace("true", "false"), valid.replace('"t"', '"u"')):
            path.write_text(text + "[boxes]\naside = ['b-a', 'b-b']\n")
            before = fleet.programs[0].log.read_text().count("takes a restart")
            fleet.programs[0].process.send_signal(signal.SIGHUP)
            wait_until(
                lambda before=before: fleet.programs[0].log.read_text().count("takes a restart") > before
            )
        path.write_text(valid)
        assert fleet.programs[0].log.read_text().count("takes a restart") == 2
        assert fleet.view(0) == {"n0": "self", "n1": "alive"} and fleet.programs[0].client().open() == "UP r"
        log = fleet.programs[0].log.read_text()
        assert log.count("on by the operator file: peers") == 1


def command(*arguments: str, path: Path) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "cedarledge", *arguments, str(path)],
        capture_output=True,
        text=True,
        check=False,
    )


@mark.parametrize(
    "text,message",
    [
        ('on = true\nfleet = "t"\nlisten = "8.8.8.8:7"', "peers: listen: expected an IPv4 address"),
        ('on = true\nfleet = "t"\nlisten = "0.0.0.0:7"', "peers: listen: expected an IPv4 address"),
        ('on = true\nlisten = "127.0.0.1:7"', "peers: fleet: missing"),
        ('on = true\nfleet = "t"\nlisten = "127.0.0.1:7"\nseeds = ["host:7"]', "peers: seeds: expected"),
        ('on = "yes"', "peers.on: expected"),
    ],
)
def test_an_invalid_peers_table_is_rejected_with_the_path_of_its_key(
    text: str, message: str, tmp_path: Path
) -> None:
    path = tmp_path / "file"
    path.write_text(f"[peers]\n{text}\n")
    for arguments in (["check"], ["peers"]):
        result = command(*arguments, path=path)
        assert result.returncode == 2 and result.stderr.count("\n") == 1 and message in result.stderr


def test_check_lists_enabled_tables_and_the_command_shows_the_view(tmp_path: Path) -> None:
    with running_relays(tmp_path, "n0", "n1") as fleet:
        path = tmp_path / "0-n0" / "file"
        assert command("check", path=path).stdout.endswith("good; on: peers\n")
        result = command("peers", path=path)
        assert result.returncode == 0 and "n1" in result.stdout and "ready" in result.stdout
        view = json.loads(command("peers", "--json", path=path).stdout)
        assert [row["name"] for row in view["rows"]] == ["n0", "n1"]
        fleet.programs[0].process.kill()
        fleet.programs[0].process.wait()
        failed = command("peers", path=path)
        assert failed.returncode == 1 and "no answer from" in failed.stderr
        path.write_text("")
        assert "peers.on is not true" in command("peers", path=path).stderr


# -- membership disabled ---------------------------------------------------------------------------

OPTIONAL_PACKAGES = tuple(
    f"cedarledge.{name}" for name in ("peers", "failover", "model", "fleet", "operator")
)
OPTIONAL_PACKAGES += ("msgspec", "click")


@contextmanager
def started(folder: Path, source: Path):
    """`run` as the deployment starts it, in a folder and an environment full of names that optional features
    could read their configuration from."""
    folder.mkdir()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener:
        listener.bind(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        text = OPERATOR_FILE.format(
            f"127.0.0.1:{port + 1 if port < 65535 else port - 1}", f'"127.0.0.1:{port}"'
        )
        for name in ("operator.toml", "peers.toml", "cedarledge.toml", ".cedarledge"):
            (folder / name).write_text(text)
        names = ("OPERATOR_FILE", "FILE", "PEERS", "PEERS_ON", "OPERATOR", "CONFIG_FILE")
        misleading = {
            f"{prefix}_{name}": str(folder / "operator.toml")
            for prefix in ("BALANCER", "CEDARLEDGE")
            for name in names
        }
        keys = {name: {"on": True, "listen": f"127.0.0.1:{port}"} for name in ("peers", "operator", "file")}
        program = RelayProgram.__new__(RelayProgram)
        before = {name: os.environ.get(name) for name in ("PYTHONPATH", *misleading)}
        os.environ.update(misleading | {"PYTHONPATH": str(source)})
        cwd = Path.cwd()
        os.chdir(folder)
        try:
            program.__init__(folder, [Backend("b")], **keys)
        finally:
            os.chdir(cwd)
            for name, value in before.items():
                os.environ.pop(name) if value is None else os.environ.update({name: value})
        with program:
            yield program, listener


def test_run_neither_loads_nor_starts_optional_features(tmp_path: Path) -> None:
    deploy = tomllib.loads((SOURCE / "deploy" / "balancer.toml").read_text())
    assert deploy["run"] == "exec .venv/bin/python -m cedarledge", (
        "the test below starts the program in the same way"
    )
    with started(tmp_path / "a", SOURCE) as (program, listener):
        assert program.client().open() == "UP r"
        process = Path(f"/proc/{program.process.pid}")
        program.reload()
        time.sleep(1.5)
        owned = {os.readlink(path) for path in (process / "fd").iterdir() if path.exists()}
        sockets = {name[8:-1] for name in owned if name.startswith("socket:")}
        udp = {line.split()[9] for line in Path("/proc/net/udp").read_text().splitlines()[1:]}
        assert sockets and not sockets & udp, "the process has no datagram socket"
        listener.setblocking(False)
        with suppress(BlockingIOError):
            assert not listener.recv(100), "nothing was sent to the port"
    done = subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "cedarledge"],
        capture_output=True,
        text=True,
        check=False,
        cwd=SOURCE,
        env=os.environ | {"BALANCER_CONFIG": str(tmp_path / "none")},
    )
    loaded = {
        line.rpartition("|")[2].strip() for line in done.stderr.splitlines() if line.startswith("import time")
    }
    assert "cedarledge.net.relay" in loaded
    assert not [name for name in loaded if name.startswith(OPTIONAL_PACKAGES)]


def test_run_starts_as_fast_and_as_small_as_without_optional_features(tmp_path: Path) -> None:
    """Compares starts with those of the same program without the packages of optional features: 12 pairs, of
    which the first does not count."""
    bare = tmp_path / "bare"
    shutil.copytree(
        SOURCE / "cedarledge",
        bare / "cedarledge",
        ignore=shutil.ignore_patterns("peers", "failover", "model", "fleet.py", "operator", "__pycache__"),
    )
    figures: dict[str, list[tuple[float, int]]] = {"as it is": [], "bare": []}
    for turn in range(12):
        for name, source in (("as it is", SOURCE), ("bare", bare)):
            with started(tmp_path / f"{name} {turn}", source) as (program, _):
                process = Path(f"/proc/{program.process.pid}")
                times = (process / "stat").read_text().rpartition(")")[2].split()
                peak = int((process / "status").read_text().split("VmHWM:")[1].split()[0])
                figures[name].append(((int(times[11]) + int(times[12])) / os.sysconf("SC_CLK_TCK"), peak))
    # The first pair compiles bytecode.
    cpu, memory = (
        {name: statistics.median(row[column] for row in rows[1:]) for name, rows in figures.items()}
        for column in (0, 1)
    )
    assert cpu["as it is"] <= 1.2 * cpu["bare"] + 0.02
    assert memory["as it is"] <= 1.02 * memory["bare"]
