"""Configurations that can't be read for a moment, at the start and on SIGHUP."""

from __future__ import annotations

import errno
import json
import os
from pathlib import Path

from helpers import SETTINGS, Backend, Discovery, RelayProgram, wait_until
from pytest import MonkeyPatch, mark, raises

from cedarledge.net import config
from cedarledge.net.config import BadConfigError, TransientConfigError, read_config

TOLD = {
    "name": "n0",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:9001",
    "seed": "1f",
    "limits": {"sockets": 512},
    "known": {"revision": 1, "complete": True, "members": []},
    "settings": SETTINGS,
}


class FailingReads:
    """In place of the reading of a file: fails so often, then reads."""

    def __init__(self, failures: int, number: int) -> None:
        self.failures, self.number = failures, number

    def __call__(self, path: Path) -> bytes:
        if self.failures:
            self.failures -= 1
            raise OSError(self.number, os.strerror(self.number))
        return path.read_bytes()


@mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EINTR, errno.EIO])
def test_a_start_waits_for_a_file_that_can_not_be_read_for_a_moment(
    number: int, tmp_path: Path, monkeypatch: MonkeyPatch
) -> None:
    path = tmp_path / "told.json"
    path.write_text(json.dumps(TOLD))
    monkeypatch.setattr(config, "_read_file", FailingReads(3, number))
    assert read_config({"BALANCER_CONFIG": str(path)}, tries=4).name == "n0"
    monkeypatch.setattr(config, "_read_file", FailingReads(3, number))
    with raises(TransientConfigError):
        read_config({"BALANCER_CONFIG": str(path)})


def test_a_file_that_is_not_there_is_refused_at_once(tmp_path: Path, monkeypatch: MonkeyPatch) -> None:
    with raises(BadConfigError) as refused:
        read_config({"BALANCER_CONFIG": str(tmp_path / "none")}, tries=4)
    assert not isinstance(refused.value, TransientConfigError)


def test_a_new_configuration_is_followed_once_its_file_can_be_read(tmp_path: Path) -> None:
    """The limit on descriptors, lowered to those that are open, has each opening of a file fail."""
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
