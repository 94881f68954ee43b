"""Judges a run by the stand-ins' books alone. No I/O, no clock, no word of a relay's.

The rules are the platform's, with its 50 ms for the way. Where a relay was killed the tunnels that it held
are their clients' to open again; where a stand-in ran late the run says so and counts for nothing.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from itertools import pairwise
from typing import Any

import msgspec

from cedarledge.standins.event_log import (
    BoxAttempt,
    BoxLoad,
    ClientRequest,
    ColdOverload,
    ListDelivery,
    MisbehavingClient,
    Record,
    RelayLifetime,
    ServedSecond,
    TimerLateness,
    UnexpectedLine,
)
from cedarledge.standins.membership_audit import pause_spans, peers_figures
from cedarledge.standins.plan import LIST, Plan
from cedarledge.terms import MS, SECOND

# By how much the limits on sockets are longer, for the way and the system.
GRACE = 50 * MS
# A bad client is owed its error or its end within this.
TURNED_OUT = 3 * SECOND
# How long after its client has left a setup may still go out for it.
LEFT_FOR = 100 * MS
# Past this a stand-in's own lateness would be taken for the relay's.
TOO_LATE = 150 * MS
# What a killed relay's clients see may come this much before and after the moment noted.
KILL_SLACK = 300 * MS
# What was held up on a way comes within this once it is whole again.
WAY_SLACK = SECOND
# How long a relay whose way to discovery was broken may take to notice, and to ask anew.
ASKS_AGAIN = 25 * SECOND
# A process that turns away all that it gets, this many or more, for so long with no setup in between is idle.
IDLE_CALLS, IDLE_FOR = 15, 4 * SECOND
# Words of a call that had no answer of a relay's.
NO_ANSWER = frozenset(("CLOSED", "GAVE_UP", "UNREACHED", ""))
RULES = (
    "unanswered",
    "answered_twice",
    "answered_late",
    "overlapping_setups",
    "late_sends_after_drain",
    "cold_pushed_over",
    "cut_without_move",
    "lines_lost",
    "sent_on_after_leaving",
    "not_what_a_box_made",
    "ran_twice",
    "declined_after_run",
    "bad_clients_served",
    "bad_clients_held",
    "crashed",
)


class Finding(msgspec.Struct, frozen=True):
    """One broken rule: which, when, and what was seen."""

    rule: str
    at: int
    what: str


class BySecond(msgspec.Struct, frozen=True):
    """The answers that clients got in one second, the setups that reached boxes, and how long placing
    took."""

    second: int
    opened: int
    declined: int
    closed_with_error: int
    setups: int
    p50_ms: float
    p99_ms: float


class Verdict(msgspec.Struct):
    """What came of a run."""

    scenario: str
    seed: int
    relays: int
    boxes: int
    connections: int
    seconds: float
    answers: dict[str, int]
    no_answer: dict[str, int]
    findings: list[Finding]
    counts: dict[str, int]  # of findings, by rule
    well_served: dict[str, float]
    well_served_all: float
    credit_served: float  # of the credit that the seconds wanted are worth
    setups_per_tunnel: float
    placement_ms: dict[str, float]
    moves: int
    idle_relays: int  # that turned away all that they got for some seconds
    relay_cpu_s: float
    relay_peak_mb: float
    peers: dict[str, Any]  # empty where relays did not know each other
    standins_late: bool
    standins_late_ms: float
    seconds_by_profile: dict[str, list[tuple[int, float, float]]]
    load_by_box: dict[str, list[tuple[int, float, int]]]
    by_second: list[BySecond]

    @property
    def passed(self) -> bool:
        return not self.findings

    def to_flat_dict(self) -> dict[str, Any]:
        """As `--json` gives it: the rules' counts beside the figures."""
        told = msgspec.to_builtins(self)
        counts = told.pop("counts")
        return (
            {
                name: told[name]
                for name in (
                    "scenario",
                    "seed",
                    "relays",
                    "boxes",
                    "connections",
                    "seconds",
                    "answers",
                    "no_answer",
                )
            }
            | counts
            | {name: value for name, value in told.items() if name not in counts}
        )


