"""Without arguments: one relay on sockets, as BALANCER_CONFIG tells it to. With some: the command line."""

from __future__ import annotations

import os
import sys
from contextlib import suppress
from typing import TYPE_CHECKING

from cedarledge.net import signals

if TYPE_CHECKING:
    from cedarledge.net.config import RelayConfig
    from cedarledge.net.relay import ReadOperatorFile, Relay
    from cedarledge.operator.file import OperatorFile

CAN_NOT_START = 2


def _reader(path: str) -> ReadOperatorFile:
    # Only with a file: it takes msgspec, which the platform's relay does without.
    from cedarledge.net.config import BadConfigError
    from cedarledge.operator.file import read_operator_file
    from cedarledge.operator.tables import BadFileError

    first: list[OperatorFile] = []

    def read() -> OperatorFile:
        try:
            wanted = read_operator_file(path)
        except BadFileError as why:
            raise BadConfigError("; ".join(why.problems)) from why
        first.append(wanted)
        changed = first[0].changed_restart_only(wanted)
        del first[1:]
        if changed:
            raise BadConfigError(f"[{changed[0]}] in {path} has changed, which takes a restart")
        return wanted

    return read


def _joins(relay: Relay, config: RelayConfig, wanted: OperatorFile) -> None:
    if wanted.enabled_tables():
        from cedarledge.fleet import start_features

        start_features(relay, config, wanted)


def start(operator_file: str | None = None) -> int:
    """Runs the relay and gives its exit code; 2 where it could not start, with one line that says why."""
    from cedarledge.net.config import START_READ_ATTEMPTS, BadConfigError, read_config
    from cedarledge.net.relay import run

    try:
        config = read_config(os.environ, START_READ_ATTEMPTS)
        if operator_file is None:
            return run(config)
        return run(config, _reader(operator_file), joins=_joins)
    except BadConfigError as why:
        sys.stderr.write(f"cedarledge: {why}\n")
        return CAN_NOT_START


def end_process(code: int) -> None:
    """Ends this process at once. Taking the interpreter apart takes longer than a relay may have left, which
    is killed a little after its end is due."""
    for stream in (sys.stdout, sys.stderr):
        with suppress(OSError):
            stream.flush()
    os._exit(code)


def main() -> int:
    if sys.argv[1:2] in ([], ["relay"]):
        # Before all that takes time to import: told to end in its first 0.3 s, a relay ends as any other.
        signals.block()
    if len(sys.argv) == 1 and "_CEDARLEDGE_COMPLETE" not in os.environ:
        return start()
    try:
        from cedarledge.cli import main as command_line
    except ImportError as why:
        sys.stderr.write(
            f"cedarledge: the commands need {why.name}, which the extra 'rig' brings: "
            "pip install 'cedarledge[rig]'\n"
        )
        return CAN_NOT_START
    command_line(prog_name="cedarledge")
    return 0


if __name__ == "__main__":
    end_process(main())
