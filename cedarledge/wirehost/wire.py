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
        self.eps = Indices()
        self.tun_ids: dict[int, int] = {}  # tunnel to wide id
        self.tuns: dict[int, int] = {}  # wide id to tunnel
        self.out_setups: dict[int, int] = {}  # tunnel to setups without a verdict yet
        self.closed: set[int] = set()
        self.next_tun = 0
        self.zones = Indices(settings.get("dcs"))
        self.kinds = Indices(settings.get("host_types"))
        self.profiles = Indices([row["name"] for row in settings.get("profiles") or ()])
        self.tenants = Indices([row["name"] for row in settings.get("tenants") or ()])
        self.read_report = ReportReader(settings)
        self.facts = deployment_settings(settings, seed, now, self.zones)
        self.balancer = Balancer(self, self.facts)

    # -- the host interface ------------------------------------------------------------------

    def attempt(self, tun: int, ep: int, timeout: int) -> None:
        self.out_setups[tun] += 1
        self.out.append(["relay", self.relay, self.tun_ids[tun], self.eps.names[ep], timeout // US])

    def reject(self, tun: int, come_back: int) -> None:
        self.out.append(["turn_away", self.relay, self.tun_ids[tun], come_back // US])
        self._over(tun)

    def close_with_error(self, tun: int) -> None:
        self.out.append(["lose", self.relay, self.tun_ids[tun]])
        self._over(tun)

    def move(self, tun: int) -> None:
        self.out.append(["shift", self.relay, self.tun_ids[tun]])

    def probe(self, ep: int) -> None:
        self.out.append(["poll", self.relay, self.eps.names[ep]])

    def set_timer(self, delay: int, token: int) -> None:
        self.out.append(["timer", self.relay, delay // US, token])

    def request_list(self) -> None:
        self.out.append(["subscribe", self.relay, True])

    def log(self, text: str) -> None:
        self.out.append(["record", self.relay, text])

    # -- events ------------------------------------------------------------------------------

    def _enter(self, wide_id: int) -> int:
        tun = self.next_tun
        self.next_tun += 1
        self.tuns[wide_id] = tun
        self.tun_ids[tun] = wide_id
        self.out_setups[tun] = 0
        return tun

    def _over(self, tun: int) -> None:
        self.closed.add(tun)
        self._forget(tun)

    def _forget(self, tun: int) -> None:
        if tun in self.closed and not self.out_setups[tun]:
            self.closed.discard(tun)
            del self.tuns[self.tun_ids.pop(tun)], self.out_setups[tun]

    def _profile(self, name: str) -> int:
        index = self.profiles[name]
        if index >= len(self.facts.profiles):
            raise ValueError(f"type {name!r} is none of the settings' profiles")
        return index

    def endpoints(self, now: int, form: str, _serial: Any = None, entries: Any = None) -> None:
        listed = [
            BackendEntry(
                self.eps[ep],
                cluster,
                self.zones[site],
                self.kinds[family],
                float(weight or 0),
                STANDINGS[readiness],
                (launched or 0) * US,
                stable_hash(ep),
            )
            for cluster, site, readiness, family, weight, ep, launched in (
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
        tun = self._enter(msg_id)
        self.out_setups[tun] = 1
        self.balancer.connection_adopted(
            now,
            tun,
            self._profile(type_),
            self.tenants[project] if project else None,
            resource,
            room,
            self.eps[backend],
            work_hint if marks and marks & 1 else None,
        )

    def started(self, now: int, msg_id: int, _shot: int, cost_time: int, _backend: str) -> None:
        tun = self.tuns.get(msg_id)
        if tun is not None:
            self.balancer.connection_opened(now, tun, cost_time * US)

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
        tun = self.tuns.get(msg_id)
        if tun is None:
            return
        outcome = OUTCOMES[how]
        self.out_setups[tun] -= 1
        if ended:
            self.closed.add(tun)
        report = self.read_report(server_stats) if server_stats else None
        self.balancer.attempt_ended(now, tun, self.eps[backend], bool(ended), outcome, cost_time * US, report)
        if tun in self.out_setups:
            self._forget(tun)

    def hint_update(self, now: int, msg_id: int, _shot: int, backend: str, kind: int, amount: float) -> None:
        tun = self.tuns.get(msg_id)
        if tun is None:
            return
        if kind == 1:
            self.balancer.load_changed(now, tun, amount)
        elif kind == 2:
            self.balancer.message_delay_changed(now, self.eps[backend], int(amount * 1_000_000))

    def expired(self, now: int, msg_id: int) -> None:
        tun = self.tuns.get(msg_id)
        if tun is not None and tun not in self.closed:
            self.balancer.client_gone(now, tun)
            self._over(tun)

    def status_back(self, now: int, backend: str, how: str, _cost_time: int = 0, stats: Any = None) -> None:
        report = self.read_report(stats) if stats else LoadReport()
        self.balancer.probe_ended(now, self.eps[backend], OUTCOMES[how] is Outcome.DONE, report)

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
