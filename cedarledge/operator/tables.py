"""Parses TOML files into immutable structs, and reports every problem with its place."""

from __future__ import annotations

import difflib
import tomllib
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

Table = TypeVar("Table", bound=msgspec.Struct)


class BadFileError(Exception):
    """Raised for a file that can't be used; `problems` has one line for each problem, with its place."""

    def __init__(self, problems: list[str]) -> None:
        """Joins the problems to the message."""
        super().__init__("; ".join(problems))
        self.problems = problems


def read_file(path: str | Path, kind: type[Table]) -> Table:
    """Reads a TOML file into a struct of type `kind`. Raises BadFileError with all problems."""
    return read_tables(read_raw(path), kind)


def read_raw(path: str | Path) -> dict[str, Any]:
    """Reads a TOML file without checks of its content. Raises BadFileError."""
    try:
        return tomllib.loads(Path(path).read_bytes().decode("utf-8"))
    except OSError as why:
        raise BadFileError([f"{path}: {why.strerror}"]) from why
    except UnicodeDecodeError as why:
        raise BadFileError([f"{path}: not UTF-8 at byte {why.start}"]) from why
    except (tomllib.TOMLDecodeError, RecursionError) as why:
        raise BadFileError([f"{path}: not TOML: {why}"]) from why


def read_tables(raw: dict[str, Any], kind: type[Table]) -> Table:
    """Converts parsed TOML into a struct of type `kind`. Raises BadFileError with all problems."""
    problems: list[str] = []
    value = _table(raw, kind, "", problems)
    if value is None or problems:
        raise BadFileError(problems)
    return value


def _table(raw: Any, kind: type[Table], place: str, problems: list[str]) -> Table | None:
    if not isinstance(raw, dict):
        problems.append(f"{place}: expected a table, got {_excerpt(raw)}")
        return None
    before = len(problems)
    hints = get_type_hints(kind, include_extras=True)
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in raw:
        if name not in fields:
            close = difflib.get_close_matches(name, fields, 1)
            suggestion = f"did you mean {close[0]!r}?" if close else "known here: " + ", ".join(fields)
            problems.append(f"{_place_of(place, name)}: unknown name; {suggestion}")
    values: dict[str, Any] = {}
    for name, field in fields.items():
        if name not in raw:
            if field.required:
                problems.append(f"{_place_of(place, name)}: missing")
            continue
        value = _field(raw[name], hints[field.name], _place_of(place, name), problems)
        if value is not None:
            values[field.name] = value
    if len(problems) > before:
        return None
    try:
        return kind(**values)
    except ValueError as why:
        # From the check of the table's own __post_init__.
        problems.append(f"{place}: {why}" if place else str(why))
        return None


def _field(raw: Any, hint: Any, place: str, problems: list[str]) -> Any:
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        return _table(raw, hint, place, problems)
    args = get_args(hint)
    if (
        get_origin(hint) is tuple
        and len(args) == 2
        and isinstance(args[0], type)
        and issubclass(args[0], msgspec.Struct)
    ):
        if not isinstance(raw, list):
            problems.append(f"{place}: expected a list of tables, got {_excerpt(raw)}")
            return None
        rows = [_table(row, args[0], f"{place}[{number}]", problems) for number, row in enumerate(raw)]
        return None if None in rows else tuple(rows)
    try:
        # Strict: "5" is no number. An integer is accepted for a float, as TOML has 1 for 1.0.
        return msgspec.convert(raw, hint)
    except msgspec.ValidationError as why:
        text, _, where = str(why).partition(" - at `$")
        inner = where.rstrip("`") if where else ""
        problems.append(f"{place}{inner}: {text[0].lower()}{text[1:]}, got {_excerpt(raw)}")
        return None


def _place_of(place: str, name: str) -> str:
    return f"{place}.{name}" if place else name


def _excerpt(raw: Any) -> str:
    text = repr(raw)
    return text if len(text) <= 60 else text[:57] + "..."
