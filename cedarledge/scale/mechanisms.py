"""Text of the table column that names the files that implement a mechanism."""

from __future__ import annotations

NOT_IMPLEMENTED = "**missing**"

MEMBERSHIP_FILES = "`peers/machine.py`, `peers/shell.py`"
PROBE_FILES = "`choice.py`, `net/backends.py`, `net/discovery.py`"
VOTE_FILES = "`failover/votes.py`, `failover/plans.py`; from there to relays " + NOT_IMPLEMENTED
