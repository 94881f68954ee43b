"""The decision module: which backend takes a tunnel, and everything that follows from it.

A caller makes one Balancer for each relay, hands it a host (terms.Host) and the site's facts
(terms.SiteFacts), and from then on calls the method named for whatever happens, each with the time of
the event first. The balancer answers by calling the host before the method returns. It reads no clock,
keeps no thread and does no I/O; the host must deliver events in order and wake it when asked.

The ordinary path is Balancer._pick: the key's cell, its members by rank, the first one that is neither
flagged busy nor over the skip factor. Whatever departs from it says so and names what it guards against.
"""

from __future__ import annotations

import math
import random
from collections import Counter, defaultdict
from hashlib import blake2b

from cedarledge.terms import (
    MS,
    NEVER_RAN,
    SECOND,
    Dedup,
    Effect,
    Host,
    Listed,
    ListForm,
    LoadReport,
    Outcome,
    Outlook,
    SiteFacts,
    Standing,
)

TICK = 250 * MS
PROBE_EVERY, PROBE_SELDOM, LOG_EVERY = SECOND, 4 * SECOND, 10 * SECOND
# The list's service takes calls in turn, and works on those too that nobody waits for. So first calls are
# spread, over this for each relay, and one that failed waits until what it stood behind is done.
LIST_TURN, LIST_AGAIN = 100 * MS, 4 * SECOND
# Steady probes for each tunnel that comes: more cost a large fleet of relays more than their news is worth.
PROBES_A_TUNNEL = 2
# Steady probes are so far apart that all members with clients here could be seen within the first, and their
# turn comes so many times sooner: one of dozens of relays holds clients at two or three, and has no help for
# the rest.
HELD_SEEN, HELD_SOONER = 5 * SECOND, 3
SKIP_FACTOR = 1.5
# Weights within this part of a doubling rank as equal, in each relay's own order: hundreds of relays that see
# the same list would all fill the one member that it puts a hair ahead.
WEIGHT_STEPS = 2
# Between these the flag's threshold is the fleet's mean: a calm fleet needs no flags, and a full one must not
# wait for a member to drown.
BUSY_FLOOR, BUSY_CEILING = 0.55, 0.85
# Above this a backend answers late whatever it holds, so its clients are better off elsewhere.
DROWNING = 0.95
# Moves leave a member this much of what it can do, less what it needs to work off what is piled up.
RELIEF, DRAIN_TIME, ROOM = 0.8, 2 * SECOND, 0.9
MOVES_A_TICK = 2
# How long a draining member's clients have to be moved in: it ends soon, and sends many away by itself.
EMPTY_WITHIN = 4 * SECOND
# How long moves take to show in reports, which are refreshed in turn and arrive late.
EASE = 2 * SECOND
# With more connections than this at a member some of them fit any surplus worth a move.
FEW_HELD = 3
# The most of its connections that a relay lets go in a tick while the fleet is full.
SHED_PART = 0.04
BUSY_HOLD = 2 * SECOND
OUT_FIRST, OUT_LONGEST = 1500 * MS, 12 * SECOND
TICK_TOKEN, LIST_TOKEN, LOOK_TOKEN = 1, 2, 3
# A report older than this says nothing of the member's flag now: more was placed since than it shows.
FRESH = 2 * SECOND
# From this part of a tunnel's credit on, a crossing between locations costs more than an uneven load does.
DEAR = 0.05
# Above this mean load a fleet has no room for groups to lie on more members, since each of them pays for
# what a group shares: what spreads them (other members, moves, letting go) makes more load than it takes.
SPARE = 0.7
# So many cells may be tried for a tunnel: work for one must not grow with the fleet.
SPILL = 6
# How many members are looked at for one tunnel, within this part of its setup goal.
LOOKS, LOOK_PART = 5, 0.25
# Above this mean load a fleet has no room for its own swings. The salt sets the line apart from the cells.
FULL, LINE_SALT = 0.85, 1 << 40
# How much a member's kind counts against its own reports, in reports at full load.
KIND_WEIGHT = 0.5
# Tunnels of its own in a member's share at which a relay's own change counts half for the others.
ECHO_HALF = 0.1
# How far a guess may go past a report before a client is told no by it, while this relay is young: it holds
# less than its share, so it guesses capacities far too low, and the clients that the next relay sends away as
# it restarts would fill the fleet on paper. Reports tell of them within a second.
YOUNG = 40 * SECOND
GUESS_MOST = 0.35
# Past this a report tells of work piled up more than of what the connections ask.
SOUND_LOAD = 1.2
# How fast a report loses its say in the fleet's mean.
REPORT_LIFE = 4 * SECOND
# A group that asks more than this part of a member is too large to stay with one.
FITS = 0.5
# How long a mean is gone by, for each member that it is made of.
FLEET_CARE = 4 * MS
# So many members' reports give a fair mean, however large the fleet.
ENOUGH_SEEN = 8
# Relays act apart, so what they send scatters, which the limit's roots bear, and each guesses the capacity.
COLD_CARE = 0.5
# A tunnel heavier than this many usual ones would by itself be most of what a cold member may be sent.
COLD_HEAVY = 1.5
ONES = 2**64 - 1


class Fading:
    """A sum that decays with time, brought up to date when read."""

    __slots__ = ("at", "life", "total")

    def __init__(self, life: int) -> None:
        self.life = life
        self.total = 0.0
        self.at = 0

    def read(self, now: int) -> float:
        if now > self.at:
            self.total *= math.exp((self.at - now) / self.life)
            self.at = now
        return self.total

    def add(self, now: int, amount: float) -> None:
        self.total = self.read(now) + amount


