"""Builds the preload libraries of this package and joins their environments."""

from __future__ import annotations

import os
import shutil
import subprocess
from collections.abc import Mapping
from pathlib import Path

PRELOAD = "LD_PRELOAD"


class NoCompilerError(Exception):
    """A preload library can't be built on this machine."""


def build(name: str, folder: Path) -> Path:
    """Compiles NAME.c of this package into a folder and gives the library's path. Raises NoCompilerError."""
    compiler = shutil.which("cc")
    if compiler is None:
        raise NoCompilerError("preload libraries need a C compiler, cc, on the PATH")
    source, library = Path(__file__).with_name(f"{name}.c"), folder / f"{name}.so"
    flags = ["-shared", "-fPIC", "-O2", "-Wall", "-Werror"]
    command = [compiler, *flags, str(source), "-o", str(library), "-ldl"]
    built = subprocess.run(command, capture_output=True, text=True, check=False)
    if built.returncode:
        raise NoCompilerError(f"{source.name} does not compile: {built.stderr.strip()}")
    return library


def joined(*environments: Mapping[str, str]) -> dict[str, str]:
    """One environment with the libraries of all."""
    libraries = [environment[PRELOAD] for environment in environments if PRELOAD in environment]
    merged: dict[str, str] = {}
    for environment in environments:
        merged |= environment
    return merged | ({PRELOAD: os.pathsep.join(libraries)} if libraries else {})
