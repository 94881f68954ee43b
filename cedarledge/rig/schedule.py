"""Makes a plan of a scenario: sizes, boxes, and what happens when, by its arguments and the seed alone."""

from __future__ import annotations

import math
import random
from typing import Any

import msgspec

from cedarledge.operator.file import OperatorFile
from cedarledge.rig.scenario import RESTARTS, BoxKind, Fault, Scenario
from cedarledge.standins.plan import (
    BoxPlan,
    BoxSettings,
    ClientSettings,
    Plan,
    ProfilePlan,
    ScheduledEvent,
    ZoneLayout,
)
from cedarledge.terms import MS, SECOND

# How late discovery tells of a box that died, and of one that is there again.
DEATH_TOLD, START_TOLD = (0.9, 3.0), (0.24, 1.7)
# A drain is told before the box itself turns anybody away.
DRAIN_AHEAD = 0.4
# Of the boxes of a rolling drain, how far apart they begin, as a part of the fault's length.
ROLL_PART = 0.6
LIES = (2, 3, 4)
# How fast those come that stand at the start: a second.
COMING = 300


# How far apart steps of a wall clock and signals in a series are, where a fault does not say.
STEPS_APART, SIGNALS_APART = 1.0, 0.1
# A process that died is started again this much later, where that is at once.
AT_ONCE = 0.2


def ns(seconds: float) -> int:
    return int(seconds * SECOND)


def build_plan(
    scenario: Scenario,
    seed: int,
    *,
    relays: int | None = None,
    boxes: int | None = None,
    rate: float | None = None,
    seconds: float | None = None,
) -> Plan:
    """The plan of one run. The sizes given go before the scenario's; faults keep their times."""
    chance = random.Random(seed)
    relays = relays or scenario.relays
    count = boxes or scenario.boxes
    rate = rate or scenario.rate
    length = seconds or scenario.seconds
    grown = sum(math.ceil(fault.share * count) for fault in scenario.fault if fault.kind == "grow")
    table = _boxes(scenario, count, grown, chance)
    standing = int(rate * scenario.life)
    strength = sum(box.cores * box.speed for box in table if box.at_start)
    weight = sum(row.share * row.weight for row in scenario.profile) / sum(
        row.share for row in scenario.profile
    )
    one = scenario.load * strength / max(1, standing) / weight
    total = sum(row.share for row in scenario.profile)
    profiles = tuple(
        ProfilePlan(
            row.name,
            row.share / total,
            row.effect,
            row.group,
            ns(row.window),
            ns(row.setup_goal),
            ns(row.client_timeout),
            ns(row.message_goal),
            row.credit,
            one * row.weight,
        )
        for row in scenario.profile
    )
    box = scenario.box
    terms = BoxSettings(
        message_time=int(box.message_ms * MS),
        setup_time=int(box.setup_ms * MS),
        round_trip=int(box.round_trip_ms * MS),
        max_backlog=ns(box.queue_s),
        report_interval=ns(box.refresh_s),
        report_delay=ns(box.behind_s),
        cold_from=box.cold_from,
        warmup_duration=ns(box.warm_within_s),
        overload_multiple=box.fall_multiple,
        overload_duration=ns(box.fall_span_s),
        restart_delay=ns(box.fallen_for_s),
        move_after=ns(box.move_after_s),
    )
    clients = ClientSettings(
        arrival_rate=rate,
        initial_clients=standing,
        ramp_up=ns(min(0.8 * scenario.warm_up or 1.0, max(3.0, standing / COMING))),
        mean_lifetime=ns(scenario.life),
        message_interval=ns(scenario.clients.line_every),
        max_retries=scenario.clients.retries,
        backoff=ns(scenario.clients.backoff),
        return_delay=ns(scenario.clients.come_back),
        key_count=scenario.clients.keys,
        health_check_interval=ns(0.5),
        health_check_timeout=ns(1.6),
    )
    zones = ZoneLayout(
        tuple(f"zone-{zone + 1}" for zone in range(box.zones)),
        scenario.zones.regions,
        int(scenario.zones.trip_ms / 2 * MS),
        int(scenario.zones.region_trip_ms / 2 * MS),
        scenario.zones.home,
    )
    far = zones.zone_delay or zones.region_delay
    schedule = Schedule(chance, table, relays, length, zones)
    for fault in scenario.fault:
        if fault.start < length:
            schedule.add(fault)
    acts = tuple(sorted(schedule.acts, key=lambda act: (act.at, act.target, act.index, act.action)))
    spans = tuple(
        (fault.kind, fault.start, min(length, fault.start + fault.length))
        for fault in scenario.fault
        if fault.start < length
    )
    return Plan(
        scenario.name,
        seed,
        length,
        min(scenario.warm_up, length / 2),
        relays,
        table,
        profiles,
        terms,
        clients,
        acts,
        spans,
        ns(scenario.drain_grace),
        scenario.sockets,
        512,
        told_settings(scenario, relays),
        zones,
        {} if scenario.operator == OperatorFile() else msgspec.to_builtins(scenario.operator),
        tuple(range(relays) if far else sorted({act.relay for act in acts if act.target == "way"})),
    )