class Member:
    """What this relay knows of one backend."""

    def __init__(self, ep: int, tie: float) -> None:
        self.ep = ep
        self.tie = tie
        self.open = self.pending = 0
        self.load = 0.0
        self.lately = Fading(SECOND)
        self.tuns: dict[int, Tunnel] = {}
        self.groups: Counter[str | None] = Counter()
        self.started = -1
        self.probe_at = self.drain_by = 0
        self.standing = Standing.GONE
        self.forget()

    def forget(self) -> None:
        """What a fresh start of the backend makes untrue."""
        self.asked = -1.0
        self.load_then = self.credit = 0.0
        self.seen_at = self.eased_at = self.full_until = self.out_until = self.delay_at = 0
        self.credit_at = -1
        self.delay = self.strikes = 0
        self.shown = (Fading(15 * SECOND), Fading(15 * SECOND))


class Tunnel:
    """A tunnel from its arrival to its end."""

    def __init__(self, profile: int, tenant: int | None, key: str | None, group: str | None, give_up: int,
                 load: float) -> None:
        self.profile = profile
        self.tenant = tenant
        self.key = key
        self.group = group
        self.give_up = give_up
        self.load = load
        self.ep = -1
        self.tried: list[int] = []
        self.suspects: list[Member] = []  # where it ended in an error, and whose fault that was is open
        self.setups = self.looks = self.look_until = 0
        self.sent_at = self.opened_at = 0
        self.out = self.over = self.moved = False
        self.bound = -1  # the first backend where it may have run
        self.bound_at = 0
        self.listing = -1  # the state of the list that its cells were ranked by
        self.seed = 0
        self.cells: list[int] = []
        self.ranked: dict[int, list[Member]] = {}  # their members in its group's order


