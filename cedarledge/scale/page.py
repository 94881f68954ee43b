"""Replaces and checks the computed tables of a Markdown page, which are enclosed in markers.

<!-- scale: NAME -->
| head | ...
<!-- end scale -->
"""

from __future__ import annotations

import re
from collections.abc import Sequence

import msgspec

from cedarledge.scale.figures import Figure

BLOCK = re.compile(r"<!-- scale: (?P<name>[a-z-]+) -->\n(?P<text>.*?)<!-- end scale -->", re.DOTALL)


class Table(msgspec.Struct, frozen=True):
    """A computed table of the page; the first cell of a row is the name of that row."""

    name: str
    head: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]

    def text(self) -> str:
        """Returns the table in Markdown."""
        rule = tuple("---" for _ in self.head)
        return "".join(_markdown_row(cells) + "\n" for cells in (self.head, rule, *self.rows))


def figure_rows(rows: Sequence[tuple[str, Figure]]) -> tuple[tuple[str, ...], ...]:
    """Returns a row for each figure, with its name, its value and its source."""
    return tuple((name, figure.text(), figure.origin()) for name, figure in rows)


def _markdown_row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def replace_tables(page: str, tables: Sequence[Table]) -> str:
    """Returns the page with the content of known tables replaced; other tables stay as they are."""
    by_name = {table.name: table for table in tables}

    def replace(match: re.Match[str]) -> str:
        table = by_name.get(match["name"])
        if table is None:
            return match[0]
        return f"<!-- scale: {table.name} -->\n{table.text()}<!-- end scale -->"

    return BLOCK.sub(replace, page)


def differences(page: str, tables: Sequence[Table]) -> list[str]:
    """Returns a message per row that differs, and per table that is only on the page or only computed."""
    shown = {match["name"]: match["text"].splitlines() for match in BLOCK.finditer(page)}
    found = [
        f"{name}: this table is on the page, but is not computed"
        for name in shown.keys() - _table_names(tables)
    ]
    for table in tables:
        if table.name not in shown:
            found.append(f"{table.name}: this table is computed, but is not on the page")
        else:
            found += _row_differences(table, shown[table.name])
    return found


def _table_names(tables: Sequence[Table]) -> set[str]:
    return {table.name for table in tables}


def _row_differences(table: Table, shown: list[str]) -> list[str]:
    expected = table.text().splitlines()
    found = []
    by_name = {_row_name(line): line for line in shown}
    for line in expected:
        if by_name.get(_row_name(line)) != line:
            on_page = by_name.get(_row_name(line), "no such row")
            found.append(f"{table.name}, row {_row_name(line)!r}: computed {line}, on the page {on_page}")
    known = {_row_name(line) for line in expected}
    found += [
        f"{table.name}, row {_row_name(line)!r}: on the page, but not computed"
        for line in shown
        if _row_name(line) not in known
    ]
    if not found and shown != expected:
        found.append(f"{table.name}: the page has the rows in another order or has duplicate rows")
    return found


def _row_name(line: str) -> str:
    return line.split("|")[1].strip() if line.count("|") > 1 else line
