"""Run one relay on sockets, as BALANCER_CONFIG tells it to."""

from __future__ import annotations

import os
import sys

from cedarledge.net.config import BadConfigError, read_orders
from cedarledge.net.relay import run


def main() -> int:
    try:
        return run(read_orders(os.environ))
    except BadConfigError as why:
        sys.stderr.write(f"cedarledge: {why}\n")
        return 2


if __name__ == "__main__":
    sys.exit(main())
