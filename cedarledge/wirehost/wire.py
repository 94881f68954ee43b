"""Wire batches to calls on the instances, and the instances' calls to wire messages."""

from __future__ import annotations

import json
import sys
import traceback
from typing import Any

from cedarledge.policy import Balancer
from cedarledge.settings import US, Indices, ReportReader, deployment_settings, stable_hash
from cedarledge.terms import BackendEntry, LoadReport, Outcome
from cedarledge.wirehost.words import FORMS, OUTCOMES, STANDINGS

RETURNING = 2 | 16  # marks: a client's repeat, a client back from a break or a move
encode = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False).encode


class MalformedError(Exception):
    """Input that does not follow the wire's page."""


class Instance:
    """One relay: its decision module, its indices, and the host interface that writes to the wire."""

    def __init__(self, relay: int, out: list, settings: dict, seed: int, now: int) -> None:
        self.relay = relay
        self.out = out
        self.backend_ids = Indices()
        self.wire_ids: dict[int, int] = {}  # tunnel to wide id
        self.connection_ids: dict[int, int] = {}  # wide id to tunnel
        self.running_attempts: dict[int, int] = {}  # tunnel to setups without a verdict yet
        self.closed: set[int] = set()
        self.next_connection_id = 0
        self.zones = Indices(settings.get("dcs"))
        self.kinds = Indices(settings.get("host_types"))
        self.profiles = Indices([row["name"] for row in settings.get("profiles") or ()])
        self.tenants = Indices([row["name"] for row in settings.get("tenants") or ()])
        self.read_report = ReportReader(settings)
        self.facts = deployment_settings(settings, seed, now, self.zones)
        self.balancer = Balancer(self, self.facts)

    # -- the host interface ------------------------------------------------------------------

    def attempt(self, connection_id: int, backend_id: int, timeout: int) -> None:
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

    def reject(self, connection_id: int, come_back: int) -> None:
        self.out.append(["turn_away", self.relay, self.wire_ids[connection_id], come_back // US])
        self._over(connection_id)

    def close_with_error(self, connection_id: int) -> None:
        self.out.append(["lose", self.relay, self.wire_ids[connection_id]])
        self._over(connection_id)

    def move(self, connection_id: int) -> None:
        self.out.append(["shift", self.relay, self.wire_ids[connection_id]])

    def probe(self, backend_id: int) -> None:
        self.out.append(["poll", self.relay, self.backend_ids.names[backend_id]])

    def set_timer(self, delay: int, token: int) -> None:
        self.out.append(["timer", self.relay, delay // US, token])

    def request_list(self) -> None:
        self.out.append(["subscribe", self.relay, True])

    def log(self, text: str) -> None:
        self.out.append(["record", self.relay, text])

    # -- events ------------------------------------------------------------------------------

    def _enter(self, wire_id: int) -> int:
        connection_id = self.next_connection_id
        self.next_connection_id += 1
        self.connection_ids[wire_id] = connection_id
        self.wire_ids[connection_id] = wire_id
        self.running_attempts[connection_id] = 0
        return connection_id

    def _over(self, connection_id: int) -> None:
        self.closed.add(connection_id)
        self._forget(connection_id)

    def _forget(self, connection_id: int) -> None:
        if connection_id in self.closed and not self.running_attempts[connection_id]:
            self.closed.discard(connection_id)
            del self.connection_ids[self.wire_ids.pop(connection_id)], self.running_attempts[connection_id]

    def _profile(self, name: str) -> int:
        index = self.profiles[name]
        if index >= len(self.facts.request_classes):
            raise ValueError(f"type {name!r} is none of the settings' profiles")
        return index

    def endpoints(self, now: int, form: str, _serial: Any = None, entries: Any = None) -> None:
        listed = [
            BackendEntry(
                self.backend_ids[backend],
                cluster,
                self.zones[site],
                self.kinds[family],
                float(weight or 0),
                STANDINGS[readiness],
                (launched or 0) * US,
                stable_hash(backend),
            )
            for cluster, site, readiness, family, weight, backend, launched in (
                (*entry, None) if len(entry) == 6 else entry for entry in entries or ()
            )
        ]
        self.balancer.list_changed(now, FORMS[form], listed)

    def inbound(
        self,
        now: int,
        msg_id: int,
        type_: str,
        project: Any = None,
        resource: Any = None,
        time_budget: int = 0,
        work_hint: Any = None,
        room: Any = None,
        marks: Any = 0,
    ) -> None:
        hint = work_hint if marks and marks & 1 else None
        self.balancer.connection_requested(
            now,
            self._enter(msg_id),
            self._profile(type_),
            self.tenants[project] if project else None,
            resource,
            room,
            time_budget * US,
            hint,
            bool(marks and marks & RETURNING),
        )

    def adopted(
        self,
        now: int,
        msg_id: int,
        marks: Any,
        work_hint: Any,
        _time_budget: Any,
        backend: str,
        resource: Any = None,
        room: Any = None,
        project: Any = None,
        type_: str = "",
    ) -> None:
        connection_id = self._enter(msg_id)
        self.running_attempts[connection_id] = 1
        self.balancer.connection_adopted(
            now,
            connection_id,
            self._profile(type_),
            self.tenants[project] if project else None,
            resource,
            room,
            self.backend_ids[backend],
            work_hint if marks and marks & 1 else None,
        )

    def started(self, now: int, msg_id: int, _shot: int, cost_time: int, _backend: str) -> None:
        connection_id = self.connection_ids.get(msg_id)
        if connection_id is not None:
            self.balancer.connection_opened(now, connection_id, cost_time * US)

    def verdict(
        self,
        now: int,
        msg_id: int,
        backend: str,
        ended: bool,
        how: str,
        _shot: int,
        cost_time: int,
        server_stats: Any = None,
    ) -> None:
        connection_id = self.connection_ids.get(msg_id)
        if connection_id is None:
            return
        outcome = OUTCOMES[how]
        self.running_attempts[connection_id] -= 1
        if ended:
            self.closed.add(connection_id)
        report = self.read_report(server_stats) if server_stats else None
        self.balancer.attempt_ended(
            now, connection_id, self.backend_ids[backend], bool(ended), outcome, cost_time * US, report
        )
        if connection_id in self.running_attempts:
            self._forget(connection_id)

    def hint_update(self, now: int, msg_id: int, _shot: int, backend: str, kind: int, amount: float) -> None:
        connection_id = self.connection_ids.get(msg_id)
        if connection_id is None:
            return
        if kind == 1:
            self.balancer.load_changed(now, connection_id, amount)
        elif kind == 2:
            self.balancer.message_delay_changed(now, self.backend_ids[backend], int(amount * 1_000_000))

    def expired(self, now: int, msg_id: int) -> None:
        connection_id = self.connection_ids.get(msg_id)
        if connection_id is not None and connection_id not in self.closed:
            self.balancer.client_gone(now, connection_id)
            self._over(connection_id)

    def status_back(self, now: int, backend: str, how: str, _cost_time: int = 0, stats: Any = None) -> None:
        report = self.read_report(stats) if stats else LoadReport()
        self.balancer.probe_ended(now, self.backend_ids[backend], OUTCOMES[how] is Outcome.DONE, report)

    def elapsed(self, now: int, token: int) -> None:
        self.balancer.timer_fired(now, token)

    def memo(self, now: int, by: int, payload: Any = None) -> None:
        """Peers' messages carry nothing yet: the decisions do without them."""


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
    """All the instances of one process, fully apart from each other."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def answer(self, line: bytes) -> str:
        try:
            batch = json.loads(line)
            number, now, events = batch["round"], batch["moment"] * US, batch["input"]
        except (ValueError, KeyError, TypeError, AttributeError) as why:
            raise MalformedError(f"not a batch: {why!r}: {line[:80]!r}") from why
        out: list = []
        for event in events:
            try:
                name, relay = event[0], event[1]
            except (IndexError, TypeError, KeyError) as why:
                raise MalformedError(f"batch {number}: event without name or relay: {event!r}") from why
            self._deliver(number, now, name, relay, event, out)
        return encode({"round": number, "do": out})

    def _deliver(self, number: int, now: int, name: str, relay: int, event: list, out: list) -> None:
        if name == "attach":
            try:
                self.instances[relay] = Instance(relay, out, event[3], event[2], now)
            except (IndexError, KeyError, TypeError, ValueError, AttributeError) as why:
                raise MalformedError(f"batch {number}: attach: {why!r}") from why
            return
        if name == "exit":
            self.instances.pop(relay, None)
            return
        handler = HANDLERS.get(name)
        if handler is None:
            raise MalformedError(f"batch {number}: unknown event {name!r}")
        instance = self.instances.get(relay)
        if instance is None:
            raise MalformedError(f"batch {number}: {name}: relay {relay!r} was never attached")
        instance.out = out
        try:
            handler(instance, now, *event[2:])
        except Exception as why:
            if not _in_module(why):
                raise MalformedError(f"batch {number}: {name}: {why!r}") from why
            traceback.print_exc(file=sys.stderr)
            out.append(["internal_error", relay, f"{type(why).__name__}: {why}"[:200]])
            self.instances.pop(relay, None)


def _in_module(why: BaseException) -> bool:
    step = why.__traceback__
    while step is not None:
        if step.tb_frame.f_globals.get("__name__", "").startswith("cedarledge.policy."):
            return True
        step = step.tb_next
    return False
