"""Judges a run by the emulators' event logs only, without I/O, clock or anything that a relay reports.

The rules are the platform's, with 50 ms more for the time on the network. When a relay is killed, its clients
have to reconnect by themselves, which is no violation. A run in which an emulator ran late is marked as
invalid.
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
from cedarledge.standins.membership_audit import membership_figures, pause_spans
from cedarledge.standins.plan import DISCOVERY, Plan
from cedarledge.terms import MS, SECOND

# Added to every limit, for the network and the operating system.
GRACE = 50 * MS
# A misbehaving client must get its error or be disconnected within this time.
MISBEHAVING_LIMIT = 3 * SECOND
# An attempt may still be sent this long after its client has left.
AFTER_LEAVE = 100 * MS
# With a worse lateness of its own timers an emulator's delay would be taken for the relay's.
MAX_LATENESS = 150 * MS
# Effects of a relay's death may be seen this long before and after the recorded time.
KILL_SLACK = 300 * MS
# Bytes that a link held back arrive within this time after it is restored.
LINK_SLACK = SECOND
# After its link to discovery was disturbed, a relay may take this long to notice and to ask again.
DISCOVERY_RECOVERY = 25 * SECOND
# A relay is idle if it rejects all of at least this many requests, for this long, without an attempt in
# between.
IDLE_REQUESTS, IDLE_FOR = 15, 4 * SECOND
# What a request's `answer` says if the relay did not answer.
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
    """One violation: the rule, the time, and what was observed."""

    rule: str
    at: int
    what: str


class SecondSummary(msgspec.Struct, frozen=True):
    """The answers to clients in one second, the attempts that reached boxes, and the time that placing
    took."""

    second: int
    opened: int
    declined: int
    closed_with_error: int
    setups: int
    p50_ms: float
    p99_ms: float


class Verdict(msgspec.Struct):
    """The result of a run; its fields are the keys of the verdict's JSON."""

    scenario: str
    seed: int
    relays: int
    boxes: int
    connections: int
    seconds: float
    answers: dict[str, int]
    no_answer: dict[str, int]
    findings: list[Finding]  # the first 200
    counts: dict[str, int]  # of violations, by rule
    well_served: dict[str, float]  # served share of the client seconds, by profile
    well_served_all: float
    credit_served: float  # served share of the value of all client seconds
    setups_per_tunnel: float
    placement_ms: dict[str, float]
    moves: int
    idle_relays: int  # rejected all requests for some seconds
    relay_cpu_s: float
    relay_peak_mb: float
    peers: dict[str, Any]  # figures of membership; empty if the relays have none
    standins_late: bool
    standins_late_ms: float
    seconds_by_profile: dict[str, list[tuple[int, float, float]]]
    load_by_box: dict[str, list[tuple[int, float, int]]]
    by_second: list[SecondSummary]

    @property
    def passed(self) -> bool:
        """Whether no rule was violated."""
        return not self.findings

    def to_flat_dict(self) -> dict[str, Any]:
        """Returns what `--json` prints: the counts of the rules beside the figures."""
        figures = msgspec.to_builtins(self)
        counts = figures.pop("counts")
        return (
            {
                name: figures[name]
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
            | {name: value for name, value in figures.items() if name not in counts}
        )


def quantile(ordered: list[float], part: float) -> float:
    """Returns a quantile of sorted values; 0.0 if there are none."""
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


class Judge:
    """Checks the records of one run against the rules and computes its figures."""

    def __init__(self, plan: Plan, records: Iterable[Record]) -> None:
        """Takes the records of all event logs in any order."""
        self.plan = plan
        self.records: dict[type, list[Any]] = defaultdict(list)
        for record in records:
            self.records[type(record)].append(record)
        self.findings: list[Finding] = []
        self.deaths: dict[int, list[int]] = defaultdict(list)
        for life in self.records[RelayLifetime]:
            # A planned stop must not affect any client, so it excuses nothing.
            if life.end_reason in ("killed", "crashed"):
                self.deaths[life.relay].append(life.ended_at)
        # By relay and box: when a partition began, and the spans of those that ended.
        self.cuts: dict[tuple[int, int], list[int]] = defaultdict(list)
        self.partitions: dict[tuple[int, int], list[tuple[int, int]]] = defaultdict(list)
        for event in plan.events:
            if event.target == "box" and event.action == "cut" and event.size:
                self.cuts[event.relay, event.index].append(event.at)
            elif event.target == "box" and event.action == "cut" and self.cuts[event.relay, event.index]:
                self.partitions[event.relay, event.index].append(
                    (self.cuts[event.relay, event.index][-1], event.at)
                )
        self.pause_spans = pause_spans(plan)
        # By relay and box, or discovery (-1): when a fault of the link between them was on.
        self.link_faults: dict[tuple[int, int], list[tuple[int, int]]] = defaultdict(list)
        since: dict[tuple[int, int, str], int] = {}
        for event in plan.events:
            if event.target == "way" and event.size:
                since[event.relay, event.index, event.action] = event.at
            elif event.target == "way":
                began = since.pop((event.relay, event.index, event.action), 0)
                self.link_faults[event.relay, event.index].append((began, event.at))
        self.attempts: dict[str, list[BoxAttempt]] = defaultdict(list)
        for attempt in sorted(
            self.records[BoxAttempt], key=lambda attempt: (attempt.received_at, attempt.box)
        ):
            self.attempts[attempt.connection_id].append(attempt)

    def verdict(self) -> Verdict:
        """Checks all rules and returns the result; called once."""
        plan, requests = self.plan, self.records[ClientRequest]
        self._check_answers(requests)
        self._check_attempts(requests)
        self._check_drains()
        self._check_others()
        answers = {"opened": 0, "declined": 0, "closed_with_error": 0}
        no_answer = {"gave_up": 0, "unreached": 0, "closed": 0, "at_the_end": 0}
        names = {"UP": "opened", "BUSY": "declined"}
        missing = {"GAVE_UP": "gave_up", "UNREACHED": "unreached", "": "at_the_end"}
        for request in requests:
            if request.answer in NO_ANSWER:
                no_answer[missing.get(request.answer, "closed")] += 1
            else:
                answers[names.get(request.answer, "closed_with_error")] += 1
        opened = [request for request in requests if request.answer == "UP"]
        placement = sorted((request.answered_at - request.started_at) / MS for request in opened)
        late = max(
            self.records[TimerLateness], key=lambda entry: entry.worst, default=TimerLateness("", 0, 0)
        )
        lifetimes = self.records[RelayLifetime]
        seconds, shares, total_share, credit_share = self._service()
        counts = dict.fromkeys(RULES, 0)
        for finding in self.findings:
            counts[finding.rule] += 1
        attempted = [connection_id for connection_id in self.attempts if self.attempts[connection_id]]
        return Verdict(
            plan.scenario,
            plan.seed,
            plan.relays,
            len(plan.boxes),
            len(requests),
            plan.seconds,
            answers,
            no_answer,
            sorted(self.findings, key=lambda finding: finding.at)[:200],
            counts,
            shares,
            total_share,
            credit_share,
            sum(len(self.attempts[connection_id]) for connection_id in attempted) / max(1, len(attempted)),
            {
                "p50": quantile(placement, 0.5),
                "p99": quantile(placement, 0.99),
                "p999": quantile(placement, 0.999),
            },
            sum(request.end_reason == "MOVE" for request in requests),
            sum(self._idle_since(relay, requests) >= 0 for relay in range(plan.relays)),
            sum(life.cpu_ns for life in lifetimes) / SECOND,
            max((life.peak_kb for life in lifetimes), default=0) / 1024,
            membership_figures(plan, self.records) if plan.peers_enabled else {},
            late.worst > MAX_LATENESS,
            late.worst / MS,
            seconds,
            self._loads(),
            self._by_second(requests),
        )

    def _found(self, rule: str, at: int, what: str) -> None:
        self.findings.append(Finding(rule, at, what))

    def _died(self, relay: int, begin: int, end: int) -> bool:
        """Tells whether the relay's process died in that span, which ends its connections."""
        return any(begin - KILL_SLACK <= at <= end + KILL_SLACK for at in self.deaths[relay])

    def _was_paused(self, relay: int, begin: int, end: int) -> bool:
        """Tells whether the schedule paused the relay's process in that span, which excuses delays."""
        return any(
            since <= end + KILL_SLACK and begin - KILL_SLACK <= until
            for since, until in self.pause_spans[relay]
        )

    def _link_disturbed(self, relay: int, box: int, begin: int, end: int) -> bool:
        """Tells whether a fault of the link between relay and box was on in that span."""
        return any(
            since <= end and begin - LINK_SLACK <= until for since, until in self.link_faults[relay, box]
        )

    # -- no request is lost ------------------------------------------------------------------------

    def _check_answers(self, requests: list[ClientRequest]) -> None:
        end = int(self.plan.seconds * SECOND)
        for request in requests:
            due = request.started_at + request.timeout + GRACE
            if request.answer in NO_ANSWER:
                in_grace = request.answer == "GAVE_UP" and 0 <= request.answered_at <= due
                # A request that did not reach any relay is no relay's fault; one that was due after the end
                # of the run was not awaited.
                if (
                    request.answer in ("CLOSED", "GAVE_UP")
                    and not in_grace
                    and due < end
                    and not self._died(request.relay, request.started_at, max(due, request.answered_at))
                    and not self._was_paused(request.relay, request.started_at, max(due, request.answered_at))
                ):
                    rule = (
                        "unanswered"
                        if request.answered_at < 0 or request.answer == "CLOSED"
                        else "answered_late"
                    )
                    self._found(
                        rule,
                        request.started_at,
                        f"{request.connection_id} at relay {request.relay}: {request.answer}",
                    )
            elif request.answered_at > due and not self._was_paused(
                request.relay, request.started_at, request.answered_at
            ):
                self._found(
                    "answered_late", request.answered_at, f"{request.connection_id}: {request.answer}"
                )
            if request.extra_answers:
                self._found(
                    "answered_twice",
                    request.answered_at,
                    f"{request.connection_id} at relay {request.relay}: {request.extra_answers} more lines "
                    f"after {request.answer}",
                )
            if request.sequence_gaps:
                self._found(
                    "lines_lost",
                    request.ended_at,
                    f"{request.connection_id}: {request.sequence_gaps} sequence gaps, to its client",
                )
            if request.answer == "UP":
                self._check_open_connection(request)
            elif request.answer in ("", "GAVE_UP") and request.end_reason in ("left", "gave up"):
                self._check_left(request)

    def _check_left(self, request: ClientRequest) -> None:
        """Checks that no attempt was sent long after the client left while it waited for the answer."""
        for attempt in self.attempts[request.connection_id]:
            late = attempt.started_at - request.ended_at - self._zone_delay(attempt.relay, attempt.box)
            if (
                late > AFTER_LEAVE + GRACE
                and not self._was_paused(attempt.relay, attempt.started_at, attempt.started_at)
                and not self._link_disturbed(
                    attempt.relay, attempt.box, attempt.started_at, attempt.started_at
                )
            ):
                self._found(
                    "sent_on_after_leaving",
                    attempt.started_at,
                    f"{request.connection_id}: attempt {late // MS} ms after its client left",
                )

    def _check_open_connection(self, request: ClientRequest) -> None:
        matching = [
            attempt
            for attempt in self.attempts[request.connection_id]
            if attempt.receipt and attempt.receipt == request.receipt and attempt.relay == request.relay
        ]
        if not matching:
            self._found(
                "not_what_a_box_made", request.answered_at, f"{request.connection_id}: UP {request.receipt}"
            )
            return
        attempt = matching[0]
        disturbed = any(
            attempt.started_at <= at <= attempt.ended_at for at in self.cuts[attempt.relay, attempt.box]
        ) or (
            self._was_paused(attempt.relay, attempt.started_at, attempt.ended_at)
            or self._link_disturbed(attempt.relay, attempt.box, attempt.started_at, attempt.ended_at)
        )
        if (
            request.delayed_lines
            and not disturbed
            and not self._was_paused(request.relay, request.started_at, request.ended_at)
        ):
            self._found(
                "lines_lost",
                request.ended_at,
                f"{request.connection_id}: {request.delayed_lines} delayed lines, to its client",
            )
        if attempt.sequence_gaps or (attempt.delayed_lines and not disturbed):
            self._found(
                "lines_lost",
                attempt.ended_at,
                f"{request.connection_id}: {attempt.sequence_gaps} sequence gaps, "
                f"{attempt.delayed_lines} delayed lines, to its box",
            )
        if request.end_reason not in ("cut", "reset"):
            return
        # If the box closed first or the relay died, the cut is not a violation.
        by_box = attempt.ended_by_box and attempt.ended_at <= request.ended_at + KILL_SLACK
        if not by_box and not self._died(request.relay, request.ended_at, request.ended_at):
            self._found(
                "cut_without_move",
                request.ended_at,
                f"{request.connection_id} at relay {request.relay}, box {attempt.box}",
            )

    # -- no effect twice ---------------------------------------------------------------------------

    def _check_attempts(self, requests: list[ClientRequest]) -> None:
        profiles = self.plan.profiles
        by_id = {request.connection_id: request for request in requests}
        for connection_id, attempts in self.attempts.items():
            request = by_id.get(connection_id)
            for one, two in pairwise(attempts):
                over_at = min(
                    at
                    for at in (one.answered_at if one.answer != "UP" else -1, one.ended_at, 1 << 62)
                    if at >= 0
                )
                # With a disturbed link the relay may have ended the first attempt before its box sees that.
                excused = self._link_disturbed(one.relay, one.box, one.started_at, two.received_at)
                excused = excused or self._was_read_late(one, two)
                if (
                    two.received_at < over_at - GRACE - 2 * self._zone_delay(one.relay, one.box)
                    and not excused
                ):
                    self._found(
                        "overlapping_setups",
                        two.received_at,
                        f"{connection_id}: boxes {one.box} and {two.box}",
                    )
            if request is None:
                continue
            profile = profiles[request.profile]
            for position, later in enumerate(attempts):
                ran = [attempt for attempt in attempts[:position] if attempt.answer != "BUSY"]
                if ran and not self._may_follow(profile, ran[0], later):
                    self._found(
                        "ran_twice",
                        later.received_at,
                        f"{connection_id} ({profile.effect}): boxes {ran[0].box}, {later.box}",
                    )
            ran = [
                attempt
                for attempt in attempts
                if attempt.answer != "BUSY" and attempt.received_at < request.answered_at
            ]
            repeatable = profile.effect == "pure" or (profile.effect == "token" and profile.group == "all")
            if request.answer == "BUSY" and ran and not repeatable:
                self._found(
                    "declined_after_run",
                    request.answered_at,
                    f"{connection_id} ({profile.effect}): box {ran[0].box}",
                )

    def _was_read_late(self, one: BoxAttempt, two: BoxAttempt) -> bool:
        """Tells whether the second attempt may have ended before the first was sent.

        That is so if a partition or a disturbed link delayed the second attempt, and its end came no later
        than they can delay an end that was sent before the first attempt.
        """
        if two.ended_at < 0:
            return False
        if any(
            since <= one.started_at <= until and until <= two.received_at and two.ended_at <= until + GRACE
            for since, until in self.partitions[two.relay, two.box]
        ):
            return True
        return (
            self._link_disturbed(two.relay, two.box, one.started_at, two.received_at)
            and two.ended_at <= one.started_at + LINK_SLACK
        )

    def _may_follow(self, profile: Any, first: BoxAttempt, later: BoxAttempt) -> bool:
        if profile.effect == "pure":
            return True
        if profile.effect != "token" or later.received_at > first.received_at + profile.window + GRACE:
            return False
        one, two = self.plan.boxes[first.box], self.plan.boxes[later.box]
        return {"all": True, "zone": one.zone == two.zone, "cell": one.cell == two.cell}[profile.group]

    # -- drains are respected ----------------------------------------------------------------------

    def _check_drains(self) -> None:
        # By relay and box: when a state was written, the state, and from when on the relay must respect it.
        deliveries: dict[tuple[int, int], list[tuple[int, str, int]]] = defaultdict(list)
        for entry in sorted(self.records[ListDelivery], key=lambda entry: entry.at):
            binding_at = self._received_at(entry.relay, entry.at) + self.plan.drain_grace + GRACE
            binding_at += self._zone_delay(entry.relay, entry.box)
            deliveries[entry.relay, entry.box].append((entry.at, entry.phase, binding_at))
        for attempts in self.attempts.values():
            for attempt in attempts:
                before = [
                    entry for entry in deliveries[attempt.relay, attempt.box] if entry[2] < attempt.started_at
                ]
                after = [
                    entry
                    for entry in deliveries[attempt.relay, attempt.box]
                    if entry[2] >= attempt.started_at >= entry[0]
                ]
                # An attempt is allowed if the relay has been sent since that the box is up again.
                if (
                    before
                    and before[-1][1] != "up"
                    and not any(phase == "up" for _, phase, _ in after)
                    and not self._died(attempt.relay, before[-1][0], attempt.started_at)
                    # The box may read late what the relay wrote in time.
                    and not self._was_paused(attempt.relay, attempt.started_at, attempt.started_at)
                    and not self._link_disturbed(
                        attempt.relay, attempt.box, attempt.started_at, attempt.started_at
                    )
                ):
                    self._found(
                        "late_sends_after_drain",
                        attempt.started_at,
                        f"{attempt.connection_id} from relay {attempt.relay} to box {attempt.box}, "
                        f"{(attempt.started_at - before[-1][0]) // MS} ms after {before[-1][1]}",
                    )

    def _zone_delay(self, relay: int, box: int) -> int:
        zones = self.plan.zones
        return zones.one_way_delay(zones.zone_of_relay(relay), self.plan.boxes[box].zone)

    def _received_at(self, relay: int, at: int) -> int:
        """Returns the time by which a relay has received what discovery wrote at `at`.

        With a disturbed link that is when the link is restored and the relay has asked again.
        """
        ends = [
            until for since, until in self.link_faults[relay, DISCOVERY] if since <= at <= until + LINK_SLACK
        ]
        return max(ends, default=at - DISCOVERY_RECOVERY) + DISCOVERY_RECOVERY

    # -- other rules -------------------------------------------------------------------------------

    def _check_others(self) -> None:
        for overload in self.records[ColdOverload]:
            self._found(
                "cold_pushed_over",
                overload.at,
                f"box {overload.box} at {overload.load_ratio:.1f} times its capacity",
            )
        for unexpected in self.records[UnexpectedLine]:
            self._found(
                "bad_clients_served", unexpected.at, f"box {unexpected.box} received {unexpected.line!r}"
            )
        for client in self.records[MisbehavingClient]:
            deadline = client.at + MISBEHAVING_LIMIT + GRACE
            if (
                not 0 <= client.closed_after <= MISBEHAVING_LIMIT + GRACE
                and deadline < self.plan.seconds * SECOND
            ):
                self._found(
                    "bad_clients_held",
                    client.at,
                    f"{client.kind} at relay {client.relay}: {client.closed_after // MS} ms",
                )
            if client.answer.startswith("UP"):
                self._found(
                    "bad_clients_served",
                    client.at,
                    f"{client.kind} at relay {client.relay}: {client.answer}",
                )
        for life in self.records[RelayLifetime]:
            if life.end_reason == "crashed":
                self._found("crashed", life.ended_at, f"relay {life.relay}: exit code {life.exit_code}")

    def _idle_since(self, relay: int, requests: list[ClientRequest]) -> int:
        """Returns the start of the first idle period of a relay (see IDLE_REQUESTS); below 0: there is
        none."""
        sent = (
            attempt for attempts in self.attempts.values() for attempt in attempts if attempt.relay == relay
        )
        events = [(one.received_at, False) for one in sent]
        events += [
            (request.answered_at, request.answer == "BUSY") for request in requests if request.relay == relay
        ]
        rejections: list[int] = []
        for at, rejected in sorted(events):
            rejections = [*rejections, at] if rejected else []
            if len(rejections) >= IDLE_REQUESTS and at - rejections[0] >= IDLE_FOR:
                return rejections[0]
        return -1

    # -- figures -----------------------------------------------------------------------------------

    def _service(self) -> tuple[dict[str, list[tuple[int, float, float]]], dict[str, float], float, float]:
        """Returns wanted and served client seconds by profile and second, the served share by profile, the
        total served share, and the total share weighted by value."""
        sums: dict[tuple[int, int], list[float]] = defaultdict(lambda: [0.0, 0.0])
        for entry in self.records[ServedSecond]:
            row = sums[entry.profile, entry.second]
            row[0] += entry.wanted
            row[1] += entry.served
        seconds: dict[str, list[tuple[int, float, float]]] = {}
        shares: dict[str, float] = {}
        totals = [0.0, 0.0, 0.0, 0.0]
        for index, profile in enumerate(self.plan.profiles):
            series = sorted((second, *both) for (number, second), both in sums.items() if number == index)
            seconds[profile.name] = series
            measured = [entry for entry in series if entry[0] >= self.plan.measured_from]
            wanted, served = (sum(entry[column] for entry in measured) for column in (1, 2))
            shares[profile.name] = served / wanted if wanted else 0.0
            for column, amount in enumerate(
                (wanted, served, wanted * profile.credit, served * profile.credit)
            ):
                totals[column] += amount
        return (
            seconds,
            shares,
            totals[1] / totals[0] if totals[0] else 0.0,
            totals[3] / totals[2] if totals[2] else 0.0,
        )

    def _by_second(self, requests: list[ClientRequest]) -> list[SecondSummary]:
        answers: dict[int, list[str]] = defaultdict(list)
        placement: dict[int, list[float]] = defaultdict(list)
        attempted: dict[int, int] = defaultdict(int)
        for request in requests:
            if request.answer not in NO_ANSWER:
                answers[request.answered_at // SECOND].append(request.answer)
                if request.answer == "UP":
                    placement[request.answered_at // SECOND].append(
                        (request.answered_at - request.started_at) / MS
                    )
        for attempts in self.attempts.values():
            for attempt in attempts:
                attempted[attempt.received_at // SECOND] += 1
        rows = []
        for second in sorted(answers.keys() | attempted.keys()):
            words, times = answers[second], sorted(placement[second])
            up, busy = words.count("UP"), words.count("BUSY")
            rows.append(
                SecondSummary(
                    second,
                    up,
                    busy,
                    len(words) - up - busy,
                    attempted[second],
                    quantile(times, 0.5),
                    quantile(times, 0.99),
                )
            )
        return rows

    def _loads(self) -> dict[str, list[tuple[int, float, int]]]:
        loads: dict[str, list[tuple[int, float, int]]] = defaultdict(list)
        for entry in self.records[BoxLoad]:
            loads[self.plan.boxes[entry.box].name].append(
                (entry.second, round(entry.load_ratio, 4), entry.connections)
            )
        return {name: sorted(loads[name]) for name in sorted(loads)}
