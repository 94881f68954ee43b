"""Laws that the policy holds to at any deployment in the stated range, whatever its settings.

The shapes are drawn; the fleet of policy_world plays them in virtual time. Drawn examples are not shrunk
here, which would take minutes: what was found is kept as an explicit example, cut down beforehand.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import replace

import hypothesis.strategies as st
from hypothesis import HealthCheck, Phase, event, example, given, settings
from policy_models import Backend, Deployment, RequestClass, most_over_allowance, slow_start_use
from policy_world import START, World

from cedarledge.terms import MS, SECOND

LAW = settings(
    derandomize=True,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)

# A relay goes by few backends where it has fresh reports of less than this part of the warm ones.
FEW_SEEN = 0.25
# By then a relay that has just started serves its share, and rejects this much of it at most.
SETTLED, MOST_REJECTED = 5 * SECOND, 0.1
# A fleet under this mean load has room for all that it is asked.
ROOM = 0.65
# A cold backend over this load has no use for what it may be sent.
FULL = 0.8
# Of what cold backends may be sent, the least that a fleet uses which rejects as much load and more.
LEAST_USE = 0.2
# A budget of fewer requests says little: which of them come to the cold backend's cell is chance.
MEASURABLE = 20
# With so many requests for each cold backend in an even spread, none at any of them is an idle budget.
FAIR_SHARE = 10
# How long a fleet has run when cold backends join it.
RUN_UP = 12 * SECOND
# The rule's own figures: a relay that rejects all it gets, so many at least, for so long.
STUCK_SPAN, STUCK_REQUESTS = 4 * SECOND, 15


def hundredths(least: int, most: int) -> st.SearchStrategy[float]:
    """Shares and multiples in steps of 0.01, so that what is found reads well."""
    return st.integers(least, most).map(lambda figure: figure / 100)


request_classes = st.builds(
    RequestClass,
    value=st.integers(1, 20),
    deadline=st.sampled_from([1000, 400, 600, 2500, 6000]).map(lambda ms: ms * MS),
    load=st.sampled_from([1.0, 0.3, 3.0, 6.0]),
)


@st.composite
def deployments(
    draw: st.DrawFn,
    relays: tuple[int, ...],
    loads: tuple[int, int] = (30, 80),
    backends: tuple[int, ...] = (4, 8, 14, 30, 54, 120),
    **fixed: object,
) -> Deployment:
    drawn = {
        "seed": draw(st.integers(0, 99)),
        "relays": draw(st.sampled_from(relays)),
        "backends": draw(st.sampled_from(backends)),
        "cell_size": draw(st.sampled_from([4, 2, 8])),
        "classes": tuple(draw(st.lists(request_classes, min_size=1, max_size=6))),
        "load": draw(hundredths(*loads)),
        "connections_per_backend": draw(st.sampled_from([20, 8, 48])),
        "lifetime": draw(st.sampled_from([30, 10, 60])) * SECOND,
        "warmup_duration": draw(st.integers(3, 20)) * SECOND,
        "cold_from": draw(hundredths(5, 50)),
        "fall_multiple": draw(hundredths(200, 400)),
        "fall_span": draw(st.integers(1000, 3000)) * MS,
        "probes": draw(st.booleans()),
        "pushed": draw(st.booleans()),
        "group_size": draw(st.sampled_from([0, 5, 30])),
        "group_cost": draw(st.sampled_from([1.0, 0.3, 3.0])),
        "tenants": draw(st.sampled_from([0, 1, 4])),
        "crossing": draw(st.sampled_from([0.0, 0.04, 0.3])),
        "attempts": draw(st.sampled_from([4, 1, 6])),
        "retries": draw(st.integers(0, 3)),
        "report_period": draw(st.integers(100, 1500)) * MS,
        "report_delay": draw(st.integers(0, 500)) * MS,
    } | fixed
    if not drawn["group_size"]:
        drawn["group_cost"] = 0.0
    return Deployment(**drawn)


# The least of everything that is drawn; what was found differs from it in what matters.
LEAST = Deployment(
    backends=12,
    load=0.3,
    connections_per_backend=8,
    warmup_duration=3 * SECOND,
    cold_from=0.05,
    fall_multiple=2.0,
    fall_span=SECOND,
    pushed=False,
    report_period=100 * MS,
    report_delay=0,
)


def one_relay_of_many(deployment: Deployment) -> World:
    """One real relay; what the others hold lies on the backends as a steady load."""
    world = World(deployment, live_relays=1)
    others = (deployment.relays - 1) / deployment.relays
    for backend in world.backends.values():
        spread = world.chance.uniform(0.85, 1.15)
        backend.background = spread * others * deployment.load * deployment.connections_per_backend
    return world


def rate_of_one(deployment: Deployment) -> float:
    """New connections a second at one relay: its share, four times that where it is much under one."""
    share = deployment.arrival_rate / deployment.relays
    return max(share, min(1.0, 4 * share))


@settings(LAW, max_examples=40)
# One hot backend of twelve, the only one that was seen; and four of 54 before hundreds of relays.
@example(deployment=LEAST, hot=1, overload=0.9)
@example(
    deployment=replace(LEAST, relays=230, backends=54, connections_per_backend=48, load=0.5),
    hot=4,
    overload=0.9,
)
@given(
    deployment=deployments((1, 4, 30, 230), backends=(12, 30, 54, 120), group_cost=0.0, probes=True),
    hot=st.integers(1, 6),
    overload=hundredths(90, 120),
)
def test_a_relay_that_has_seen_few_backends_probes_before_it_rejects(
    deployment: Deployment, hot: int, overload: float
) -> None:
    """A relay's own clients make it see their backends first and most often, and these may be the hot ones.

    It rejected by 4 fresh reports of 54, or 13 of 120, without a look at any other backend: its mean stood
    0.2 over the fleet's (40 draws), and 0.36 of 400 draws broke the law.
    """
    world = one_relay_of_many(deployment)
    (relay,) = world.relays
    # It holds connections at a few hot backends alone, so it looks at these first and most often.
    for place in range(min(hot, deployment.backends // 6) * 2):
        backend = world.backends[place // 2]
        backend.background = overload * deployment.connections_per_backend
        relay.adopt(world.new_connection(), backend)
    for backend in world.backends.values():
        backend.refresh(START - SECOND)
    world.clients_come(rate_of_one(deployment))
    world.run(20 * SECOND)
    unseen = [
        rejection
        for rejection in world.rejections
        if not rejection.attempted
        and not rejection.probed_unseen
        and rejection.fresh_reports < FEW_SEEN * rejection.warm
    ]
    assert not unseen, f"{len(unseen)} of {len(world.requests)} rejected unseen, the first: {unseen[0]}"


@settings(LAW, max_examples=30)
# Reports come with what ends at a backend: who rejects everything hears of nothing more.
@example(deployment=replace(LEAST, backends=4, connections_per_backend=20, probes=False, group_size=30))
@example(
    deployment=replace(
        LEAST, relays=4, backends=120, load=0.46, probes=False, group_size=30, attempts=1, retries=3
    )
)
# A relay of four that fills up with groups: what it guesses beyond the reports stands 0.15 over the fleet.
@example(
    deployment=replace(
        LEAST,
        seed=14,
        relays=4,
        backends=14,
        classes=(RequestClass(4, 2500 * MS, 0.3), RequestClass(3, 2500 * MS, 1.0)),
        load=0.55,
        lifetime=60 * SECOND,
        warmup_duration=12 * SECOND,
        cold_from=0.41,
        fall_multiple=3.76,
        fall_span=1285 * MS,
        pushed=True,
        group_size=30,
        tenants=4,
        crossing=0.04,
        retries=2,
        report_period=112 * MS,
        report_delay=230 * MS,
    )
)
# Reports that are 1.5 s apart and 9 backends of 14 known: they are loaded before the others are met.
@example(
    deployment=replace(
        LEAST,
        seed=31,
        backends=14,
        classes=(RequestClass(8, 400 * MS, 3.0),),
        load=0.55,
        connections_per_backend=48,
        warmup_duration=18 * SECOND,
        cold_from=0.42,
        fall_multiple=2.83,
        fall_span=1222 * MS,
        probes=False,
        group_size=30,
        crossing=0.04,
        retries=3,
        report_period=1500 * MS,
        report_delay=342 * MS,
    )
)
@given(deployment=deployments((1, 4, 30, 230), loads=(30, 65), group_cost=0.0))
def test_a_fresh_relay_serves_its_share_within_seconds_where_the_fleet_has_room(
    deployment: Deployment,
) -> None:
    world = one_relay_of_many(deployment)
    for backend in world.backends.values():
        backend.refresh(START - SECOND)
    # Those of its share that the relay before it held come at once.
    for _ in range(round(deployment.connections / deployment.relays)):
        world.comes_again(world.new_connection())
    world.clients_come(rate_of_one(deployment))
    world.run(30 * SECOND)
    settled = START + SETTLED
    requests = sum(at >= settled for at, _ in world.requests)
    rejected = [
        rejection
        for rejection in world.rejections
        if rejection.at >= settled and rejection.fleet_load <= ROOM
    ]
    event(f"requests past the start: {min(requests // 10 * 10, 50)}")
    assert len(rejected) <= MOST_REJECTED * requests, (
        f"{len(rejected)} of {requests}, the first: {rejected[0]}"
    )


def cold_backends_join(deployment: Deployment, cold: int, rush: float) -> tuple[World, list[Backend]]:
    """A standing fleet, cold backends that join it now, and so many times the usual arrivals from then on."""
    world = World(deployment)
    world.populate()
    world.clients_come(deployment.arrival_rate)
    world.run(RUN_UP)
    joined = [world.start_backend() for _ in range(cold)]
    world.clients_come((rush - 1) * deployment.arrival_rate)
    return world, joined


@settings(LAW, max_examples=16)
# Groups whose shared work is taken for connections; no report under the limit; a class of heavy connections.
@example(
    deployment=replace(
        LEAST,
        backends=30,
        connections_per_backend=20,
        load=0.9,
        warmup_duration=4 * SECOND,
        group_size=5,
        group_cost=3.0,
        retries=1,
    ),
    cold=2,
)
@example(
    deployment=replace(
        LEAST,
        seed=1,
        relays=12,
        backends=30,
        load=0.9,
        lifetime=60 * SECOND,
        warmup_duration=9 * SECOND,
        probes=False,
        tenants=4,
        retries=2,
        report_period=470 * MS,
        report_delay=78 * MS,
    ),
    cold=4,
)
@example(
    deployment=replace(
        LEAST,
        seed=42,
        backends=4,
        connections_per_backend=48,
        classes=(RequestClass(load=0.3), RequestClass(load=3.0)),
        load=0.98,
        warmup_duration=6 * SECOND,
        report_period=182 * MS,
    ),
    cold=1,
)
@given(
    deployment=deployments((1, 4, 12, 40), loads=(90, 125), backends=(4, 8, 14, 30)), cold=st.integers(1, 6)
)
def test_no_slow_start_budget_lies_idle_while_requests_are_rejected(
    deployment: Deployment, cold: int
) -> None:
    world, joined = cold_backends_join(deployment, cold, rush=1.5)
    # All relays know of them by then; each half of the rest counts by itself.
    world.run(deployment.notice)
    half = (deployment.warmup_duration - deployment.notice) // 2
    for _ in range(2):
        since = world.now
        world.run(half)
        use = slow_start_use(world.attempts, joined, since, world.now)
        rejected = sum(rejection.load for rejection in world.rejections if rejection.at >= since)
        # A group's shared work can fill a cold backend with few connections.
        crowded = sum(backend.utilization(world.now) for backend in joined) > FULL * len(joined)
        if use.allowed >= MEASURABLE and rejected >= use.allowed and not crowded:
            assert use.share >= LEAST_USE, f"from {since - START} ns on: {use}, {rejected:.0f} rejected"


def spans_without_an_attempt(world: World) -> Iterator[tuple[int, int, int]]:
    """Relay, start and requests of each span in which a relay got requests and attempted none."""
    requests, attempts = defaultdict(list), defaultdict(list)
    for at, relay_id in world.requests:
        requests[relay_id].append(at)
    for attempt in world.attempts:
        attempts[attempt.relay_id].append(attempt.at)
    for relay_id, times in requests.items():
        for first in times:
            got = sum(first <= at < first + STUCK_SPAN for at in times)
            tried = any(first <= at < first + STUCK_SPAN for at in attempts[relay_id])
            if got >= STUCK_REQUESTS and not tried and first + STUCK_SPAN <= world.now:
                yield relay_id, first, got


@settings(LAW, max_examples=15)
# With reports from a few of the backends, with probes and without.
@example(
    deployment=replace(
        LEAST,
        relays=2,
        backends=8,
        connections_per_backend=20,
        load=0.57,
        group_size=5,
        group_cost=1.0,
        tenants=1,
        retries=1,
    ),
    replaced=0.19,
)
@example(
    deployment=replace(
        LEAST,
        relays=2,
        backends=4,
        connections_per_backend=20,
        load=0.56,
        probes=False,
        group_size=30,
        group_cost=1.0,
    ),
    replaced=0.1,
)
@given(deployment=deployments((2, 1, 4, 12, 40), backends=(4, 8, 14, 30, 54)), replaced=hundredths(10, 50))
def test_no_relay_rejects_all_it_gets_for_seconds_without_an_attempt(
    deployment: Deployment, replaced: float
) -> None:
    """Half of the backends at most are replaced in steps, and all relays restarted one after the other.

    Relays rejected 61, 60 and 58 requests in a row: their means stood at 0.9 to 2.06 where the fleet's was
    0.6 to 0.8 (adopted connections counted twice, backends weighed by own connections), and over a mean of
    0.8 all arrivals of a grouped deployment are shed. With the mean mended some draws were left, in fleets
    that were truly full; whoever sheds everything learns nothing, so one connection is attempted as a trial.
    """
    world = World(deployment)
    world.populate()
    world.clients_come(deployment.arrival_rate)
    world.run(6 * SECOND)
    leaving = list(world.backends.values())[: max(1, round(replaced * deployment.backends))]
    steps = 8
    for step in range(steps):
        for backend in leaving[step::steps]:
            world.start_backend()
            world.drain_backend(backend, 5 * SECOND)
        for relay_id in range(step, deployment.relays, steps):
            world.restart_relay(relay_id)
        world.run(2 * SECOND)
    world.run(8 * SECOND)
    stuck = list(spans_without_an_attempt(world))
    assert not stuck, (
        f"relay {stuck[0][0]} attempted none of {stuck[0][2]} requests from {stuck[0][1] - START} ns on"
    )


joining = given(
    deployment=deployments((1, 4, 20, 30), loads=(30, 100), backends=(4, 8, 14, 30)),
    cold=st.integers(1, 4),
    rush=hundredths(100, 400),
)


def sent_too_many(deployment: Deployment, cold: int, rush: float) -> float:
    world, joined = cold_backends_join(deployment, cold, rush)
    world.run(deployment.warmup_duration)
    return max(most_over_allowance(world.attempts, backend) for backend in joined)


@settings(LAW, max_examples=16)
@joining
def test_few_relays_stay_within_a_cold_backends_allowance(
    deployment: Deployment, cold: int, rush: float
) -> None:
    assert sent_too_many(deployment, cold, rush) <= 0


@settings(LAW, max_examples=4)
@given(deployment=deployments((200, 230), loads=(30, 100), backends=(14, 30)), rush=hundredths(100, 400))
def test_hundreds_of_relays_stay_within_a_cold_backends_allowance(
    deployment: Deployment, rush: float
) -> None:
    assert sent_too_many(deployment, 2, rush) <= 0


@settings(LAW, max_examples=16)
@joining
# No report at all, so nothing is known of what a full backend holds.
@example(
    deployment=replace(
        LEAST,
        relays=200,
        backends=14,
        connections_per_backend=48,
        load=0.5,
        warmup_duration=8 * SECOND,
        probes=False,
    ),
    cold=2,
    rush=4.0,
)
def test_some_of_a_cold_backends_allowance_is_used(deployment: Deployment, cold: int, rush: float) -> None:
    world, joined = cold_backends_join(deployment, cold, rush)
    since = world.now
    world.run(deployment.warmup_duration)
    use = slow_start_use(world.attempts, joined, since, world.now)
    fair_share = sum(at >= since for at, _ in world.requests) / len(world.backends)
    event(f"budget used: {use.share:.1f}")
    if use.allowed >= FAIR_SHARE * cold and fair_share >= FAIR_SHARE:
        assert use.share > 0, f"{use}, {fair_share:.0f} requests a backend"
