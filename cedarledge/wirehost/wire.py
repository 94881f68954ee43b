"""Translates batches of the simulator into events of balancers, and the balancers' actions into replies."""

from __future__ import annotations

import json
import sys
import traceback
from typing import Any

from cedarledge.policy import Balancer
from cedarledge.settings import US, Indices, ReportReader, deployment_settings, stable_hash
from cedarledge.terms import BackendEntry, LoadReport, Outcome
from cedarledge.wirehost.words import BACKEND_STATES, FORMS, OUTCOMES

RETURNING_FLAGS = 2 | 16  # the client repeats a request; it is back after a break or a move
encode = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False).encode


class MalformedError(Exception):
    """The input does not follow the simulator's protocol."""


class Instance:
    """One simulated relay: a balancer, its indices, and the balancer's host (terms.PolicyHost).

    The methods named in HANDLERS take the events of the protocol, with the event's values in their order.
    """

    def __init__(self, relay: int, out: list, settings: dict, seed: int, now: int) -> None:
        """Creates the balancer; its actions are appended to `out`, the reply to the current batch."""
        self.relay = relay
        self.out = out
        self.backend_ids = Indices()
        self.wire_ids: dict[int, int] = {}  # connection id to the id in the protocol
        self.connection_ids: dict[int, int] = {}  # id in the protocol to connection id
        self.running_attempts: dict[int, int] = {}  # connection id to number of attempts that have not ended
        self.closed: set[int] = set()  # connections that are over for the balancer
        self.next_connection_id = 0
        self.zones = Indices(settings.get("dcs"))
        self.host_types = Indices(settings.get("host_types"))
        self.profiles = Indices([row["name"] for row in settings.get("profiles") or ()])
        self.tenants = Indices([row["name"] for row in settings.get("tenants") or ()])
        self.read_report = ReportReader(settings)
        self.deployment = deployment_settings(settings, seed, now, self.zones)
        self.balancer = Balancer(self, self.deployment)

    # -- the balancer's actions --------------------------------------------------------------

    def attempt(self, connection_id: int, backend_id: int, timeout: int) -> None:
        """Begins an attempt, to be answered within `timeout` ns."""
        self.running_attempts[connection_id] += 1
        self.out.append(
            [
                "relay",
                self.relay,
                self.wire_ids[connection_id],
                self.backend_ids.names[backend_id],
                timeout // US,
            ]
        )

    def reject(self, connection_id: int, retry_after: int) -> None:
        """Rejects a request; `retry_after` is the suggested wait in ns, 0 for none."""
        self.out.append(["turn_away", self.relay, self.wire_ids[connection_id], retry_after // US])
        self._close(connection_id)

    def close_with_error(self, connection_id: int) -> None:
        """Answers a request with an error."""
        self.out.append(["lose", self.relay, self.wire_ids[connection_id]])
        self._close(connection_id)

    def move(self, connection_id: int) -> None:
        """Asks the client of an open connection to open it anew."""
        self.out.append(["shift", self.relay, self.wire_ids[connection_id]])

    def probe(self, backend_id: int) -> None:
        """Sends a probe to a backend."""
        self.out.append(["poll", self.relay, self.backend_ids.names[backend_id]])

    def set_timer(self, delay: int, token: int) -> None:
        """Sets a timer that returns the token after `delay` ns."""
        self.out.append(["timer", self.relay, delay // US, token])

    def request_list(self) -> None:
        """Requests the list of backends and its changes."""
        self.out.append(["subscribe", self.relay, True])

    def log(self, text: str) -> None:
        """Writes a line to the simulator's log."""
        self.out.append(["record", self.relay, text])

    # -- events of the protocol --------------------------------------------------------------

    def _add(self, wire_id: int) -> int:
        connection_id = self.next_connection_id
        self.next_connection_id += 1
        self.connection_ids[wire_id] = connection_id
        self.wire_ids[connection_id] = wire_id
        self.running_attempts[connection_id] = 0
        return connection_id

    def _close(self, connection_id: int) -> None:
        self.closed.add(connection_id)
        self._forget_if_ended(connection_id)

    def _forget_if_ended(self, connection_id: int) -> None:
        if connection_id in self.closed and not self.running_attempts[connection_id]:
            self.closed.discard(connection_id)
            del self.connection_ids[self.wire_ids.pop(connection_id)], self.running_attempts[connection_id]

    def _profile(self, name: str) -> int:
        index = self.profiles[name]
        if index >= len(self.deployment.request_classes):
            raise ValueError(f"type {name!r} is not among the profiles of the settings")
        return index

    def endpoints(self, now: int, form: str, _serial: Any = None, entries: Any = None) -> None:
        """Passes on the list of backends or its changes."""
        listed = [
            BackendEntry(
                self.backend_ids[backend],
                cell,
                self.zones[zone],
                self.host_types[host_type],
                float(weight or 0),
                BACKEND_STATES[state],
                (started or 0) * US,
                stable_hash(backend),
            )
            for cell, zone, state, host_type, weight, backend, started in (
                (*entry, None) if len(entry) == 6 else entry for entry in entries or ()
            )
        ]
        self.balancer.list_changed(now, FORMS[form], listed)

    def inbound(
        self,
        now: int,
        wire_id: int,
        profile: str,
        tenant: Any = None,
        key: Any = None,
        timeout: int = 0,
        load_hint: Any = None,
        group: Any = None,
        flags: Any = 0,
    ) -> None:
        """Passes on a request; `timeout` is the client's, in microseconds."""
        hint = load_hint if flags and flags & 1 else None
        self.balancer.connection_requested(
            now,
            self._add(wire_id),
            self._profile(profile),
            self.tenants[tenant] if tenant else None,
            key,
            group,
            timeout * US,
            hint,
            bool(flags and flags & RETURNING_FLAGS),
        )

    def adopted(
        self,
        now: int,
        wire_id: int,
        flags: Any,
        load_hint: Any,
        _timeout: Any,
        backend: str,
        key: Any = None,
        group: Any = None,
        tenant: Any = None,
        profile: str = "",
    ) -> None:
        """Passes on a connection that was open before the relay started."""
        connection_id = self._add(wire_id)
        self.running_attempts[connection_id] = 1
        self.balancer.connection_adopted(
            now,
            connection_id,
            self._profile(profile),
            self.tenants[tenant] if tenant else None,
            key,
            group,
            self.backend_ids[backend],
            load_hint if flags and flags & 1 else None,
        )

    def started(self, now: int, wire_id: int, _attempt: int, duration: int, _backend: str) -> None:
        """Passes on that an attempt opened its connection, `duration` microseconds after it began."""
        connection_id = self.connection_ids.get(wire_id)
        if connection_id is not None:
            self.balancer.connection_opened(now, connection_id, duration * US)

    def verdict(
        self,
        now: int,
        wire_id: int,
        backend: str,
        ended: bool,
        outcome_word: str,
        _attempt: int,
        duration: int,
        stats: Any = None,
    ) -> None:
        """Passes on the end of an attempt or, if `ended`, of the connection as a whole."""
        connection_id = self.connection_ids.get(wire_id)
        if connection_id is None:
            return
        outcome = OUTCOMES[outcome_word]
        self.running_attempts[connection_id] -= 1
        if ended:
            self.closed.add(connection_id)
        report = self.read_report(stats) if stats else None
        self.balancer.attempt_ended(
            now, connection_id, self.backend_ids[backend], bool(ended), outcome, duration * US, report
        )
        if connection_id in self.running_attempts:
            self._forget_if_ended(connection_id)

    def hint_update(
        self, now: int, wire_id: int, _attempt: int, backend: str, kind: int, amount: float
    ) -> None:
        """Passes on a connection's load (kind 1), or the delay of its messages in ms (kind 2)."""
        connection_id = self.connection_ids.get(wire_id)
        if connection_id is None:
            return
        if kind == 1:
            self.balancer.load_changed(now, connection_id, amount)
        elif kind == 2:
            self.balancer.message_delay_changed(now, self.backend_ids[backend], int(amount * 1_000_000))

    def expired(self, now: int, wire_id: int) -> None:
        """Passes on that a client is gone."""
        connection_id = self.connection_ids.get(wire_id)
        if connection_id is not None and connection_id not in self.closed:
            self.balancer.client_gone(now, connection_id)
            self._close(connection_id)

    def status_back(
        self, now: int, backend: str, outcome_word: str, _duration: int = 0, stats: Any = None
    ) -> None:
        """Passes on the result of a probe."""
        report = self.read_report(stats) if stats else LoadReport()
        self.balancer.probe_ended(
            now, self.backend_ids[backend], OUTCOMES[outcome_word] is Outcome.DONE, report
        )

    def elapsed(self, now: int, token: int) -> None:
        """Passes on that a timer is due."""
        self.balancer.timer_fired(now, token)

    def memo(self, now: int, by: int, payload: Any = None) -> None:
        """Ignores messages between relays, which the balancer does not use."""


HANDLERS = {
    name: getattr(Instance, name)
    for name in (
        "endpoints",
        "inbound",
        "memo",
        "status_back",
        "elapsed",
        "expired",
        "verdict",
        "hint_update",
        "started",
        "adopted",
    )
}


class Wire:
    """All simulated relays of one process; they share nothing."""

    def __init__(self) -> None:
        """Starts without relays; `attach` events add them."""
        self.instances: dict[int, Instance] = {}

    def answer(self, line: bytes) -> str:
        """Processes one batch and returns the reply. Raises MalformedError."""
        try:
            batch = json.loads(line)
            number, now, events = batch["round"], batch["moment"] * US, batch["input"]
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise MalformedError(f"not a batch: {error!r}: {line[:80]!r}") from error
        out: list = []
        for event in events:
            try:
                name, relay = event[0], event[1]
            except (IndexError, TypeError, KeyError) as error:
                raise MalformedError(f"batch {number}: event without name or relay: {event!r}") from error
            self._deliver(number, now, name, relay, event, out)
        return encode({"round": number, "do": out})

    def _deliver(self, number: int, now: int, name: str, relay: int, event: list, out: list) -> None:
        if name == "attach":
            try:
                self.instances[relay] = Instance(relay, out, event[3], event[2], now)
            except (IndexError, KeyError, TypeError, ValueError, AttributeError) as error:
                raise MalformedError(f"batch {number}: attach: {error!r}") from error
            return
        if name == "exit":
            self.instances.pop(relay, None)
            return
        handler = HANDLERS.get(name)
        if handler is None:
            raise MalformedError(f"batch {number}: unknown event {name!r}")
        instance = self.instances.get(relay)
        if instance is None:
            raise MalformedError(f"batch {number}: {name}: relay {relay!r} is not attached")
        instance.out = out
        try:
            handler(instance, now, *event[2:])
        except Exception as error:
            if not _raised_by_policy(error):
                raise MalformedError(f"batch {number}: {name}: {error!r}") from error
            traceback.print_exc(file=sys.stderr)
            out.append(["internal_error", relay, f"{type(error).__name__}: {error}"[:200]])
            self.instances.pop(relay, None)


def _raised_by_policy(error: BaseException) -> bool:
    """Whether code of the balancer is in the traceback, rather than the adapter's alone."""
    entry = error.__traceback__
    while entry is not None:
        if entry.tb_frame.f_globals.get("__name__", "").startswith("cedarledge.policy."):
            return True
        entry = entry.tb_next
    return False
