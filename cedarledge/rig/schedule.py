"""Builds the plan of a run from a scenario: sizes, boxes, and the schedule of fault events.

The plan depends on the arguments and the seed alone.
"""

from __future__ import annotations

import math
import random
from typing import Any

import msgspec

from cedarledge.operator.file import OperatorFile
from cedarledge.rig.scenario import RESTARTING_KINDS, BoxKind, Fault, Scenario
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

# Range of the delay, in seconds, after which discovery reports the death and the restart of a box.
DEATH_REPORT_DELAY, START_REPORT_DELAY = (0.9, 3.0), (0.24, 1.7)
# Discovery reports a drain this many seconds before the box itself starts to reject connections.
DRAIN_NOTICE = 0.4
# Part of a rolling drain's length over which the starts of its boxes are spread.
DRAIN_STAGGER = 0.6
# Modes in which the emulated discovery service gives wrong answers: see `_lying_list`.
WRONG_LIST_MODES = (2, 3, 4)
# Rate at which the initial clients connect, per second.
INITIAL_CONNECT_RATE = 300
# Default intervals, in seconds, of wall clock steps and of signals, for faults without a period.
CLOCK_STEP_INTERVAL, SIGNAL_INTERVAL = 1.0, 0.1
# Delay, in seconds, of a restart that follows a kill immediately.
IMMEDIATE_RESTART_DELAY = 0.2


def to_ns(seconds: float) -> int:
    """Converts seconds to whole nanoseconds."""
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
    """Returns the plan of one run.

    The sizes given override those of the scenario. Faults keep their times; those that start after the end of
    a shortened run are left out.
    """
    rng = random.Random(seed)
    relays = relays or scenario.relays
    box_count = boxes or scenario.boxes
    rate = rate or scenario.rate
    duration = seconds or scenario.seconds
    added_count = sum(math.ceil(fault.share * box_count) for fault in scenario.fault if fault.kind == "grow")
    box_plans = _build_boxes(scenario, box_count, added_count, rng)
    initial_clients = int(rate * scenario.life)
    capacity = sum(box.cores * box.speed for box in box_plans if box.at_start)
    mean_weight = sum(row.share * row.weight for row in scenario.profile) / sum(
        row.share for row in scenario.profile
    )
    unit_load = scenario.load * capacity / max(1, initial_clients) / mean_weight
    total_share = sum(row.share for row in scenario.profile)
    profiles = tuple(
        ProfilePlan(
            row.name,
            row.share / total_share,
            row.effect,
            row.group,
            to_ns(row.window),
            to_ns(row.setup_goal),
            to_ns(row.client_timeout),
            to_ns(row.message_goal),
            row.credit,
            unit_load * row.weight,
        )
        for row in scenario.profile
    )
    box = scenario.box
    box_settings = BoxSettings(
        message_time=int(box.message_ms * MS),
        setup_time=int(box.setup_ms * MS),
        round_trip=int(box.round_trip_ms * MS),
        max_backlog=to_ns(box.queue_s),
        report_interval=to_ns(box.refresh_s),
        report_delay=to_ns(box.behind_s),
        cold_from=box.cold_from,
        warmup_duration=to_ns(box.warm_within_s),
        overload_multiple=box.fall_multiple,
        overload_duration=to_ns(box.fall_span_s),
        restart_delay=to_ns(box.fallen_for_s),
        move_after=to_ns(box.move_after_s),
    )
    client_settings = ClientSettings(
        arrival_rate=rate,
        initial_clients=initial_clients,
        ramp_up=to_ns(min(0.8 * scenario.warm_up or 1.0, max(3.0, initial_clients / INITIAL_CONNECT_RATE))),
        mean_lifetime=to_ns(scenario.life),
        message_interval=to_ns(scenario.clients.line_every),
        max_retries=scenario.clients.retries,
        backoff=to_ns(scenario.clients.backoff),
        return_delay=to_ns(scenario.clients.come_back),
        key_count=scenario.clients.keys,
        health_check_interval=to_ns(0.5),
        health_check_timeout=to_ns(1.6),
    )
    zones = ZoneLayout(
        tuple(f"zone-{zone + 1}" for zone in range(box.zones)),
        scenario.zones.regions,
        int(scenario.zones.trip_ms / 2 * MS),
        int(scenario.zones.region_trip_ms / 2 * MS),
        scenario.zones.home,
    )
    has_zone_delay = zones.zone_delay or zones.region_delay
    schedule = Schedule(rng, box_plans, relays, duration, zones)
    for fault in scenario.fault:
        if fault.start < duration:
            schedule.add(fault)
    events = tuple(
        sorted(schedule.events, key=lambda event: (event.at, event.target, event.index, event.action))
    )
    fault_spans = tuple(
        (fault.kind, fault.start, min(duration, fault.start + fault.length))
        for fault in scenario.fault
        if fault.start < duration
    )
    return Plan(
        scenario.name,
        seed,
        duration,
        min(scenario.warm_up, duration / 2),
        relays,
        box_plans,
        profiles,
        box_settings,
        client_settings,
        events,
        fault_spans,
        to_ns(scenario.drain_grace),
        scenario.sockets,
        512,
        relay_settings(scenario, relays),
        zones,
        {} if scenario.operator == OperatorFile() else msgspec.to_builtins(scenario.operator),
        tuple(
            range(relays)
            if has_zone_delay
            else sorted({event.relay for event in events if event.target == "way"})
        ),
    )


