"""Serves the simulator's protocol on standard input and output until the input ends."""

from __future__ import annotations

import sys

from cedarledge.wirehost.wire import MalformedError, Wire


def main() -> int:
    """Answers each line of standard input; returns the exit code, 2 after malformed input."""
    wire = Wire()
    for line in sys.stdin.buffer:
        try:
            reply = wire.answer(line)
        except MalformedError as fault:
            sys.stderr.write(f"cedarledge: {fault}\n")
            return 2
        sys.stdout.write(reply)
        sys.stdout.write("\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
