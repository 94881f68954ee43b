"""The command `cedarledge peers FILE`: shows the members that a running relay knows."""

from __future__ import annotations

import json
import socket
import sys
import time

import click
import msgspec

from cedarledge.operator.file import PeersTable, read_operator_file
from cedarledge.operator.tables import BadFileError
from cedarledge.peers.messages import (
    FORMAT,
    Kind,
    Message,
    Row,
    View,
    decode_view,
    encode,
    parse_private_address,
)

MAX_TRIES, ANSWER_TIMEOUT_S = 4, 0.5
# Exit codes.
EXIT_NO_ANSWER, EXIT_UNUSABLE_FILE = 1, 2


class NoAnswerError(Exception):
    """The relay did not answer."""


def fetch_view(table: PeersTable) -> View:
    """Returns the whole view of the relay that listens at the table's address. Raises NoAnswerError."""
    target = parse_private_address(table.listen)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
        udp_socket.settimeout(ANSWER_TIMEOUT_S)
        udp_socket.bind((target[0], 0))
        rows: list[Row] = []
        while True:
            part = _request_part(udp_socket, target, table, len(rows))
            rows += part.rows
            if not part.rows or len(rows) >= part.total:
                return msgspec.structs.replace(part, rows=rows)


def _request_part(udp_socket: socket.socket, target: tuple[str, int], table: PeersTable, first: int) -> View:
    own = "{}:{}".format(*udp_socket.getsockname())
    request = encode(Message(FORMAT, table.fleet, Kind.SHOW, "staff", own, 0, 0, first))
    for _ in range(MAX_TRIES):
        udp_socket.sendto(request, target)
        try:
            part = decode_view(udp_socket.recv(65536))
        except (TimeoutError, ConnectionError, msgspec.MsgspecError):
            continue
        if part.first == first:
            return part
    raise NoAnswerError(
        f"no answer from {table.listen}: does a relay of the fleet {table.fleet!r} listen there?"
    )


def format_table(view: View) -> str:
    """Returns the view as a text table: a line per member, and a last line with the relay's own health."""
    lines = [f"{'name':20} {'zone':12} {'state':9} {'for':>9} {'inc.':>5} {'program':10} {'relay':8} address"]
    for row in view.rows:
        metadata = row.told
        duration = f"{row.for_ms / 1000:.0f} s" if row.for_ms else ""
        lines.append(
            f"{row.name:20} {metadata.get('zone', ''):12} {row.state:9} {duration:>9} {row.incarnation:5} "
            f"{metadata.get('version', ''):10} {metadata.get('state', ''):8} {row.address}"
        )
    dropped = ", ".join(f"{count} {name}" for name, count in view.counts.items() if count)
    lines.append(f"local health {view.health} (0 is good)" + (f"; dropped: {dropped}" if dropped else ""))
    return "\n".join(lines)


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--watch", is_flag=True, help="Ask again each second, until Ctrl-C.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object per answer.")
def peers(file: str, watch: bool, as_json: bool) -> None:
    """Show the members of the fleet as the relay that runs with this operator FILE sees them."""
    try:
        table = read_operator_file(file).peers
        if not table.on:
            raise BadFileError([f"{file}: peers.on is not true; a relay with this file has no peers"])
    except BadFileError as error:
        for problem in error.problems:
            click.echo(f"cedarledge: {problem}", err=True)
        sys.exit(EXIT_UNUSABLE_FILE)
    while True:
        try:
            view = fetch_view(table)
            click.echo(
                json.dumps(msgspec.to_builtins(_to_json_object(view))) if as_json else format_table(view)
            )
        except (NoAnswerError, OSError) as error:
            click.echo(f"cedarledge: {error}", err=True)
            if not watch:
                sys.exit(EXIT_NO_ANSWER)
        if not watch:
            return
        time.sleep(1)


def _to_json_object(view: View) -> dict[str, object]:
    """Returns the view with field names, as the structs are encoded as arrays."""
    fields = msgspec.structs.asdict(view)
    return fields | {"rows": [msgspec.structs.asdict(row) for row in view.rows]}