def digest_of(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def draw_of(digest: int, salt: int) -> float:
    """A number in (0, 1) that every relay gets for the same digest and salt: splitmix64's last steps."""
    mixed = (digest ^ (salt + 1) * 0x9E3779B97F4A7C15) & ONES
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & ONES
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & ONES
    return ((mixed ^ mixed >> 31) + 1) / (2**64 + 2**12)


class Balancer:
    def __init__(self, host: Host, facts: SiteFacts) -> None:
        self.host = host
        self.facts = facts
        self.outlook = Outlook()
        self.young_until = facts.now + YOUNG
        self.chance = random.Random(facts.seed).random
        self.members: dict[int, Member] = {}
        self.cells: dict[int, list[Member]] = {}
        self.ready = 0  # members in all cells
        self.listing = 0  # counts the changes of the list
        self.turns: dict[int, Member] = {}  # all members, the longest unseen first
        self.holding: dict[int, Member] = {}  # those with connections of this relay
        self.tuns: dict[int, Tunnel] = {}
        rows = facts.profiles
        self.loads = [(Fading(60 * SECOND), Fading(60 * SECOND)) for _ in rows]
        self.asked_for = [Fading(60 * SECOND) for _ in rows]
        self.line = [(0.0, 1.0) for _ in rows]
        self.yielding = self.rate = self.arrival_rate = self.apart_until = 0.0
        self.fleet = self.nearby = -1.0
        self.fleet_until = 0
        self.capacity: defaultdict[int, tuple[Fading, Fading]] = defaultdict(
            lambda: (Fading(40 * SECOND), Fading(40 * SECOND)))
        self.arrivals, self.retries = Fading(10 * SECOND), Fading(10 * SECOND)
        self.setup_time = (Fading(20 * SECOND), Fading(20 * SECOND), Fading(20 * SECOND))
        self.in_flight, self.window = 0, math.inf
        self.failures, self.openings = Fading(3 * SECOND), Fading(3 * SECOND)
        self.tenant_open: Counter[int | None] = Counter()
        self.groups: Counter[str | None] = Counter()
        self.next_probe = self.next_doubt = facts.now
        self.stop_by = 0
        self.looking: dict[int, int] = {}  # tunnels that wait for a look, and at which member
        self.next_log = facts.now + LOG_EVERY
        self.list_waits = 0
        self.by_rule = {"rank": 0, "skip": 0, "spill": 0, "fewest": 0, "last": 0}
        if facts.must_ask:
            host.wake(int(self.chance() * min(LIST_AGAIN, LIST_TURN * facts.relays)), LIST_TOKEN)
        host.wake(int(TICK * (0.5 + 0.5 * self.chance())), TICK_TOKEN)

    # -- the list ------------------------------------------------------------------------------

    def list_changed(self, now: int, form: ListForm, entries: list[Listed]) -> None:
        if form is ListForm.UNAVAILABLE:
            # By chance, as all relays lose it together; what a reset watch misses counts after ask_every.
            most = self.facts.ask_every or 2 * LIST_AGAIN
            first = max(LIST_TURN, min(LIST_AGAIN, most // 2))
            self.list_waits = min(2 * self.list_waits or first, max(SECOND, most))
            self.host.wake(int(self.list_waits * (0.5 + self.chance())), LIST_TOKEN)
            return
        if form is not ListForm.RESTORED:
            self.list_waits = 0
        if form is not ListForm.CHANGES:
            named = {entry.ep for entry in entries}
            for member in self.members.values():
                if member.ep not in named:
                    member.standing = Standing.GONE
        fresh = [Member(entry.ep, self.chance()) for entry in entries if entry.ep not in self.members]
        self.members |= {member.ep: member for member in fresh}
        # In an order of its own, or all relays would probe the same new member at once.
        self.turns |= {member.ep: member for member in sorted(fresh, key=lambda member: member.tie)}
        for entry in entries:
            member = self.members[entry.ep]
            if member.started not in (-1, entry.started):
                member.forget()
            member.cell, member.zone, member.kind = entry.cell, entry.zone, entry.kind
            member.mark = entry.mark
            member.weight = entry.weight if self.facts.ranked else 1.0
            if entry.standing is Standing.DRAINING and member.standing is not Standing.DRAINING:
                member.drain_by = now + EMPTY_WITHIN
            member.started, member.standing = entry.started, entry.standing
            if member.credit_at < 0:
                member.credit, member.credit_at = self.chance(), 0
        self._rank()

    def knows(self, now: int, outlook: Outlook) -> None:
        """What other subsystems know beside the list has changed."""
        self.outlook = outlook
        self._rank()

    def _rank(self) -> None:
        ready = [member for member in self.members.values() if member.standing is Standing.READY]
        # All aside is a slip that would close the site, so it is not followed.
        offered = [member for member in ready if member.ep not in self.outlook.aside] or ready
        self.listing += 1
        self.cells = {}
        for member in offered:
            self.cells.setdefault(member.cell, []).append(member)
        self.ready = len(offered)
        self.fleet_until = 0
        for cell in self.cells.values():
            cell.sort(key=lambda member: (
                -round(WEIGHT_STEPS * math.log2(max(member.weight, 1e-9))), member.tie))

    # -- what is believed of a member ------------------------------------------------------------

    def _capacity(self, now: int, member: Member) -> float:
        """Work a second that a member can do now; 0 while unknown.

        No relay is told it. This relay's load there, times the relays, over the load asked of it is a
        fair guess over all backends of a kind, because the front spreads clients over the relays. What
        the member itself showed lately outweighs its kind: one that turns slow is idle once its clients
        are moved away, and would be filled and drowned again.
        """
        kind = self.capacity[member.kind]
        if kind[1].read(now) < 0.5:
            return 0.0
        usual = kind[0].read(now) / kind[1].read(now)
        return ((member.shown[0].read(now) + KIND_WEIGHT * usual)
                / (member.shown[1].read(now) + KIND_WEIGHT))

    def _asked(self, now: int, member: Member) -> float:
        """The load asked of a member over what it can do, with the changes since its report.

        Reports come late: what was placed shortly before one is not in it yet. The other relays see the
        same reports and do as this one does, so its own change counts for them too, as far as it is
        evidence; counted once, they would all fill the same idle member. Below 0: not known.
        """
        if member.asked < 0:
            return -1.0
        # Most members of a large fleet hold nothing of this relay's: their capacity need not be worked out.
        capacity = self._capacity(now, member) if member.load != member.load_then else 0.0
        if not capacity:
            return member.asked
        # How often this relay has placed there since tells how far its own change stands for all of them:
        # well where it is a few, not at all where it is a fraction of one.
        own = self.arrival_rate * (now - member.seen_at) / SECOND
        echo = 1 + (self.facts.relays - 1) * own / (own + ECHO_HALF)
        return max(0.0, member.asked + echo * (member.load - member.load_then) / capacity)

    def _surely(self, now: int, member: Member) -> float:
        """The load asked of a member as far as a decline may go by it: a young relay's guess goes astray."""
        asked = self._asked(now, member)
        return min(asked, member.asked + GUESS_MOST) if now < self.young_until else asked

    def _fleet(self, now: int) -> float:
        """The mean load that the ready members report, -1 while unknown."""
        # Summed for each tunnel it would cost a large fleet more than all else; it moves slowly there.
        if now >= self.fleet_until:
            self.fleet_until = now + max(TICK, self.ready * FLEET_CARE)
            self.fleet, self.nearby = self._means(now)
            self._learn_rate(now)
        return self.fleet

    def _means(self, now: int) -> tuple[float, float]:
        """The mean load that ready members report, in all and in this relay's location; -1 while unknown."""
        near = far = near_size = far_size = 0.0
        for cell in self.cells.values():
            for member in cell:
                # A cold member's idle cores can't be had at will, so they are no reason to call others busy.
                if member.asked < 0 or self._is_out(now, member) or self._is_cold(now, member):
                    continue
                # A relay that probes once in seconds has seen most members long ago: what a storm left in
                # those reports would have it give way for half a minute after the fleet is empty.
                size = math.exp((member.seen_at - now) / REPORT_LIFE) * (self._capacity(now, member) or 1.0)
                asked = min(self._surely(now, member), 3.0) * size
                if member.zone == self.facts.zone:
                    near += asked
                    near_size += size
                else:
                    far += asked
                    far_size += size
        return ((near + far) / (near_size + far_size) if near_size + far_size else -1.0,
                near / near_size if near_size else -1.0)

    def _is_busy(self, now: int, member: Member, limit: float) -> bool:
        return now < member.full_until or self._asked(now, member) > limit

    def _is_out(self, now: int, member: Member) -> bool:
        """Whether failures keep a member aside; its return is by one setup at a time."""
        return member.strikes > 0 and (now < member.out_until or member.pending > 0)

    def _strike(self, now: int, member: Member) -> None:
        self.failures.add(now, 1)
        if self._is_shared(now):
            # Setting members aside one after the other would only herd the rest.
            self.window = max(1.0, 0.7 * min(self.window, self.in_flight + 1))
            return
        self._set_aside(now, member)

    def _set_aside(self, now: int, member: Member) -> None:
        member.strikes += 1
        hold = min(OUT_FIRST << min(member.strikes - 1, 6), OUT_LONGEST)
        member.out_until = now + int(hold * (0.8 + 0.4 * self.chance()))

    def _is_shared(self, now: int) -> bool:
        """Whether setups fail everywhere: the cause is a store or a network, not a member."""
        return self.failures.read(now) > 3 and self.failures.read(now) > 2 * self.openings.read(now)

    def _is_cold(self, now: int, member: Member) -> bool:
        return member.started > 0 and now < member.started + self.facts.warm_within

    def _learn_rate(self, now: int) -> None:
        """Follows this relay's part of the new connections a second that would fill a member as it warms.

        No relay is told it. It is what a warm member holds, over its load, in the time it takes to warm: a
        cold one can't take connections faster than that. Neither a burst nor returning clients disturb it.
        """
        warm = [member for cell in self.cells.values() for member in cell if not self._is_cold(now, member)]
        # A hung member says many times its load, and holds no more for it.
        seen = [member for member in warm if 0 < member.asked < SOUND_LOAD]
        if 2 * len(seen) > min(len(warm), 2 * ENOUGH_SEEN):
            # Setups that are still out, as while all wait for a slow store, bring no load yet.
            held = sum(member.open - member.pending for member in seen)
            rate = held / sum(member.asked for member in seen) / (self.facts.warm_within / SECOND)
            self.rate = max(rate, self.rate) if now < self.apart_until else rate

    def _cold_allows(self, now: int, member: Member, size: float) -> bool:
        """Whether a tunnel is within this relay's share of a cold member's budget.

        It grows with time and is spent a tunnel at a time. It starts by chance below one: hundreds of relays
        come to their first at different times, and together keep the pace that one alone would keep. Each
        tunnel brings at most what has grown since the cell's last one usually comes, and the first no less:
        by time alone most of the budget would lie with those of dozens of relays that nobody comes to.
        """
        facts = self.facts
        if not self._is_cold(now, member):
            return True
        part = facts.cold_from + (1 - facts.cold_from) * (now - member.started) / facts.warm_within
        gap = self.ready / len(self.cells[member.cell]) / max(self._arrivals_a_second(now), 0.01)
        pace = COLD_CARE * facts.fall_multiple * part * self.rate
        member.credit = min(member.credit + pace * min((now - member.credit_at) / SECOND, gap), 1.0 + size)
        member.credit_at = now
        return member.credit >= 1.0 and size <= COLD_HEAVY

    def _usual_load(self, now: int, profile: int) -> float:
        work, count = self.loads[profile]
        if count.read(now) > 0.1:
            return work.read(now) / count.read(now)
        count = sum(pair[1].read(now) for pair in self.loads)
        return sum(pair[0].read(now) for pair in self.loads) / count if count > 0.1 else 0.0

    def _size(self, now: int, tun: Tunnel) -> float:
        """A tunnel's load against the usual one."""
        count = sum(pair[1].read(now) for pair in self.loads)
        usual = sum(pair[0].read(now) for pair in self.loads) / count if count > 0.1 else 0.0
        # The set-up is work too, however light the connection.
        return max(0.1, tun.load / usual) if usual and tun.load else 1.0

    # -- placing a tunnel ------------------------------------------------------------------------

    def tunnel_arrived(self, now: int, tun_id: int, profile: int, tenant: int | None, key: str | None,
                       group: str | None, time_budget: int, hint: float | None, returning: bool) -> None:
        if hint is not None:
            self._learn_load(now, profile, hint)
        tun = Tunnel(profile, tenant, key, group, now + time_budget,
                     hint if hint is not None else self._usual_load(now, profile))
        tun.look_until = now + int(LOOK_PART * min(self.facts.profiles[profile].setup_goal, time_budget))
        self.tuns[tun_id] = tun
        self.arrivals.add(now, 1)
        # A storm of returning clients says nothing of what is asked for.
        if not returning:
            self.asked_for[profile].add(now, 1)
        self._place(now, tun_id, tun)

    def _learn_load(self, now: int, profile: int, load: float) -> None:
        work, count = self.loads[profile]
        work.add(now, load)
        count.add(now, 1)

    def _place(self, now: int, tun_id: int, tun: Tunnel) -> None:
        # What all setups need answers none when all press it: no more go out than it was seen to bear.
        crowded = 0 < self.stop_by <= now or (self.in_flight >= self.window and self._is_shared(now))
        member, rule = (None, "") if crowded else self._pick(now, tun)
        if member is None:
            self._give_up(now, tun_id, tun)
            return
        if self._wants_look(now, tun, member):
            tun.looks += 1
            self.looking[tun_id] = member.ep
            self._ask(now, member)
            self.host.wake(tun.look_until - now, LOOK_TOKEN)
            return
        self.by_rule[rule] += 1
        timeout = self._patience(now, tun)
        member.credit -= self._size(now, tun)
        tun.ep, tun.sent_at, tun.out = member.ep, now, True
        tun.setups += 1
        tun.tried.append(member.ep)
        self._hold(now, tun_id, tun, member)
        member.pending += 1
        self.in_flight += 1
        self.host.send(tun_id, member.ep, timeout)

    def _wants_look(self, now: int, tun: Tunnel, member: Member) -> bool:
        """Whether the chosen member's flag is too old to go by.

        With steady probes one member is seen once in as many seconds as there are members, and a relay
        among hundreds places a tunnel there more seldom still: most flags would be guesses. So the report
        is fetched when it is needed, and the ordinary path decides again by what it says.
        """
        return (self.facts.probes and tun.looks < LOOKS and now <= tun.look_until - MS
                and now - member.seen_at > FRESH and not self._is_cold(now, member))

    def _wait_no_longer(self, now: int, waiting: list[int]) -> None:
        for tun_id in waiting:
            if self.looking.pop(tun_id, None) is not None:
                self._place(now, tun_id, self.tuns[tun_id])

    def _look_no_longer(self, now: int) -> None:
        """What does not answer a probe in time is no better at taking a tunnel.

        A host may count in coarser units and wake a little early; a tunnel passed over then would be lost.
        """
        late = {tun: ep for tun, ep in self.looking.items() if now > self.tuns[tun].look_until - MS}
        for ep in late.values():
            self.members[ep].full_until = max(self.members[ep].full_until, now + BUSY_HOLD)
        self._wait_no_longer(now, list(late))

    def _pick(self, now: int, tun: Tunnel) -> tuple[Member | None, str]:
        """The ordinary path, and the departures for when its cell has no member to offer."""
        fleet = self._fleet(now)
        limit = min(max(fleet, BUSY_FLOOR), BUSY_CEILING)
        shares = self.facts.grouped and tun.group is not None
        if shares and fleet > SPARE and self._fits(tun):
            limit = DROWNING
        self._rank_cells(tun)
        size = self._size(now, tun)
        yields = tun.setups == 0 and self._gives_way(now, tun)
        fallback: list[Member] = []
        last: list[Member] = []
        drowning = 0
        for place, cell in enumerate(tun.cells):
            ranked = tun.ranked.get(cell) if shares else self.cells[cell]
            if ranked is None:
                ranked = tun.ranked[cell] = sorted(
                    self.cells[cell], key=lambda member: self._group_rank(tun, member))
            members = [member for member in ranked if self._may_follow(now, tun, member)
                       and self._cold_allows(now, member, size)]
            if yields:
                # A full fleet's cold members still have a budget that nobody else's tunnels need.
                members = [member for member in members if self._is_cold(now, member)]
            sound = [member for member in members if not self._is_out(now, member)]
            free = [member for member in sound if not self._is_busy(now, member, limit)]
            mean = sum(member.open for member in ranked) / len(ranked)
            if free:
                # What a cold member may be sent is little and soon lapses, so it goes before the others.
                free.sort(key=lambda member: not self._is_cold(now, member))
                for member in free:
                    together = member.groups[tun.group] if shares else 0
                    if self._standing_count(now, member, mean) - together <= max(1.0, SKIP_FACTOR * mean):
                        return member, "spill" if place else "rank" if member is free[0] else "skip"
                return min(free, key=lambda member: self._standing_count(now, member, mean)), "skip"
            # A cell may be full while others have room, as keys spread unevenly: the key's next cell.
            fallback = fallback or [(self._standing_count(now, member, mean), rank, member)
                                    for rank, member in enumerate(sound) if now >= member.full_until
                                    and self._surely(now, member) <= DROWNING]
            drowning += len(sound)
            last += members
        if fallback:
            return min(fallback)[2], "fewest"
        if drowning or not last:
            # Clients that are dropped come again at once, and their set-ups keep the backlog where it is.
            return None, ""
        return min(last, key=lambda member: (member.out_until, member.tie)), "last"

    def _rank_cells(self, tun: Tunnel) -> None:
        if tun.listing == self.listing:
            return
        home = (tun.group if self.facts.grouped else None) or tun.key or str(self.chance())
        # Where a crossing costs dear, a cell elsewhere comes after those of this relay's own location. Not
        # while that is nearly full: a group that lies in both locations is paid for in both.
        near = self.facts.crossing >= DEAR and 0 <= self.nearby < SPARE
        tun.listing, tun.seed, tun.ranked = self.listing, digest_of(home), {}
        tun.cells = sorted(self.cells, key=lambda cell: (
            near and self.cells[cell][0].zone != self.facts.zone,
            len(self.cells[cell]) / math.log(draw_of(tun.seed, cell))))[:SPILL]

    def _fits(self, tun: Tunnel) -> bool:
        """Whether a group is small enough for one member, as far as this relay's own connections tell."""
        more = self.groups[tun.group] - 1
        return more * self.ready * max(self.fleet, 0.0) <= FITS * len(self.tuns)

    def _group_rank(self, tun: Tunnel, member: Member) -> float:
        """Its group's order of a cell's members, the same at every relay."""
        return member.weight / math.log(draw_of(tun.seed, member.mark))

    def _standing_count(self, now: int, member: Member, mean: float) -> float:
        if member.asked < 0 or self._is_cold(now, member):
            return max(mean, member.open)
        return member.open

    def _may_follow(self, now: int, tun: Tunnel, member: Member) -> bool:
        """The second rule: where an effect may have happened, only its dedup group may see the tunnel."""
        if member.ep in tun.tried and len(tun.tried) < len(self.members):
            return False
        if tun.bound < 0:
            return True
        row = self.facts.profiles[tun.profile]
        if row.effect is Effect.REPEATABLE:
            return True
        if row.effect is Effect.ONCE_ONLY or now >= tun.bound_at + row.window:
            return False
        first = self.members[tun.bound]
        return (row.dedup is Dedup.ALL or (row.dedup is Dedup.ZONE and first.zone == member.zone)
                or (row.dedup is Dedup.CELL and first.cell == member.cell))

    def _may_decline(self, tun: Tunnel) -> bool:
        row = self.facts.profiles[tun.profile]
        return (tun.bound < 0 or row.effect is Effect.REPEATABLE
                or (row.effect is Effect.REFERENCED and row.dedup is Dedup.ALL))

    def _patience(self, now: int, tun: Tunnel) -> int:
        """The set-up's time-out: a hung backend must leave time for another one."""
        row = self.facts.profiles[tun.profile]
        left = max(0, tun.give_up - now)
        if row.effect is Effect.ONCE_ONLY or tun.setups + 1 >= self.facts.most_setups or self._is_shared(now):
            return left
        count, mean, spread = (fading.read(now) for fading in self.setup_time)
        wait = 0.5 * row.setup_goal
        if count > 0.5:
            wait = max(0.35 * row.setup_goal, mean / count + 6 * spread / count)
        return left if wait > 0.7 * left else int(wait)

    def _gives_way(self, now: int, tun: Tunnel) -> bool:
        """Whether a tunnel is in the part of the load that gives way, which is 0 unless the fleet is full.

        Tunnels are lined up by credit for their load, those of one profile by a draw from their key: the
        same clients are told no each time, and the others are left in peace.
        """
        if not self.yielding:
            return False
        start, width = self.line[tun.profile]
        # A group gives way whole: what it shares is paid for until the last of it has gone.
        who = (tun.group if self.facts.grouped else None) or tun.key
        place = start + width * (draw_of(digest_of(who), LINE_SALT) if who else self.chance())
        if self._over_share(tun):
            place *= self.facts.over_share_credit
        return place < self.yielding

    def _line_up(self, now: int) -> None:
        """Each profile's part of the line, by what it asks of the fleet."""
        rows = self.facts.profiles
        usual = [self._usual_load(now, place) or 1.0 for place in range(len(rows))]
        weights = [usual[place] * (self.asked_for[place].read(now) + 0.1) for place in range(len(rows))]
        total = sum(weights)
        start = 0.0
        for place in sorted(range(len(rows)), key=lambda place: rows[place].credit / usual[place]):
            width = weights[place] / total
            self.line[place] = (start, width)
            start += width

    def _weigh(self, now: int, fleet: float) -> None:
        """Follows how much of the load must give way for the rest to be served."""
        if fleet > (SPARE if self.facts.grouped else FULL) or self.yielding:
            self._line_up(now)
            if self.facts.grouped:
                # Newcomers alone give way, and what is open goes in its own time: a part that adds up against
                # that would end at all of them, with room left.
                wanted = min(max(0.0, (fleet - SPARE) / (RELIEF - SPARE)), 1.0)
            else:
                wanted = max(0.0, 1 - (1 - self.yielding) * FULL / max(fleet, 0.1))
            self.yielding += (wanted - self.yielding) * TICK / SECOND
            if self.yielding < 0.005:
                self.yielding = 0.0

    def _over_share(self, tun: Tunnel) -> bool:
        quotas = self.facts.quotas
        if tun.tenant is None or tun.tenant >= len(quotas) or not quotas[tun.tenant]:
            return False
        return self.tenant_open[tun.tenant] >= quotas[tun.tenant] / self.facts.relays

    def _give_up(self, now: int, tun_id: int, tun: Tunnel) -> None:
        """The final answer, at once; it says when to return where clients are told."""
        tun.over = True
        if len(tun.suspects) == 1:
            self._strike(now, tun.suspects[0])
        if self._may_decline(tun):
            self.host.decline(tun_id, int(self.facts.come_back_max * (0.5 + 0.5 * self.chance())))
        else:
            self.host.close_with_error(tun_id)
        if not tun.out:
            del self.tuns[tun_id]

    # -- what becomes of a tunnel ------------------------------------------------------------------

    def _hold(self, now: int, tun_id: int, tun: Tunnel, member: Member) -> None:
        member.open += 1
        member.load += tun.load
        member.tuns[tun_id] = tun
        self.holding[member.ep] = member
        self.tenant_open[tun.tenant] += 1
        if self.facts.grouped:
            member.groups[tun.group] += 1
            self.groups[tun.group] += 1
        member.lately.add(now, tun.load)

    def _release(self, now: int, tun_id: int, tun: Tunnel, member: Member) -> None:
        member.open -= 1
        member.load -= tun.load
        del member.tuns[tun_id]
        if not member.tuns:
            del self.holding[member.ep]
        self.tenant_open[tun.tenant] -= 1
        if self.facts.grouped:
            for held in (member.groups, self.groups):
                held[tun.group] -= 1
                if not held[tun.group]:
                    del held[tun.group]  # groups come and go for as long as a relay runs
        member.lately.add(now, -tun.load)

    def adopted(self, now: int, tun_id: int, profile: int, tenant: int | None, key: str | None,
                group: str | None, ep: int, hint: float | None) -> None:
        if hint is not None:
            self._learn_load(now, profile, hint)
        self.young_until = 0  # it has its share from the start
        self.asked_for[profile].add(now, 1)
        tun = Tunnel(profile, tenant, key, group, 0, hint or 0.0)
        tun.ep, tun.setups, tun.out, tun.opened_at = ep, 1, True, max(1, now)
        self.tuns[tun_id] = tun
        member = self.members.get(ep)
        if member is None:
            member = self.members[ep] = self.turns[ep] = Member(ep, self.chance())
            member.cell = member.zone = member.kind = member.mark = -1
            member.weight = 1.0
        self._hold(now, tun_id, tun, member)

    def opened(self, now: int, tun_id: int, took: int) -> None:
        tun = self.tuns.get(tun_id)
        if tun is None or not tun.out or tun.opened_at:
            return
        tun.opened_at = max(1, now)
        tun.ranked = {}  # thousands stay open for long
        member = self.members[tun.ep]
        member.pending -= 1
        member.strikes = 0
        for other in tun.suspects:
            self._strike(now, other)
        self.in_flight -= 1
        self.window += 1
        self.openings.add(now, 1)
        self._learn_setup(now, took)

    def _learn_setup(self, now: int, took: int) -> None:
        count, mean, spread = self.setup_time
        usual = mean.read(now) / count.read(now) if count.read(now) > 0.1 else took
        count.add(now, 1)
        mean.add(now, took)
        spread.add(now, abs(took - usual))

    def setup_ended(self, now: int, tun_id: int, ep: int, over: bool, outcome: Outcome, took: int,
                    report: LoadReport | None) -> None:
        tun = self.tuns.get(tun_id)
        member = self.members[ep]
        if report is not None:
            self._learn_report(now, member, report)
        if tun is None or not tun.out or tun.ep != ep:
            return
        self._release(now, tun_id, tun, member)
        tun.out = False
        if not tun.opened_at:
            member.pending -= 1
            self.in_flight -= 1
            if outcome is Outcome.NOT_SENT:
                member.credit += self._size(now, tun)
            if outcome not in NEVER_RAN and tun.bound < 0:
                tun.bound, tun.bound_at = ep, tun.sent_at
            self._learn_failure(now, tun, member, outcome, took)
        elif outcome is Outcome.RESET and member.standing is Standing.READY:
            # The server dropped a running connection: the design's third sign of a busy one.
            member.full_until = now + BUSY_HOLD
        if over or tun.over:
            del self.tuns[tun_id]
            return
        if tun.opened_at:
            self._give_up(now, tun_id, tun)
        else:
            self._try_again(now, tun_id, tun)

    def _learn_failure(self, now: int, tun: Tunnel, member: Member, outcome: Outcome, took: int) -> None:
        if outcome is Outcome.FULL:
            member.full_until = now + BUSY_HOLD
        elif outcome is Outcome.TIMEOUT:
            # Time-outs count as slow set-ups, or a slow shared store would never be waited for.
            self._learn_setup(now, 2 * took)
            self._strike(now, member)
        elif outcome is Outcome.CONNECT_FAILED:
            # No store stands between: in a lost location each fails by itself, and half of all setups do.
            self._set_aside(now, member)
        elif outcome in (Outcome.ERROR, Outcome.RESET):
            # What no member takes is to blame itself: one bad client could set the whole fleet aside.
            tun.suspects.append(member)

    def _try_again(self, now: int, tun_id: int, tun: Tunnel) -> None:
        row = self.facts.profiles[tun.profile]
        stormy = self.retries.read(now) > 3 + 0.5 * self.arrivals.read(now) or self._is_shared(now)
        spent = tun.bound >= 0 and row.effect is Effect.ONCE_ONLY
        if stormy or spent or tun.setups >= self.facts.most_setups or now >= tun.give_up:
            self._give_up(now, tun_id, tun)
            return
        self.retries.add(now, 1)
        self._place(now, tun_id, tun)

    def client_gone(self, now: int, tun_id: int) -> None:
        tun = self.tuns.get(tun_id)
        if tun is not None:
            tun.over = True
            if not tun.out:
                del self.tuns[tun_id]
                self.looking.pop(tun_id, None)  # nobody waits for that look, so it can't be late

    def load_told(self, now: int, tun_id: int, load: float) -> None:
        tun = self.tuns.get(tun_id)
        if tun is None or not tun.out:
            return
        self._learn_load(now, tun.profile, load)
        member = self.members[tun.ep]
        member.load += load - tun.load
        tun.load = load

    def delay_told(self, now: int, ep: int, delay: int) -> None:
        member = self.members[ep]
        member.delay, member.delay_at = delay, now
        if self.facts.tightest and delay > self.facts.tightest // 2:
            # Told at once, where a report may be a round of probes old: it counts as load over the threshold.
            member.full_until = max(member.full_until, now + 1500 * MS)

    # -- probes ----------------------------------------------------------------------------------

    def probed(self, now: int, ep: int, answered: bool, report: LoadReport) -> None:
        member = self.members[ep]
        if answered:
            self._learn_report(now, member, report)
        else:
            # Too busy to answer, hung or gone: the list would say so seconds later, if at all.
            member.full_until = max(member.full_until, now + BUSY_HOLD)
        self._wait_no_longer(now, [tun_id for tun_id, at in self.looking.items() if at == ep])

    def _learn_report(self, now: int, member: Member, report: LoadReport) -> None:
        member.seen_at = now
        asked = report.asked if report.asked is not None else report.busy_share
        if asked is None:
            return
        if report.piled_up:
            asked = max(asked, 1.0 + report.piled_up / SECOND)
        member.asked = asked
        member.load_then = member.load - max(0.0, member.lately.read(now))
        if now < self.apart_until and self.capacity[member.kind][1].read(now) >= 0.5:
            return  # this relay holds little of what the report tells of, and would take that for weakness
        member.shown[0].add(now, member.load_then * self.facts.relays)
        member.shown[1].add(now, asked)
        if member.load > 0 and not self._is_cold(now, member) and 0.05 < asked < SOUND_LOAD:
            own, told = self.capacity[member.kind]
            own.add(now, member.load * self.facts.relays)
            told.add(now, asked)

    def _probe(self, now: int) -> None:
        if not self.ready or not self.facts.probes:
            return
        every = self._probe_every(now)
        if now >= self.next_probe:
            self.next_probe = now + every
            self._ask(now, self._next_turn(now))
        # A member in trouble is looked at again before its turn: a whole round is too long to wait for news.
        # Only those whose clients this relay holds: hundreds of relays would ask the sick one together.
        doubtful = [member for member in self.holding.values()
                    if now - member.probe_at >= every and member.standing is Standing.READY and (
                        member.strikes or max(member.asked, self._asked(now, member)) > DROWNING
                        or now < member.full_until)]
        # One in the time of a steady probe: in a storm that all relays feel, more of them cost the fleet more
        # than the news is worth.
        if doubtful and now >= self.next_doubt:
            self.next_doubt = now + every
            self._ask(now, min(doubtful, key=lambda member: (member.probe_at, member.tie)))

    def _next_turn(self, now: int) -> Member:
        """The longest unseen, which meets new members soon, with a head start for those with clients here."""
        first = next(member for member in self.turns.values() if member.standing is Standing.READY)
        held = min((member for member in self.holding.values() if member.standing is Standing.READY),
                   key=lambda member: (member.probe_at, member.tie), default=first)
        return held if HELD_SOONER * (now - held.probe_at) > now - first.probe_at else first

    def _probe_every(self, now: int) -> int:
        """The pace of steady probes: a relay that places few tunnels needs few, and has many beside it."""
        if not self.facts.delays_told:
            # Only a probe tells that a backend has turned slow, and open tunnels wait for it, not new ones.
            return int(min(max(PROBE_EVERY, HELD_SEEN / max(1, len(self.holding))), PROBE_SELDOM))
        probes = PROBES_A_TUNNEL * self._arrivals_a_second(now)
        return int(min(max(PROBE_EVERY, SECOND / max(probes, 0.1)), PROBE_SELDOM))

    def _arrivals_a_second(self, now: int) -> float:
        life = self.arrivals.life
        # A relay that has just started has not seen that long.
        seen = life * (1 - math.exp((self.facts.now - now - MS) / life))
        return self.arrivals.read(now) * SECOND / seen

    def _ask(self, now: int, member: Member) -> None:
        member.probe_at = now
        self.turns[member.ep] = self.turns.pop(member.ep)
        self.host.probe(member.ep)

    # -- time ------------------------------------------------------------------------------------

    def woke(self, now: int, token: int) -> None:
        if token == LIST_TOKEN:
            self.host.watch()
            return
        if token == LOOK_TOKEN:
            self._look_no_longer(now)
            return
        self.host.wake(TICK, TICK_TOKEN)
        self.arrival_rate = self._arrivals_a_second(now) / max(1, self.ready)
        self._probe(now)
        if now >= self.next_log:
            self.next_log = now + LOG_EVERY
            self.host.log("placements " + " ".join(f"{rule} {count}" for rule, count in self.by_rule.items()))
        if self.stop_by:
            self._empty(now, self.tuns, self.stop_by)
            return
        for member in list(self.holding.values()):
            if member.standing is Standing.DRAINING:
                self._empty(now, member.tuns, member.drain_by)
        self._relieve(now)

    def stopping(self, now: int, within: int) -> None:
        """It ends or is out of service: all are sent away by then, and who comes later is declined."""
        self.stop_by, self.apart_until = now + within, math.inf

    def staying(self, now: int) -> None:
        """It is back in service, and who is still here stays. It holds less than its share for a while."""
        self.stop_by, self.young_until, self.apart_until = 0, now + YOUNG, now + YOUNG

    def silent(self, now: int, tun_id: int) -> None:
        """Lines on an open tunnel get no answer: a hung or vanished backend, of which nothing else tells."""
        tun = self.tuns.get(tun_id)
        if tun is not None and tun.opened_at and not tun.moved:
            self._move(tun_id)

    def _empty(self, now: int, tuns: dict[int, Tunnel], by: int) -> None:
        """Moves a tick's part of the tunnels: all are to be gone by then, and not come back as one wave."""
        staying = [tun_id for tun_id, tun in tuns.items() if tun.opened_at and not tun.moved]
        # One among dozens of relays holds one or two there. Rounded up, all would send them away in one tick.
        for tun_id in staying[:int(len(staying) * TICK / max(TICK, by - now) + self.chance())]:
            self._move(tun_id)

    def _relieve(self, now: int) -> None:
        """Moves a few connections off members that are past serving them, while others have room."""
        fleet = self._fleet(now)
        self._weigh(now, fleet)
        if fleet < 0 or self._is_shared(now):
            return
        if self.yielding > 0.02 and fleet > FULL and not self.facts.grouped:
            self._shed(now)
        if fleet > (SPARE if self.facts.grouped else ROOM):
            return
        sick = []
        for member in self.holding.values():
            if member.standing is not Standing.READY:
                continue
            # A move costs its client: a guess at what changed since the report brings a look, never a move.
            asked = min(member.asked, self._asked(now, member))
            late = now - member.delay_at < 1500 * MS and member.delay > self.facts.tightest > 0
            target = RELIEF
            if late:
                # Work is piled up there: until it is done nobody there is served, however little is asked.
                asked = max(asked, 1.0)
                target = max(0.0, RELIEF - member.delay / DRAIN_TIME)
            if asked >= DROWNING and (late or now - member.seen_at < 3 * SECOND):
                # Each relay takes the same part of its own load away: together they take it once.
                sick.append((1 - target / asked, member))
        sick.sort(key=lambda pair: pair[0], reverse=True)
        # A wave of clients coming back at once can drown what all setups need.
        left = MOVES_A_TICK
        for part, member in sick:
            left -= self._move_from(now, member, part * member.load, left)

    def _shed(self, now: int) -> None:
        """Ends, in order, open connections that would be declined if they came now.

        Past its capacity a backend serves none of its clients; the few that earn least for their load
        make room for all the others.
        """
        yielding = [(self._asked(now, member) + (now < member.full_until), tun.load, tun_id)
                    for member in self.holding.values() for tun_id, tun in member.tuns.items()
                    if self._is_settled(now, tun) and self._gives_way(now, tun)]
        yielding.sort(reverse=True)
        most = min(MOVES_A_TICK, int(SHED_PART * len(self.tuns) + self.chance()))
        for _, _, tun_id in yielding[:most]:
            self._move(tun_id)

    def _is_settled(self, now: int, tun: Tunnel) -> bool:
        return tun.opened_at > 0 and now - tun.opened_at > 2 * SECOND and not tun.moved

    def _move(self, tun_id: int) -> None:
        self.tuns[tun_id].moved = True
        self.host.move(tun_id)

    def _strays(self, tun: Tunnel, member: Member) -> tuple[int, float]:
        """How far down its group's order a member is: all relays move the same groups."""
        if not self.facts.grouped or tun.group is None:
            return 0, 0.0
        self._rank_cells(tun)
        place = tun.cells.index(member.cell) if member.cell in tun.cells else SPILL
        return place, self._group_rank(tun, member)

    def _move_from(self, now: int, member: Member, surplus: float, most: int) -> int:
        settled = [(self._strays(tun, member), tun.load, tun_id) for tun_id, tun in member.tuns.items()
                   if self._is_settled(now, tun)]
        settled.sort(reverse=True)
        moved = 0
        # One among hundreds holds more in one connection than its part of the surplus. So a draw settles it,
        # once for each report that can show what the last draws did: together the relays move their part.
        shows = member.seen_at - member.eased_at > EASE
        draws = shows and len(settled) <= FEW_HELD
        for _, load, tun_id in settled:
            if moved >= most or load <= 0:
                break
            if load > surplus and not (draws and self.chance() * load < surplus):
                continue
            draws = draws and load <= surplus
            surplus = max(0.0, surplus - load)
            moved += 1
            self._move(tun_id)
        if shows:
            member.eased_at = now
        return moved