def _boxes(scenario: Scenario, count: int, grown: int, chance: random.Random) -> tuple[BoxPlan, ...]:
    kinds = scenario.box.kind
    cells = max(1, count // scenario.box.per_cell)
    table = []
    for index in range(count + grown):
        kind: BoxKind = chance.choices(kinds, [kind.share for kind in kinds])[0]
        speed = kind.speed * (1 + kind.spread * (2 * chance.random() - 1))
        table.append(
            BoxPlan(
                f"s-{chance.getrandbits(32):08x}",
                index % cells,
                f"zone-{index % scenario.box.zones + 1}",
                kind.name,
                kind.cores,
                speed,
                kind.cap,
                index < count,
            )
        )
    return tuple(table)


def told_settings(scenario: Scenario, relays: int) -> dict[str, Any]:
    """What a relay is told of the site, in the form of the platform's configuration; times in us."""
    box = scenario.box
    return {
        "me": 0,
        "group_size": relays,
        "dcs": [f"zone-{zone + 1}" for zone in range(box.zones)],
        "zone": "zone-1",
        "host_types": [kind.name for kind in box.kind],
        "weight_kind": "off",
        "service_type": "conn",
        "membership_mode": "ask",
        "allowed": {
            "most_setups": 6,
            "probes": scenario.probes,
            "connect_timeout": 150_000,
            "conn_idle": 15_000_000,
        },
        "safety": {
            "ask_every": 10_000_000,
            "cold_from": box.cold_from,
            "drain_grace": int(scenario.drain_grace * 1e6),
            "fall_multiple": box.fall_multiple,
            "overload_for": int(box.fall_span_s * 1e6),
            "warm_within": int(box.warm_within_s * 1e6),
        },
        "load_report": {"how": "on_probe", "columns": ["utilization", "recent_ms", "x0", "x1"]},
        "profiles": [
            {
                "name": row.name,
                "semantics": row.effect,
                "group": row.group,
                "credit": row.credit,
                "window": int(row.window * 1e6),
                "setup_goal": int(row.setup_goal * 1e6),
                "client_timeout": int(row.client_timeout * 1e6),
            }
            for row in scenario.profile
        ],
        "domain": {
            "message_aim": [int(row.message_goal * 1e6) for row in scenario.profile],
            "tells_delay": True,
            "groups": False,
        },
    }


class Schedule:
    """Turns faults into acts."""

    def __init__(
        self,
        chance: random.Random,
        table: tuple[BoxPlan, ...],
        relays: int,
        seconds: float,
        zones: ZoneLayout,
    ) -> None:
        self.chance = chance
        self.table = table
        self.zones = zones
        self.relays = relays
        self.seconds = seconds
        self.acts: list[ScheduledEvent] = []
        self.first = [index for index, box in enumerate(table) if box.at_start]
        self.new = [index for index, box in enumerate(table) if not box.at_start]
        # Boxes that a fault takes down or drains: another one of that sort finds its own.
        self.restarted: set[int] = set()

    def add(self, fault: Fault) -> None:
        getattr(self, f"_{fault.kind}")(fault)

    # -- helpers -----------------------------------------------------------------------------------

    def _act(
        self, at: float, who: str, what: str, which: int = -1, size: float = 0.0, relay: int = -1
    ) -> None:
        self.acts.append(ScheduledEvent(ns(at), who, what, which, size, relay))

    def _some(self, fault: Fault) -> list[int]:
        """The boxes it is about, at least one; never all at once for those that restart."""
        free = [box for box in self.first if box not in self.restarted]
        most = max(1, len(self.first) - len(self.restarted) - 1) if fault.kind in RESTARTS else len(free)
        some = sorted(
            self.chance.sample(free, min(len(free), most, max(1, round(fault.share * len(self.first)))))
        )
        if fault.kind in RESTARTS:
            self.restarted.update(some)
        return some

    def _relays(self, share: float) -> list[int]:
        return sorted(
            self.chance.sample(range(self.relays), max(1, min(self.relays, round(share * self.relays))))
        )

    def _size(self, fault: Fault) -> float:
        low, high = fault.size[0], fault.size[-1]
        return low + (high - low) * self.chance.random()

    def _spans(self, fault: Fault) -> list[tuple[float, float]]:
        """When it is on."""
        end = min(self.seconds + 1, fault.start + fault.length)
        if not fault.period:
            return [(fault.start, end)]
        starts = [
            fault.start + fault.period * number for number in range(math.ceil(fault.length / fault.period))
        ]
        return [(start, min(end, start + fault.period / 2)) for start in starts if start < end]

    def _on_boxes(self, fault: Fault, what: str, on: float | None, off: float) -> None:
        for box in self._some(fault):
            size = self._size(fault) if on is None else on
            for start, end in self._spans(fault):
                self._act(start, "box", what, box, size)
                self._act(end, "box", what, box, off)

    def _between(self, span: tuple[float, float]) -> float:
        return self.chance.uniform(*span)

    def _starts(self, box: int, at: float, elsewhere: bool = False) -> None:
        """It is there again, cold; discovery tells of it a little later."""
        self._act(at, "box", "start", box, float(elsewhere))
        self._act(at + self._between(START_TOLD), "list", "up", box, float(ns(at)), int(elsewhere))

    # -- the kinds ---------------------------------------------------------------------------------

    def _slow(self, fault: Fault) -> None:
        self._on_boxes(fault, "slow", None, 1.0)

    def _neighbour(self, fault: Fault) -> None:
        self._on_boxes(fault, "neighbour", None, 0.0)

    def _hang(self, fault: Fault) -> None:
        self._on_boxes(fault, "hung", 1.0, 0.0)

    def _errors(self, fault: Fault) -> None:
        self._on_boxes(fault, "failing", 1.0, 0.0)

    def _late_up(self, fault: Fault) -> None:
        self._on_boxes(fault, "late_up", 1.0, 0.0)

    def _frozen(self, fault: Fault) -> None:
        self._on_boxes(fault, "frozen", 1.0, 0.0)

    def _hot_key(self, fault: Fault) -> None:
        for start, end in self._spans(fault):
            self._act(start, "clients", "hot", size=self._size(fault))
            self._act(end, "clients", "hot", size=0.0)

    def _rude(self, fault: Fault) -> None:
        self._act(fault.start, "clients", "rude", size=self._size(fault))
        self._act(fault.start + fault.length, "clients", "rude", size=0.0)

    def _storm(self, fault: Fault) -> None:
        self._act(fault.start, "clients", "storm", size=fault.share)

    def _crash(self, fault: Fault, elsewhere: bool = False) -> None:
        for box in self._some(fault):
            at = fault.start + self.chance.random() * 0.5
            self._act(at, "box", "stop", box)
            told = at + self._between(DEATH_TOLD)
            if told < at + fault.length:
                self._act(told, "list", "removed", box)
            self._starts(box, at + fault.length, elsewhere)

    def _elsewhere(self, fault: Fault) -> None:
        self._crash(fault, elsewhere=True)

    def _drain(self, fault: Fault) -> None:
        """One box after the other is drained, ends, and comes back cold."""
        boxes = self._some(fault)
        apart = fault.length * ROLL_PART / len(boxes)
        lasts = fault.length * (1 - ROLL_PART)
        for number, box in enumerate(boxes):
            at = fault.start + number * apart
            self._act(at, "list", "draining", box)
            self._act(at + DRAIN_AHEAD, "box", "drain", box)
            self._act(at + lasts * 0.8, "box", "stop", box)
            self._act(at + lasts * 0.8 + 0.1, "list", "removed", box)
            self._starts(box, at + lasts)

    def _grow(self, fault: Fault) -> None:
        count = min(len(self.new), math.ceil(fault.share * len(self.first)))
        some, self.new = self.new[:count], self.new[count:]
        for box in some:
            self._starts(box, fault.start + self.chance.random() * 0.3)

    def _late_list(self, fault: Fault) -> None:
        self._act(fault.start, "list", "late", size=float(ns(self._size(fault))))
        self._act(fault.start + fault.length, "list", "late", size=0.0)

    def _no_list(self, fault: Fault) -> None:
        for start, end in self._spans(fault):
            self._act(start, "list", "mode", size=1.0)
            self._act(end, "list", "mode", size=0.0)

    def _lying_list(self, fault: Fault) -> None:
        """Revisions that go back, answers that come twice, answers that are cut: a part of the time each."""
        part = fault.length / len(LIES)
        for number, lie in enumerate(LIES):
            self._act(fault.start + number * part, "list", "mode", size=float(lie))
        self._act(fault.start + fault.length, "list", "mode", size=0.0)

    def _partition(self, fault: Fault) -> None:
        """What one relay sends does not reach some boxes."""
        relay = self._relays(0.01)[0]
        for box in self._some(fault):
            for start, end in self._spans(fault):
                self._act(start, "box", "cut", box, 1.0, relay)
                self._act(end, "box", "cut", box, 0.0, relay)

    def _kill(self, fault: Fault) -> None:
        for relay in self._relays(fault.share):
            self._act(fault.start, "relay", "kill", relay)
            self._act(fault.start + fault.length, "relay", "start", relay)

    def _pause(self, fault: Fault) -> None:
        """Processes stand still, as under SIGSTOP, and go on."""
        for relay in self._relays(fault.share):
            self._act(fault.start, "relay", "pause", relay)
            self._act(fault.start + fault.length, "relay", "resume", relay)

    def _clock_step(self, fault: Fault) -> None:
        """The wall clocks of relays' machines are stepped by `size`, forward or back, each `period`."""
        for relay in self._relays(fault.share):
            for at in self._series(fault, STEPS_APART):
                size = self._size(fault) * self.chance.choice((-1, 1))
                self._act(at, "relay", "step", relay, float(ns(size)))

    def _signals(self, fault: Fault) -> None:
        """SIGHUP in a series, and SIGTERM again for those that were told to end."""
        for relay in self._relays(fault.share):
            for at in self._series(fault, SIGNALS_APART):
                self._act(at, "relay", "signal", relay)

    def _system_calls(self, fault: Fault) -> None:
        """A part `size` of the relays' system calls on sockets fails, from their start on."""
        for relay in self._relays(fault.share):
            self._act(0.0, "relay", "system_calls", relay, self._size(fault))

    def _series(self, fault: Fault, apart: float) -> list[float]:
        """Times within a fault, about a period apart."""
        period = fault.period or apart
        times = [fault.start]
        while times[-1] + period < fault.start + fault.length:
            times.append(times[-1] + period * self.chance.uniform(0.5, 1.5))
        return times

    def _die_again(self, fault: Fault) -> None:
        """Killed, started at once, killed again in the middle of what it does then, `size` times."""
        for relay in self._relays(fault.share):
            for turn in range(max(1, round(self._size(fault)))):
                at = fault.start + turn * fault.length
                self._act(at, "relay", "kill", relay)
                self._act(at + AT_ONCE, "relay", "start", relay)

    def _double(self, fault: Fault) -> None:
        """Relays end, and start again under the name of another one that lives, until `length` is over."""
        for relay in self._relays(fault.share):
            other = (relay + 1) % self.relays
            self._act(fault.start, "relay", "kill", relay)
            self._act(fault.start + AT_ONCE, "relay", "start", relay, relay=other)
            self._act(fault.start + fault.length, "relay", "kill", relay)
            self._act(fault.start + fault.length + AT_ONCE, "relay", "start", relay)

    def _zone_lost(self, fault: Fault) -> None:
        """All of one zone, relays and boxes, end together, and come back together."""
        zone = self.chance.choice(self.zones.names)
        lost = [box for box in self.first if self.table[box].zone == zone and box not in self.restarted]
        self.restarted.update(lost)
        for box in lost:
            self._act(fault.start, "box", "stop", box)
            told = self._between(DEATH_TOLD)
            if told < fault.length:
                self._act(fault.start + told, "list", "removed", box)
            self._starts(box, fault.start + fault.length)
        for relay in range(self.relays):
            if self.zones.zone_of_relay(relay) == zone:
                self._act(fault.start, "relay", "kill", relay)
                self._act(fault.start + fault.length, "relay", "start", relay)

    # -- ways between relays -----------------------------------------------------------------------

    def _ways(
        self, fault: Fault, what: str, size: float, inside: list[int] | None, out: bool, back: bool
    ) -> None:
        """On the ways from those inside to the rest, from the rest to them, or on all."""
        for one in range(self.relays):
            for other in range(self.relays):
                leaves = inside is None or (one in inside and other not in inside and out)
                comes = inside is not None and one not in inside and other in inside and back
                if one == other or not (leaves or comes):
                    continue
                for start, end in self._spans(fault):
                    self._act(start, "lane", what, one, size, other)
                    self._act(end, "lane", what, one, 0.0, other)

    def _peers_cut(self, fault: Fault) -> None:
        self._ways(fault, "cut", 1.0, self._relays(fault.share), True, True)

    def _peers_one_way(self, fault: Fault) -> None:
        self._ways(fault, "cut", 1.0, self._relays(fault.share), True, False)

    def _peers_deaf(self, fault: Fault) -> None:
        self._ways(fault, "cut", 1.0, self._relays(fault.share), False, True)

    def _peers_loss(self, fault: Fault) -> None:
        self._ways(fault, "loss", self._size(fault), None, True, True)

    def _peers_delay(self, fault: Fault) -> None:
        self._ways(fault, "delay", self._size(fault), None, True, True)

    def _peers_rate(self, fault: Fault) -> None:
        """Bytes a second on each way."""
        self._ways(fault, "rate", self._size(fault), None, True, True)

    def _peers_twice(self, fault: Fault) -> None:
        self._ways(fault, "twice", self._size(fault), None, True, True)

    # -- ways to boxes and to discovery ------------------------------------------------------------

    def _straight(
        self, fault: Fault, what: str, size: float, directions: tuple[str, ...] = ("out", "back")
    ) -> None:
        boxes = [-1]
        if fault.to == "boxes":
            count = max(1, round(fault.reach * len(self.first)))
            boxes = sorted(self.chance.sample(self.first, min(len(self.first), count)))
        for relay in self._relays(fault.share):
            for box in boxes:
                for start, end in self._spans(fault):
                    for direction in directions:
                        self._act(start, "way", f"{direction}.{what}", box, size, relay)
                        self._act(end, "way", f"{direction}.{what}", box, 0.0, relay)

    def _way_cut(self, fault: Fault) -> None:
        self._straight(fault, "cut", 1.0)

    def _way_one_way(self, fault: Fault) -> None:
        """What the relay sends arrives, and no answer comes back."""
        self._straight(fault, "cut", 1.0, ("back",))

    def _way_delay(self, fault: Fault) -> None:
        """Late by that much, and by up to half of it more from one piece to the next."""
        self._straight(fault, "delay", float(ns(self._size(fault))))

    def _way_loss(self, fault: Fault) -> None:
        self._straight(fault, "loss", self._size(fault))

    def _way_rate(self, fault: Fault) -> None:
        """Bytes a second, for each connection."""
        self._straight(fault, "rate", self._size(fault))

    def _way_stall(self, fault: Fault) -> None:
        """Half a line comes, and then nothing."""
        self._straight(fault, "stall", 1.0, ("back",))

    def _way_unread(self, fault: Fault) -> None:
        self._straight(fault, "unread", 1.0, ("out",))

    def _roll(self, fault: Fault) -> None:
        """All relays are stopped as planned and started again, one after the other."""
        for relay in range(self.relays):
            self._act(fault.start + fault.length * relay / self.relays, "relay", "stop", relay)
