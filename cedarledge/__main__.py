"""Without arguments: one relay on sockets, as BALANCER_CONFIG tells it to. With some: the command line."""

from __future__ import annotations

import os
import sys

from cedarledge.net.config import BadConfigError, read_orders
from cedarledge.net.relay import ReadOperatorFile, run

CAN_NOT_START = 2


def _reader(path: str) -> ReadOperatorFile:
    # Only with a file: it takes msgspec, which the platform's relay does without.
    from cedarledge.operator.file import OperatorFile, read_operator_file
    from cedarledge.operator.tables import BadFileError

    def read() -> OperatorFile:
        try:
            return read_operator_file(path)
        except BadFileError as why:
            raise BadConfigError("; ".join(why.problems)) from why

    return read


def start(operator_file: str | None = None) -> int:
    """Runs the relay and gives its exit code; 2 where it could not start, with one line that says why."""
    try:
        return run(read_orders(os.environ), None if operator_file is None else _reader(operator_file))
    except BadConfigError as why:
        sys.stderr.write(f"cedarledge: {why}\n")
        return CAN_NOT_START


def main() -> int:
    if len(sys.argv) == 1 and "_CEDARLEDGE_COMPLETE" not in os.environ:
        return start()
    try:
        from cedarledge.cli import main as command_line
    except ImportError as why:
        sys.stderr.write(f"cedarledge: the commands need {why.name}, which the extra 'rig' brings: "
                         "pip install 'cedarledge[rig]'\n")
        return CAN_NOT_START
    command_line(prog_name="cedarledge")
    return 0


if __name__ == "__main__":
    sys.exit(main())
