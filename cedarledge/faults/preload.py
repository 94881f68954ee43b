"""Compiles the preload libraries of this package and merges the environments that load them."""

from __future__ import annotations

import os
import shutil
import subprocess
from collections.abc import Mapping
from pathlib import Path

PRELOAD = "LD_PRELOAD"


class PreloadBuildError(Exception):
    """A preload library cannot be compiled: no C compiler on the PATH, or the compiler failed."""


def compile_library(name: str, folder: Path) -> Path:
    """Compiles NAME.c of this package and returns the path of the library, `folder`/NAME.so.

    Raises PreloadBuildError.
    """
    compiler = shutil.which("cc")
    if compiler is None:
        raise PreloadBuildError("preload libraries need a C compiler, cc, on the PATH")
    source, library = Path(__file__).with_name(f"{name}.c"), folder / f"{name}.so"
    flags = ["-shared", "-fPIC", "-O2", "-Wall", "-Werror"]
    command = [compiler, *flags, str(source), "-o", str(library), "-ldl"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    if result.returncode:
        raise PreloadBuildError(f"{source.name} does not compile: {result.stderr.strip()}")
    return library


def merge_environments(*environments: Mapping[str, str]) -> dict[str, str]:
    """Returns the union of the environments; LD_PRELOAD lists the libraries of all of them."""
    libraries = [environment[PRELOAD] for environment in environments if PRELOAD in environment]
    merged: dict[str, str] = {}
    for environment in environments:
        merged |= environment
    return merged | ({PRELOAD: os.pathsep.join(libraries)} if libraries else {})
