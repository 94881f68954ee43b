"""How the relays of a run are started: plainly, with an operator file, from a checkout, or as a baseline."""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec

from cedarledge.operator.tables import BadFileError

BASELINES = ("random", "fewest", "hash", "pass")


class Variant(msgspec.Struct, frozen=True):
    """Command and environment of a relay process."""

    name: str
    command: list[str]
    cwd: str | None = None
    env: dict[str, str] = {}
    # Whether the scenario's operator file is passed; False if an operator file was given explicitly.
    takes_file: bool = False


def create_variant(
    policy: str = "cedarledge", operator_file: str | None = None, checkout: str | None = None
) -> Variant:
    """Returns the variant for a policy, an operator file, a checkout, or the last two together.

    Raises BadFileError if `checkout` is not a checkout of cedarledge, or if a baseline is combined with an
    operator file or a checkout.
    """
    if policy != "cedarledge":
        if operator_file is not None or checkout is not None:
            raise BadFileError([f"--policy {policy}: a baseline takes neither --file nor --checkout"])
        return Variant(policy, [sys.executable, "-m", "cedarledge.rig.baselines", policy])
    name, command, cwd = "cedarledge", [sys.executable, "-m", "cedarledge"], None
    env: dict[str, str] = {}
    if checkout is not None:
        if not (Path(checkout) / "cedarledge" / "__main__.py").is_file():
            raise BadFileError([f"{checkout}: not a checkout of cedarledge"])
        name, cwd = Path(checkout).name, str(Path(checkout).resolve())
        env = {"PYTHONPATH": cwd}
    if operator_file is not None:
        command += ["relay", "--file", str(Path(operator_file).resolve())]
        name = Path(operator_file).stem
    return Variant(name, command, cwd, env, takes_file=operator_file is None)
