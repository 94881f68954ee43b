"""Configuration files that can't be read for a short time, at the start and on SIGHUP."""

from __future__ import annotations

import errno
import json
import os
from pathlib import Path

from helpers import SETTINGS, Backend, Discovery, RelayProgram, wait_until
from pytest import MonkeyPatch, mark, raises

from cedarledge.net import config
from cedarledge.net.config import BadConfigError, TransientConfigError, read_config

CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:9001",
    "seed": "1f",
    "limits": {"sockets": 512},
    "known": {"revision": 1, "complete": True, "members": []},
    "settings": SETTINGS,
}


class FailingReads:
    """Replaces the reading of a file: fails `failures` times with an errno, then reads the file."""

    def __init__(self, failures: int, error: int) -> None:
        self.failures, self.error = failures, error

    def __call__(self, path: Path) -> bytes:
        if self.failures:
            self.failures -= 1
            raise OSError(self.error, os.strerror(self.error))
        return path.read_bytes()


@mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EINTR, errno.EIO])
def test_the_start_waits_for_a_file_that_can_not_be_read_at_first(
    error: int, tmp_path: Path, monkeypatch: MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    monkeypatch.setattr(config, "_read_file", FailingReads(3, error))
    assert read_config({"BALANCER_CONFIG": str(path)}, attempts=4).name == "n0"
    monkeypatch.setattr(config, "_read_file", FailingReads(3, error))
    with raises(TransientConfigError):
        read_config({"BALANCER_CONFIG": str(path)})


def test_a_missing_file_is_refused_at_once(tmp_path: Path, monkeypatch: MonkeyPatch) -> None:
    with raises(BadConfigError) as raised:
        read_config({"BALANCER_CONFIG": str(tmp_path / "none")}, attempts=4)
    assert not isinstance(raised.value, TransientConfigError)


def test_a_new_configuration_takes_effect_once_its_file_can_be_read(tmp_path: Path) -> None:
    """The limit on descriptors is lowered to those that are open, so that no file can be opened."""
    import resource

    with RelayProgram(tmp_path, [Backend("a")]) as relay:
        client = relay.client()
        assert client.open() == "UP r"
        moved = Discovery(relay.discovery.members)
        limits = resource.prlimit(relay.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(relay.process.pid, resource.RLIMIT_NOFILE, (3, limits[1]))
        relay.reload(discovery=moved.address)
        wait_until(lambda: "tried again" in relay.log.read_text())
        assert not moved.calls
        resource.prlimit(relay.process.pid, resource.RLIMIT_NOFILE, limits)
        wait_until(lambda: bool(moved.calls), 2)
        assert client.exchange("M 1") == "M 1"
