"""No module waits or measures by a clock that can be set: checks its reads and the reactor in use."""

from __future__ import annotations

import ast
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "cedarledge"
# Reads of the wall clock: `module.name`, or an attribute of a file's status.
WALL_CLOCK = {("time", "time"), ("time", "time_ns"), ("datetime", "now"), ("datetime", "utcnow")}
FILE_TIMES = {"st_mtime", "st_mtime_ns", "st_ctime", "st_ctime_ns", "st_atime", "st_atime_ns"}
# Modules that may read it: the relay's clock is set to Unix time once, the audit detects steps, and a run
# gets its beginning in Unix time.
ALLOWED = {"net/timers.py", "net/audit.py", "rig/run.py"}
REACTOR = "twisted.internet"


def wall_clock_reads(tree: ast.AST) -> list[int]:
    """Returns the lines that read a clock that can be set."""
    found = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute):
            owner = node.value.id if isinstance(node.value, ast.Name) else ""
            if (owner, node.attr) in WALL_CLOCK or node.attr in FILE_TIMES:
                found.append(node.lineno)
        elif isinstance(node, ast.ImportFrom) and node.module in ("time", "datetime"):
            found += [node.lineno for name in node.names if (node.module, name.name) in WALL_CLOCK]
    return found


def default_reactor_imports(tree: ast.AST) -> list[int]:
    """Returns the lines that import Twisted's default reactor, whose delays follow the wall clock."""
    found = []
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module == REACTOR:
            found += [node.lineno for name in node.names if name.name == "reactor"]
        elif isinstance(node, ast.Import):
            found += [node.lineno for name in node.names if name.name == f"{REACTOR}.reactor"]
    return found


def test_only_allowed_modules_read_a_clock_that_can_be_set() -> None:
    found_by_file = {}
    for path in sorted(PACKAGE.rglob("*.py")):
        lines = wall_clock_reads(ast.parse(path.read_text()))
        if lines:
            found_by_file[str(path.relative_to(PACKAGE))] = lines
    assert set(found_by_file) == ALLOWED, found_by_file


def test_no_module_imports_twisteds_default_reactor() -> None:
    found_by_file = {
        str(path): default_reactor_imports(ast.parse(path.read_text())) for path in PACKAGE.rglob("*.py")
    }
    assert not {path: lines for path, lines in found_by_file.items() if lines}


def test_the_checks_find_what_they_look_for() -> None:
    code = "import time\nfrom time import time_ns\na = time.time()\nb = path.stat().st_mtime_ns\n"
    assert sorted(wall_clock_reads(ast.parse(code))) == [2, 3, 4]
    assert default_reactor_imports(ast.parse("from twisted.internet import reactor")) == [1]