def _build_boxes(
    scenario: Scenario, initial_count: int, added_count: int, rng: random.Random
) -> tuple[BoxPlan, ...]:
    kinds = scenario.box.kind
    cell_count = max(1, initial_count // scenario.box.per_cell)
    box_plans = []
    for index in range(initial_count + added_count):
        kind: BoxKind = rng.choices(kinds, [kind.share for kind in kinds])[0]
        speed = kind.speed * (1 + kind.spread * (2 * rng.random() - 1))
        box_plans.append(
            BoxPlan(
                f"s-{rng.getrandbits(32):08x}",
                index % cell_count,
                f"zone-{index % scenario.box.zones + 1}",
                kind.name,
                kind.cores,
                speed,
                kind.cap,
                index < initial_count,
            )
        )
    return tuple(box_plans)


def relay_settings(scenario: Scenario, relays: int) -> dict[str, Any]:
    """Returns the `settings` of a relay's configuration file, with times in us."""
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
    """Converts faults into scheduled events. The method that handles a fault kind is named `_KIND`."""

    def __init__(
        self,
        rng: random.Random,
        box_plans: tuple[BoxPlan, ...],
        relays: int,
        duration: float,
        zones: ZoneLayout,
    ) -> None:
        """Takes the boxes, the number of relays and the run's length in seconds."""
        self.rng = rng
        self.box_plans = box_plans
        self.zones = zones
        self.relays = relays
        self.duration = duration
        self.events: list[ScheduledEvent] = []
        self.initial_boxes = [index for index, box in enumerate(box_plans) if box.at_start]
        self.unused_boxes = [index for index, box in enumerate(box_plans) if not box.at_start]
        # Boxes that a fault stops or drains; other faults that restart boxes choose different ones.
        self.restarted: set[int] = set()

    def add(self, fault: Fault) -> None:
        """Schedules the events of one fault."""
        getattr(self, f"_{fault.kind}")(fault)

    # -- helpers -----------------------------------------------------------------------------------

    def _schedule(
        self, at: float, target: str, action: str, index: int = -1, size: float = 0.0, relay: int = -1
    ) -> None:
        self.events.append(ScheduledEvent(to_ns(at), target, action, index, size, relay))

    def _choose_boxes(self, fault: Fault) -> list[int]:
        """Returns the affected boxes, at least one; a fault that restarts boxes leaves one running."""
        candidates = [box for box in self.initial_boxes if box not in self.restarted]
        max_count = (
            max(1, len(self.initial_boxes) - len(self.restarted) - 1)
            if fault.kind in RESTARTING_KINDS
            else len(candidates)
        )
        chosen = sorted(
            self.rng.sample(
                candidates,
                min(len(candidates), max_count, max(1, round(fault.share * len(self.initial_boxes)))),
            )
        )
        if fault.kind in RESTARTING_KINDS:
            self.restarted.update(chosen)
        return chosen

    def _choose_relays(self, share: float) -> list[int]:
        return sorted(
            self.rng.sample(range(self.relays), max(1, min(self.relays, round(share * self.relays))))
        )

    def _draw_size(self, fault: Fault) -> float:
        low, high = fault.size[0], fault.size[-1]
        return low + (high - low) * self.rng.random()

    def _active_spans(self, fault: Fault) -> list[tuple[float, float]]:
        """Returns when the fault is active, as pairs of start and end in seconds."""
        end = min(self.duration + 1, fault.start + fault.length)
        if not fault.period:
            return [(fault.start, end)]
        starts = [
            fault.start + fault.period * number for number in range(math.ceil(fault.length / fault.period))
        ]
        return [(start, min(end, start + fault.period / 2)) for start in starts if start < end]

    def _set_on_boxes(self, fault: Fault, action: str, on: float | None, off: float) -> None:
        """Sets a property of boxes to `on` (None: a random size per box) and back to `off` afterwards."""
        for box in self._choose_boxes(fault):
            size = self._draw_size(fault) if on is None else on
            for start, end in self._active_spans(fault):
                self._schedule(start, "box", action, box, size)
                self._schedule(end, "box", action, box, off)

    def _draw_delay(self, span: tuple[float, float]) -> float:
        return self.rng.uniform(*span)

    def _start_box(self, box: int, at: float, elsewhere: bool = False) -> None:
        """Starts a box, cold; discovery reports it after a delay. `elsewhere`: under another address."""
        self._schedule(at, "box", "start", box, float(elsewhere))
        self._schedule(
            at + self._draw_delay(START_REPORT_DELAY), "list", "up", box, float(to_ns(at)), int(elsewhere)
        )

    # -- fault kinds -------------------------------------------------------------------------------

    def _slow(self, fault: Fault) -> None:
        self._set_on_boxes(fault, "slow", None, 1.0)

    def _neighbour(self, fault: Fault) -> None:
        self._set_on_boxes(fault, "neighbour", None, 0.0)

    def _hang(self, fault: Fault) -> None:
        self._set_on_boxes(fault, "hung", 1.0, 0.0)

    def _errors(self, fault: Fault) -> None:
        self._set_on_boxes(fault, "failing", 1.0, 0.0)

    def _late_up(self, fault: Fault) -> None:
        """Boxes accept a connection only after the client's deadline, and reset it soon afterwards."""
        self._set_on_boxes(fault, "late_up", 1.0, 0.0)

    def _frozen(self, fault: Fault) -> None:
        """The load reports of boxes are not updated."""
        self._set_on_boxes(fault, "frozen", 1.0, 0.0)

    def _hot_key(self, fault: Fault) -> None:
        """The share `size` of new clients have the same key."""
        for start, end in self._active_spans(fault):
            self._schedule(start, "clients", "hot", size=self._draw_size(fault))
            self._schedule(end, "clients", "hot", size=0.0)

    def _rude(self, fault: Fault) -> None:
        """Clients that violate the protocol connect at the mean rate `size`, per second."""
        self._schedule(fault.start, "clients", "rude", size=self._draw_size(fault))
        self._schedule(fault.start + fault.length, "clients", "rude", size=0.0)

    def _storm(self, fault: Fault) -> None:
        """The share `share` of the clients lose their connections and return at the same time."""
        self._schedule(fault.start, "clients", "storm", size=fault.share)

    def _crash(self, fault: Fault, elsewhere: bool = False) -> None:
        for box in self._choose_boxes(fault):
            at = fault.start + self.rng.random() * 0.5
            self._schedule(at, "box", "stop", box)
            reported_at = at + self._draw_delay(DEATH_REPORT_DELAY)
            if reported_at < at + fault.length:
                self._schedule(reported_at, "list", "removed", box)
            self._start_box(box, at + fault.length, elsewhere)

    def _elsewhere(self, fault: Fault) -> None:
        self._crash(fault, elsewhere=True)

    def _drain(self, fault: Fault) -> None:
        """Boxes are drained, stopped and started again cold, one after the other."""
        boxes = self._choose_boxes(fault)
        interval = fault.length * DRAIN_STAGGER / len(boxes)
        outage = fault.length * (1 - DRAIN_STAGGER)
        for number, box in enumerate(boxes):
            at = fault.start + number * interval
            self._schedule(at, "list", "draining", box)
            self._schedule(at + DRAIN_NOTICE, "box", "drain", box)
            self._schedule(at + outage * 0.8, "box", "stop", box)
            self._schedule(at + outage * 0.8 + 0.1, "list", "removed", box)
            self._start_box(box, at + outage)

    def _grow(self, fault: Fault) -> None:
        count = min(len(self.unused_boxes), math.ceil(fault.share * len(self.initial_boxes)))
        added, self.unused_boxes = self.unused_boxes[:count], self.unused_boxes[count:]
        for box in added:
            self._start_box(box, fault.start + self.rng.random() * 0.3)

    def _late_list(self, fault: Fault) -> None:
        self._schedule(fault.start, "list", "late", size=float(to_ns(self._draw_size(fault))))
        self._schedule(fault.start + fault.length, "list", "late", size=0.0)

    def _no_list(self, fault: Fault) -> None:
        for start, end in self._active_spans(fault):
            self._schedule(start, "list", "mode", size=1.0)
            self._schedule(end, "list", "mode", size=0.0)

    def _lying_list(self, fault: Fault) -> None:
        """Discovery sends older revisions, repeated and truncated answers, a third of the time each."""
        mode_length = fault.length / len(WRONG_LIST_MODES)
        for number, mode in enumerate(WRONG_LIST_MODES):
            self._schedule(fault.start + number * mode_length, "list", "mode", size=float(mode))
        self._schedule(fault.start + fault.length, "list", "mode", size=0.0)

    def _partition(self, fault: Fault) -> None:
        """Data that one relay sends does not reach some boxes."""
        relay = self._choose_relays(0.01)[0]
        for box in self._choose_boxes(fault):
            for start, end in self._active_spans(fault):
                self._schedule(start, "box", "cut", box, 1.0, relay)
                self._schedule(end, "box", "cut", box, 0.0, relay)

    def _kill(self, fault: Fault) -> None:
        for relay in self._choose_relays(fault.share):
            self._schedule(fault.start, "relay", "kill", relay)
            self._schedule(fault.start + fault.length, "relay", "start", relay)

    def _pause(self, fault: Fault) -> None:
        """Relay processes are suspended by SIGSTOP and resumed by SIGCONT."""
        for relay in self._choose_relays(fault.share):
            self._schedule(fault.start, "relay", "pause", relay)
            self._schedule(fault.start + fault.length, "relay", "resume", relay)

    def _clock_step(self, fault: Fault) -> None:
        """The wall clocks of relays are stepped by `size`, forward or back, about once per `period`."""
        for relay in self._choose_relays(fault.share):
            for at in self._event_times(fault, CLOCK_STEP_INTERVAL):
                size = self._draw_size(fault) * self.rng.choice((-1, 1))
                self._schedule(at, "relay", "step", relay, float(to_ns(size)))

    def _signals(self, fault: Fault) -> None:
        """Relays get a series of SIGHUPs, and of SIGTERMs too while they are stopping."""
        for relay in self._choose_relays(fault.share):
            for at in self._event_times(fault, SIGNAL_INTERVAL):
                self._schedule(at, "relay", "signal", relay)

    def _system_calls(self, fault: Fault) -> None:
        """The share `size` of relays' socket system calls fails, from the start of the run."""
        for relay in self._choose_relays(fault.share):
            self._schedule(0.0, "relay", "system_calls", relay, self._draw_size(fault))

    def _event_times(self, fault: Fault, default_period: float) -> list[float]:
        """Returns times during a fault, with random intervals of 0.5 to 1.5 periods."""
        period = fault.period or default_period
        times = [fault.start]
        while times[-1] + period < fault.start + fault.length:
            times.append(times[-1] + period * self.rng.uniform(0.5, 1.5))
        return times

    def _die_again(self, fault: Fault) -> None:
        """Relays are killed, restarted immediately and killed again while they start, `size` times."""
        for relay in self._choose_relays(fault.share):
            for repetition in range(max(1, round(self._draw_size(fault)))):
                at = fault.start + repetition * fault.length
                self._schedule(at, "relay", "kill", relay)
                self._schedule(at + IMMEDIATE_RESTART_DELAY, "relay", "start", relay)

    def _double(self, fault: Fault) -> None:
        """Relays are restarted under the name of another relay that runs; after `length`, under their own."""
        for relay in self._choose_relays(fault.share):
            other = (relay + 1) % self.relays
            self._schedule(fault.start, "relay", "kill", relay)
            self._schedule(fault.start + IMMEDIATE_RESTART_DELAY, "relay", "start", relay, relay=other)
            self._schedule(fault.start + fault.length, "relay", "kill", relay)
            self._schedule(fault.start + fault.length + IMMEDIATE_RESTART_DELAY, "relay", "start", relay)

    def _zone_lost(self, fault: Fault) -> None:
        """All relays and boxes of one zone stop at the same time, and start at the same time."""
        zone = self.rng.choice(self.zones.names)
        stopped = [
            box
            for box in self.initial_boxes
            if self.box_plans[box].zone == zone and box not in self.restarted
        ]
        self.restarted.update(stopped)
        for box in stopped:
            self._schedule(fault.start, "box", "stop", box)
            report_delay = self._draw_delay(DEATH_REPORT_DELAY)
            if report_delay < fault.length:
                self._schedule(fault.start + report_delay, "list", "removed", box)
            self._start_box(box, fault.start + fault.length)
        for relay in range(self.relays):
            if self.zones.zone_of_relay(relay) == zone:
                self._schedule(fault.start, "relay", "kill", relay)
                self._schedule(fault.start + fault.length, "relay", "start", relay)

    # -- links between relays ----------------------------------------------------------------------

    def _set_on_peer_links(
        self, fault: Fault, action: str, size: float, group: list[int] | None, outbound: bool, inbound: bool
    ) -> None:
        """Sets a property of links between relays during the fault.

        `outbound` affects the links from `group` to the other relays, `inbound` those in the other direction.
        Without a group all links are affected.
        """
        for sender in range(self.relays):
            for receiver in range(self.relays):
                leaves = group is None or (sender in group and receiver not in group and outbound)
                enters = group is not None and sender not in group and receiver in group and inbound
                if sender == receiver or not (leaves or enters):
                    continue
                for start, end in self._active_spans(fault):
                    self._schedule(start, "lane", action, sender, size, receiver)
                    self._schedule(end, "lane", action, sender, 0.0, receiver)

    def _peers_cut(self, fault: Fault) -> None:
        self._set_on_peer_links(fault, "cut", 1.0, self._choose_relays(fault.share), True, True)

    def _peers_one_way(self, fault: Fault) -> None:
        self._set_on_peer_links(fault, "cut", 1.0, self._choose_relays(fault.share), True, False)

    def _peers_deaf(self, fault: Fault) -> None:
        self._set_on_peer_links(fault, "cut", 1.0, self._choose_relays(fault.share), False, True)

    def _peers_loss(self, fault: Fault) -> None:
        self._set_on_peer_links(fault, "loss", self._draw_size(fault), None, True, True)

    def _peers_delay(self, fault: Fault) -> None:
        self._set_on_peer_links(fault, "delay", self._draw_size(fault), None, True, True)

    def _peers_rate(self, fault: Fault) -> None:
        """Each link carries at most `size` bytes per second."""
        self._set_on_peer_links(fault, "rate", self._draw_size(fault), None, True, True)

    def _peers_twice(self, fault: Fault) -> None:
        self._set_on_peer_links(fault, "twice", self._draw_size(fault), None, True, True)

    # -- links to boxes and to discovery -----------------------------------------------------------

    def _set_on_proxy_links(
        self, fault: Fault, action: str, size: float, directions: tuple[str, ...] = ("out", "back")
    ) -> None:
        """Sets a property of relays' links to some boxes, or to discovery, during the fault."""
        boxes = [-1]
        if fault.to == "boxes":
            count = max(1, round(fault.reach * len(self.initial_boxes)))
            boxes = sorted(self.rng.sample(self.initial_boxes, min(len(self.initial_boxes), count)))
        for relay in self._choose_relays(fault.share):
            for box in boxes:
                for start, end in self._active_spans(fault):
                    for direction in directions:
                        self._schedule(start, "way", f"{direction}.{action}", box, size, relay)
                        self._schedule(end, "way", f"{direction}.{action}", box, 0.0, relay)

    def _way_cut(self, fault: Fault) -> None:
        self._set_on_proxy_links(fault, "cut", 1.0)

    def _way_one_way(self, fault: Fault) -> None:
        """Data from the relay arrives, but no answers come back."""
        self._set_on_proxy_links(fault, "cut", 1.0, ("back",))

    def _way_delay(self, fault: Fault) -> None:
        """Data is delayed by `size`, and each piece of it by up to half as much again."""
        self._set_on_proxy_links(fault, "delay", float(to_ns(self._draw_size(fault))))

    def _way_loss(self, fault: Fault) -> None:
        self._set_on_proxy_links(fault, "loss", self._draw_size(fault))

    def _way_rate(self, fault: Fault) -> None:
        """Each connection carries at most `size` bytes per second."""
        self._set_on_proxy_links(fault, "rate", self._draw_size(fault))

    def _way_stall(self, fault: Fault) -> None:
        """Half a line from the other end arrives, and then nothing."""
        self._set_on_proxy_links(fault, "stall", 1.0, ("back",))

    def _way_unread(self, fault: Fault) -> None:
        """Data from the relay is not read, so that its send buffers fill up."""
        self._set_on_proxy_links(fault, "unread", 1.0, ("out",))

    def _roll(self, fault: Fault) -> None:
        """All relays are stopped gracefully and started again, one after the other."""
        for relay in range(self.relays):
            self._schedule(fault.start + fault.length * relay / self.relays, "relay", "stop", relay)