def quantile(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


class Judge:
    """Reads the records of one run and says what they prove."""

    def __init__(self, plan: Plan, records: Iterable[Record]) -> None:
        self.plan = plan
        self.kinds: dict[type, list[Any]] = defaultdict(list)
        for record in records:
            self.kinds[type(record)].append(record)
        self.findings: list[Finding] = []
        self.down: dict[int, list[int]] = defaultdict(list)
        for life in self.kinds[RelayLifetime]:
            # A planned stop costs nobody anything, so it excuses nothing.
            if life.how in ("killed", "crashed"):
                self.down[life.relay].append(life.ended)
        self.cuts: dict[tuple[int, int], list[int]] = defaultdict(list)  # when a relay was cut off from a box
        self.partitions: dict[tuple[int, int], list[tuple[int, int]]] = defaultdict(list)  # from, to
        for act in plan.events:
            if act.target == "box" and act.action == "cut" and act.size:
                self.cuts[act.relay, act.index].append(act.at)
            elif act.target == "box" and act.action == "cut" and self.cuts[act.relay, act.index]:
                self.partitions[act.relay, act.index].append((self.cuts[act.relay, act.index][-1], act.at))
        self.pause_spans = pause_spans(plan)
        # When a relay's way to a box, or to discovery (-1), was not whole.
        self.ways: dict[tuple[int, int], list[tuple[int, int]]] = defaultdict(list)
        since: dict[tuple[int, int, str], int] = {}
        for act in plan.events:
            if act.target == "way" and act.size:
                since[act.relay, act.index, act.action] = act.at
            elif act.target == "way":
                began = since.pop((act.relay, act.index, act.action), 0)
                self.ways[act.relay, act.index].append((began, act.at))
        self.setups: dict[str, list[BoxAttempt]] = defaultdict(list)
        for setup in sorted(self.kinds[BoxAttempt], key=lambda setup: (setup.whole, setup.box)):
            self.setups[setup.tun].append(setup)

    def verdict(self) -> Verdict:
        plan, calls = self.plan, self.kinds[ClientRequest]
        self._answers(calls)
        self._setups(calls)
        self._drains()
        self._others()
        answers = {"opened": 0, "declined": 0, "closed_with_error": 0}
        no_answer = {"gave_up": 0, "unreached": 0, "closed": 0, "at_the_end": 0}
        names = {"UP": "opened", "BUSY": "declined"}
        missing = {"GAVE_UP": "gave_up", "UNREACHED": "unreached", "": "at_the_end"}
        for call in calls:
            if call.word in NO_ANSWER:
                no_answer[missing.get(call.word, "closed")] += 1
            else:
                answers[names.get(call.word, "closed_with_error")] += 1
        opened = [call for call in calls if call.word == "UP"]
        placed = sorted((call.answered - call.began) / MS for call in opened)
        late = max(self.kinds[TimerLateness], key=lambda entry: entry.worst, default=TimerLateness("", 0, 0))
        lives = self.kinds[RelayLifetime]
        seconds, shares, whole, credit = self._service()
        counts = dict.fromkeys(RULES, 0)
        for finding in self.findings:
            counts[finding.rule] += 1
        served = [tun for tun in self.setups if self.setups[tun]]
        return Verdict(
            plan.scenario,
            plan.seed,
            plan.relays,
            len(plan.boxes),
            len(calls),
            plan.seconds,
            answers,
            no_answer,
            sorted(self.findings, key=lambda finding: finding.at)[:200],
            counts,
            shares,
            whole,
            credit,
            sum(len(self.setups[tun]) for tun in served) / max(1, len(served)),
            {"p50": quantile(placed, 0.5), "p99": quantile(placed, 0.99), "p999": quantile(placed, 0.999)},
            sum(call.how == "MOVE" for call in calls),
            sum(self._idle_since(relay, calls) >= 0 for relay in range(plan.relays)),
            sum(life.cpu_ns for life in lives) / SECOND,
            max((life.peak_kb for life in lives), default=0) / 1024,
            peers_figures(plan, self.kinds) if plan.peers_enabled else {},
            late.worst > TOO_LATE,
            late.worst / MS,
            seconds,
            self._loads(),
            self._by_second(calls),
        )

    def _found(self, rule: str, at: int, what: str) -> None:
        self.findings.append(Finding(rule, at, what))

    def _was_down(self, relay: int, begin: int, end: int) -> bool:
        """Whether the relay's process ended in that span, which costs what it held."""
        return any(begin - KILL_SLACK <= at <= end + KILL_SLACK for at in self.down[relay])

    def _stood_still(self, relay: int, begin: int, end: int) -> bool:
        """Whether the schedule had stopped its process in that span: what waited meanwhile is not its
        fault."""
        return any(
            since <= end + KILL_SLACK and begin - KILL_SLACK <= until
            for since, until in self.pause_spans[relay]
        )

    def _way_broken(self, relay: int, box: int, begin: int, end: int) -> bool:
        """Whether the schedule held up or slowed what went between them in that span."""
        return any(since <= end and begin - WAY_SLACK <= until for since, until in self.ways[relay, box])

    # -- no tunnel is lost -------------------------------------------------------------------------

    def _answers(self, calls: list[ClientRequest]) -> None:
        end = int(self.plan.seconds * SECOND)
        for call in calls:
            due = call.began + call.wait + GRACE
            if call.word in NO_ANSWER:
                in_grace = call.word == "GAVE_UP" and 0 <= call.answered <= due
                # One that was never reached has no relay to blame; one that the run's end met was not waited
                # for.
                if (
                    call.word in ("CLOSED", "GAVE_UP")
                    and not in_grace
                    and due < end
                    and not self._was_down(call.relay, call.began, max(due, call.answered))
                    and not self._stood_still(call.relay, call.began, max(due, call.answered))
                ):
                    rule = "unanswered" if call.answered < 0 or call.word == "CLOSED" else "answered_late"
                    self._found(rule, call.began, f"{call.tun} at relay {call.relay}: {call.word}")
            elif call.answered > due and not self._stood_still(call.relay, call.began, call.answered):
                self._found("answered_late", call.answered, f"{call.tun}: {call.word}")
            if call.more:
                self._found(
                    "answered_twice",
                    call.answered,
                    f"{call.tun} at relay {call.relay}: {call.more} more after {call.word}",
                )
            if call.gaps:
                self._found("lines_lost", call.ended, f"{call.tun}: {call.gaps} gaps, to its client")
            if call.word == "UP":
                self._open_one(call)
            elif call.word in ("", "GAVE_UP") and call.how in ("left", "gave up"):
                self._left(call)

    def _left(self, call: ClientRequest) -> None:
        """It has left while it waited: nobody is there for what goes out now."""
        for setup in self.setups[call.tun]:
            late = setup.began - call.ended - self._far(setup.relay, setup.box)
            if (
                late > LEFT_FOR + GRACE
                and not self._stood_still(setup.relay, setup.began, setup.began)
                and not self._way_broken(setup.relay, setup.box, setup.began, setup.began)
            ):
                self._found("sent_on_after_leaving", setup.began, f"{call.tun}: {late // MS} ms after")

    def _open_one(self, call: ClientRequest) -> None:
        mine = [
            setup
            for setup in self.setups[call.tun]
            if setup.receipt and setup.receipt == call.receipt and setup.relay == call.relay
        ]
        if not mine:
            self._found("not_what_a_box_made", call.answered, f"{call.tun}: UP {call.receipt}")
            return
        setup = mine[0]
        cut_off = any(setup.began <= at <= setup.ended for at in self.cuts[setup.relay, setup.box]) or (
            self._stood_still(setup.relay, setup.began, setup.ended)
            or self._way_broken(setup.relay, setup.box, setup.began, setup.ended)
        )
        if call.held and not cut_off and not self._stood_still(call.relay, call.began, call.ended):
            self._found("lines_lost", call.ended, f"{call.tun}: {call.held} held, to its client")
        if setup.gaps or (setup.held and not cut_off):
            self._found(
                "lines_lost", setup.ended, f"{call.tun}: {setup.gaps} gaps, {setup.held} held, to its box"
            )
        if call.how not in ("cut", "reset"):
            return
        # The box ended it first, or the relay died: then the client was cut off by neither's fault.
        by_box = setup.by_box and setup.ended <= call.ended + KILL_SLACK
        if not by_box and not self._was_down(call.relay, call.ended, call.ended):
            self._found("cut_without_move", call.ended, f"{call.tun} at relay {call.relay}, box {setup.box}")

    # -- no effect twice ---------------------------------------------------------------------------

    def _setups(self, calls: list[ClientRequest]) -> None:
        profiles = self.plan.profiles
        by_tun = {call.tun: call for call in calls}
        for tun, setups in self.setups.items():
            call = by_tun.get(tun)
            for one, two in pairwise(setups):
                over = min(
                    at for at in (one.answered if one.word != "UP" else -1, one.ended, 1 << 62) if at >= 0
                )
                # At the relay's end of a way that is held up the first is over; its box can't know.
                broken = self._way_broken(one.relay, one.box, one.began, two.whole)
                broken = broken or self._was_read_late(one, two)
                if two.whole < over - GRACE - 2 * self._far(one.relay, one.box) and not broken:
                    self._found("overlapping_setups", two.whole, f"{tun}: boxes {one.box} and {two.box}")
            if call is None:
                continue
            row = profiles[call.profile]
            for place, later in enumerate(setups):
                ran = [setup for setup in setups[:place] if setup.word != "BUSY"]
                if ran and not self._may_follow(row, ran[0], later):
                    self._found(
                        "ran_twice", later.whole, f"{tun} ({row.effect}): boxes {ran[0].box}, {later.box}"
                    )
            ran = [setup for setup in setups if setup.word != "BUSY" and setup.whole < call.answered]
            harmless = row.effect == "pure" or (row.effect == "token" and row.group == "all")
            if call.word == "BUSY" and ran and not harmless:
                self._found("declined_after_run", call.answered, f"{tun} ({row.effect}): box {ran[0].box}")

    def _was_read_late(self, one: BoxAttempt, two: BoxAttempt) -> bool:
        """Whether the second may have been over before the first was sent: its way held it up, and its end
        came no later than that way, or a partition, may have held up an end from before the first."""
        if two.ended < 0:
            return False
        if any(
            since <= one.began <= until and until <= two.whole and two.ended <= until + GRACE
            for since, until in self.partitions[two.relay, two.box]
        ):
            return True
        return (
            self._way_broken(two.relay, two.box, one.began, two.whole) and two.ended <= one.began + WAY_SLACK
        )

    def _may_follow(self, row: Any, first: BoxAttempt, later: BoxAttempt) -> bool:
        if row.effect == "pure":
            return True
        if row.effect != "token" or later.whole > first.whole + row.window + GRACE:
            return False
        one, two = self.plan.boxes[first.box], self.plan.boxes[later.box]
        return {"all": True, "zone": one.zone == two.zone, "cell": one.cell == two.cell}[row.group]

    # -- drains are kept ---------------------------------------------------------------------------

    def _drains(self) -> None:
        told: dict[tuple[int, int], list[tuple[int, str, int]]] = defaultdict(list)
        for entry in sorted(self.kinds[ListDelivery], key=lambda entry: entry.at):
            heard = self._heard(entry.relay, entry.at) + self.plan.drain_grace + GRACE
            heard += self._far(entry.relay, entry.box)
            told[entry.relay, entry.box].append((entry.at, entry.phase, heard))
        for setups in self.setups.values():
            for setup in setups:
                before = [entry for entry in told[setup.relay, setup.box] if entry[2] < setup.began]
                after = [
                    entry for entry in told[setup.relay, setup.box] if entry[2] >= setup.began >= entry[0]
                ]
                # Told since that it is up again is told.
                if (
                    before
                    and before[-1][1] != "up"
                    and not any(phase == "up" for _, phase, _ in after)
                    and not self._was_down(setup.relay, before[-1][0], setup.began)
                    # The box may read only now what it had written before.
                    and not self._stood_still(setup.relay, setup.began, setup.began)
                    and not self._way_broken(setup.relay, setup.box, setup.began, setup.began)
                ):
                    self._found(
                        "late_sends_after_drain",
                        setup.began,
                        f"{setup.tun} from relay {setup.relay} to box {setup.box}, "
                        f"{(setup.began - before[-1][0]) // MS} ms after {before[-1][1]}",
                    )

    def _far(self, relay: int, box: int) -> int:
        zones = self.plan.zones
        return zones.one_way_delay(zones.zone_of_relay(relay), self.plan.boxes[box].zone)

    def _heard(self, relay: int, at: int) -> int:
        """When a relay has heard what was written to it then; on a broken way, once that is whole and it
        has asked again."""
        ends = [until for since, until in self.ways[relay, LIST] if since <= at <= until + WAY_SLACK]
        return max(ends, default=at - ASKS_AGAIN) + ASKS_AGAIN

    # -- the rest ----------------------------------------------------------------------------------

    def _others(self) -> None:
        for fell in self.kinds[ColdOverload]:
            self._found("cold_pushed_over", fell.at, f"box {fell.box} at {fell.asked:.1f} of its strength")
        for alien in self.kinds[UnexpectedLine]:
            self._found("bad_clients_served", alien.at, f"box {alien.box} was sent {alien.line!r}")
        for rude in self.kinds[MisbehavingClient]:
            ends = rude.at + TURNED_OUT + GRACE
            if not 0 <= rude.took <= TURNED_OUT + GRACE and ends < self.plan.seconds * SECOND:
                self._found(
                    "bad_clients_held", rude.at, f"{rude.kind} at relay {rude.relay}: {rude.took // MS} ms"
                )
            if rude.word.startswith("UP"):
                self._found("bad_clients_served", rude.at, f"{rude.kind} at relay {rude.relay}: {rude.word}")
        for life in self.kinds[RelayLifetime]:
            if life.how == "crashed":
                self._found("crashed", life.ended, f"relay {life.relay}: exit code {life.code}")

    def _idle_since(self, relay: int, calls: list[ClientRequest]) -> int:
        """When the relay began to turn away all that it gets for long enough; below 0: never."""
        attempts = (setup for setups in self.setups.values() for setup in setups if setup.relay == relay)
        events = [(attempt.whole, False) for attempt in attempts]
        events += [(call.answered, call.word == "BUSY") for call in calls if call.relay == relay]
        rejected: list[int] = []
        for at, turned_away in sorted(events):
            rejected = [*rejected, at] if turned_away else []
            if len(rejected) >= IDLE_CALLS and at - rejected[0] >= IDLE_FOR:
                return rejected[0]
        return -1

    # -- figures -----------------------------------------------------------------------------------

    def _service(self) -> tuple[dict[str, list[tuple[int, float, float]]], dict[str, float], float, float]:
        sums: dict[tuple[int, int], list[float]] = defaultdict(lambda: [0.0, 0.0])
        for entry in self.kinds[ServedSecond]:
            place = sums[entry.profile, entry.second]
            place[0] += entry.wanted
            place[1] += entry.served
        seconds: dict[str, list[tuple[int, float, float]]] = {}
        shares: dict[str, float] = {}
        totals = [0.0, 0.0, 0.0, 0.0]
        for index, row in enumerate(self.plan.profiles):
            line = sorted((second, *both) for (profile, second), both in sums.items() if profile == index)
            seconds[row.name] = line
            judged = [entry for entry in line if entry[0] >= self.plan.measured_from]
            wanted, served = (sum(entry[place] for entry in judged) for place in (1, 2))
            shares[row.name] = served / wanted if wanted else 0.0
            for place, amount in enumerate((wanted, served, wanted * row.credit, served * row.credit)):
                totals[place] += amount
        return (
            seconds,
            shares,
            totals[1] / totals[0] if totals[0] else 0.0,
            totals[3] / totals[2] if totals[2] else 0.0,
        )

    def _by_second(self, calls: list[ClientRequest]) -> list[BySecond]:
        words: dict[int, list[str]] = defaultdict(list)
        took: dict[int, list[float]] = defaultdict(list)
        reached: dict[int, int] = defaultdict(int)
        for call in calls:
            if call.word not in NO_ANSWER:
                words[call.answered // SECOND].append(call.word)
                if call.word == "UP":
                    took[call.answered // SECOND].append((call.answered - call.began) / MS)
        for setups in self.setups.values():
            for setup in setups:
                reached[setup.whole // SECOND] += 1
        lines = []
        for second in sorted(words.keys() | reached.keys()):
            said, placed = words[second], sorted(took[second])
            up, busy = said.count("UP"), said.count("BUSY")
            lines.append(
                BySecond(
                    second,
                    up,
                    busy,
                    len(said) - up - busy,
                    reached[second],
                    quantile(placed, 0.5),
                    quantile(placed, 0.99),
                )
            )
        return lines

    def _loads(self) -> dict[str, list[tuple[int, float, int]]]:
        loads: dict[str, list[tuple[int, float, int]]] = defaultdict(list)
        for entry in self.kinds[BoxLoad]:
            loads[self.plan.boxes[entry.box].name].append((entry.second, round(entry.asked, 4), entry.held))
        return {name: sorted(loads[name]) for name in sorted(loads)}
