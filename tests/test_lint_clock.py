"""Nothing waits or counts by a clock that can be set: who reads one, and which reactor runs."""

from __future__ import annotations

import ast
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "cedarledge"
# Readings of the wall clock: `module.name`, or an attribute of a file's status.
WALL_CLOCK = {("time", "time"), ("time", "time_ns"), ("datetime", "now"), ("datetime", "utcnow")}
FILE_TIMES = {"st_mtime", "st_mtime_ns", "st_ctime", "st_ctime_ns", "st_atime", "st_atime_ns"}
# Who may, and why: the relay's clock is set to Unix time once, the audit looks for steps, and a run is told
# in Unix time when it begins.
ALLOWED = {"net/timers.py", "net/audit.py", "rig/run.py"}
REACTOR = "twisted.internet"


def readings(tree: ast.AST) -> list[int]:
    """Lines that read a clock that can be set."""
    found = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute):
            owner = node.value.id if isinstance(node.value, ast.Name) else ""
            if (owner, node.attr) in WALL_CLOCK or node.attr in FILE_TIMES:
                found.append(node.lineno)
        elif isinstance(node, ast.ImportFrom) and node.module in ("time", "datetime"):
            found += [node.lineno for name in node.names if (node.module, name.name) in WALL_CLOCK]
    return found


def default_reactors(tree: ast.AST) -> list[int]:
    """Lines that import Twisted's default reactor, whose waits follow the wall clock."""
    found = []
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module == REACTOR:
            found += [node.lineno for name in node.names if name.name == "reactor"]
        elif isinstance(node, ast.Import):
            found += [node.lineno for name in node.names if name.name == f"{REACTOR}.reactor"]
    return found


def test_no_module_reads_a_clock_that_can_be_set_but_those_that_may() -> None:
    seen = {}
    for path in sorted(PACKAGE.rglob("*.py")):
        lines = readings(ast.parse(path.read_text()))
        if lines:
            seen[str(path.relative_to(PACKAGE))] = lines
    assert set(seen) == ALLOWED, seen


def test_no_module_runs_on_twisteds_default_reactor() -> None:
    seen = {str(path): default_reactors(ast.parse(path.read_text())) for path in PACKAGE.rglob("*.py")}
    assert not {path: lines for path, lines in seen.items() if lines}


def test_what_is_looked_for_is_found() -> None:
    code = "import time\nfrom time import time_ns\na = time.time()\nb = path.stat().st_mtime_ns\n"
    assert sorted(readings(ast.parse(code))) == [2, 3, 4]
    assert default_reactors(ast.parse("from twisted.internet import reactor")) == [1]
