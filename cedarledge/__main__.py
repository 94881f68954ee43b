"""Entry point: without arguments it runs the relay that BALANCER_CONFIG configures, else the command line."""

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

START_FAILED = 2  # exit code


def _operator_file_reader(path: str) -> ReadOperatorFile:
    # Imported only for an operator file: it needs msgspec, which the relay of the platform runs without.
    from cedarledge.net.config import BadConfigError
    from cedarledge.operator.file import read_operator_file
    from cedarledge.operator.tables import BadFileError

    first_read: list[OperatorFile] = []

    def read() -> OperatorFile:
        try:
            settings = read_operator_file(path)
        except BadFileError as why:
            raise BadConfigError("; ".join(why.problems)) from why
        first_read.append(settings)
        changed = first_read[0].changed_restart_only(settings)
        del first_read[1:]
        if changed:
            raise BadConfigError(f"[{changed[0]}] in {path} has changed, which takes a restart")
        return settings

    return read


def _join_peers(relay: Relay, config: RelayConfig, settings: OperatorFile) -> None:
    if settings.enabled_tables():
        from cedarledge.fleet import start_features

        start_features(relay, config, settings)


def start(operator_file: str | None = None) -> int:
    """Runs the relay and returns its exit code; 2 if it can't start, with one line on standard error."""
    from cedarledge.net.config import START_READ_ATTEMPTS, BadConfigError, read_config
    from cedarledge.net.relay import run

    try:
        config = read_config(os.environ, START_READ_ATTEMPTS)
        if operator_file is None:
            return run(config)
        return run(config, _operator_file_reader(operator_file), start_features=_join_peers)
    except BadConfigError as why:
        sys.stderr.write(f"cedarledge: {why}\n")
        return START_FAILED


def end_process(code: int) -> None:
    """Ends this process at once, without the interpreter's shutdown.

    The shutdown may take longer than a stopping relay has left: the platform kills it soon after its time is
    up.
    """
    for stream in (sys.stdout, sys.stderr):
        with suppress(OSError):
            stream.flush()
    os._exit(code)


def main() -> int:
    """Runs the relay or the command line; returns the exit code."""
    if sys.argv[1:2] in ([], ["relay"]):
        # Before the imports, which take time: SIGTERM within the first 0.3 s then ends the relay normally.
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
        return START_FAILED
    command_line(prog_name="cedarledge")
    return 0


if __name__ == "__main__":
    end_process(main())
