"""Peers in virtual time: the machine alone, fleets under faults by seed, every fate of a few datagrams."""

from __future__ import annotations

import msgspec
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from pytest import mark, raises

from cedarledge.model.command import model
from cedarledge.model.explore import CASES, explore, histories
from cedarledge.model.peers import FAULTS, TROUBLE, BrokenError, Fleet, Trouble, play, shortest
from cedarledge.model.world import Lane
from cedarledge.peers.machine import MAX_MEMBERS, MAX_RELAYED_PROBES, Membership
from cedarledge.peers.messages import (
    COUNTER_MODULUS,
    FORMAT,
    MAX_DATAGRAM_BYTES,
    MAX_METADATA_BYTES,
    Kind,
    MemberUpdate,
    Message,
    State,
    decode,
    encode,
    is_newer,
    parse_private_address,
)
from cedarledge.terms import SECOND

ME, OTHER = "10.0.0.1:7", "10.0.0.2:7"


class Host:
    def __init__(self) -> None:
        self.sent: list[tuple[str, Message]] = []
        self.changes: list[tuple[str, State | None, State | None]] = []
        self.silenced = 0

    def send(self, address: str, data: bytes) -> None:
        assert len(data) <= MAX_DATAGRAM_BYTES
        self.sent.append((address, decode(data)))

    def set_timer(self, delay: int, token: int) -> None:
        assert delay >= 0

    def changed(self, name: str, before: State | None, after: State | None, why: str) -> None:
        self.changes.append((name, before, after))

    def name_conflict(self, address: str) -> None:
        self.silenced += 1


def one(**other: object) -> tuple[Host, Membership]:
    host = Host()
    peers = Membership(host, "alba", "a", ME, **other)
    peers.start(0)
    return host, peers


def said(kind: Kind, name: str = "b", *news: MemberUpdate, **other: object) -> bytes:
    told = {
        "format": FORMAT,
        "fleet": "alba",
        "name": name,
        "address": OTHER,
        "instance_id": 5,
        "incarnation": 0,
        "updates": list(news),
    } | other
    return encode(Message(kind=kind, **told))


@given(st.integers(0, COUNTER_MODULUS - 1), st.integers(1, COUNTER_MODULUS // 2 - 1))
def test_counts_go_on_past_their_wrap(count: int, step: int) -> None:
    assert is_newer((count + step) % COUNTER_MODULUS, count)
    assert not is_newer(count, (count + step) % COUNTER_MODULUS) and not is_newer(count, count)


@settings(max_examples=300)
@given(
    st.one_of(
        st.binary(max_size=1400), st.lists(st.one_of(st.integers(0, 99), st.text(), st.none())).map(encode)
    )
)
def test_what_is_no_message_is_counted_and_answered_by_nothing(data: bytes) -> None:
    host, peers = one()
    peers.received(1, data)
    assert sum(peers.counts.values()) == 1 and not host.sent and not peers.members


def test_foreign_old_public_and_misdirected_messages_are_told_apart_and_dropped() -> None:
    host, peers = one()
    good = msgspec.msgpack.decode(said(Kind.PING, target="a"))
    for place, value, count in (
        (1, "other", "foreign"),
        (0, 0, "old"),
        (4, "8.8.8.8:7", "malformed"),
        (4, "10.0.0.2", "malformed"),
        (8, "c", "misdirected"),
        (6, COUNTER_MODULUS, "malformed"),
    ):
        peers.received(1, encode([*good[:place], value, *good[place + 1 :]]))
        assert peers.counts[count] and not host.sent and not peers.members, (place, value)
        peers.counts[count] = 0
    peers.received(1, said(Kind.NEWS, "b", MemberUpdate("c", "1.2.3.4:7", 1, 0, State.ALIVE)))
    assert peers.counts["malformed"] == 1 and not peers.members


def test_a_newer_format_that_adds_fields_is_understood() -> None:
    host, peers = one()
    news = [
        *msgspec.msgpack.decode(encode(MemberUpdate("c", "10.0.0.3:7", 1, 0, State.ALIVE))),
        "new",
        {"x": 1},
    ]
    good = msgspec.msgpack.decode(said(Kind.PING, target="a"))
    peers.received(1, encode([FORMAT + 1, *good[1:-1], [news], "more", 7]))
    assert sorted(peers.members) == ["b", "c"] and host.sent[0][1].kind is Kind.ACK


def test_addresses_that_are_neither_loopback_nor_private_are_refused() -> None:
    for bad in ("8.8.8.8:7", "0.0.0.0:7", "172.32.0.1:7", "host:7", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1"):
        with raises(ValueError):
            parse_private_address(bad)
        with raises(ValueError):
            one(seeds=(bad,))
    assert one(seeds=(ME, OTHER))[1].seeds == (OTHER,), "a seed that is this relay itself is none"


@given(st.permutations(range(5)), st.integers(0, COUNTER_MODULUS - 1))
def test_the_newer_of_two_fields_wins_in_whatever_order_they_come(order: list[int], first: int) -> None:
    _, peers = one()
    for turn in order:
        told = {
            "tunnels": ((first + turn) % COUNTER_MODULUS, turn),
            f"only-{turn}": ((first + turn) % COUNTER_MODULUS, turn),
        }
        peers.received(1, said(Kind.NEWS, "c", MemberUpdate("b", OTHER, 9, 0, State.ALIVE, metadata=told)))
    held = {name: value for name, (_, value) in peers.members["b"].metadata.items()}
    assert held == {"tunnels": 4} | {f"only-{turn}": turn for turn in range(5)}


def test_a_record_is_bounded_and_what_is_too_large_changes_nothing() -> None:
    _, peers = one()
    peers.set_metadata(1, zone="z")
    with raises(ValueError, match="480 bytes"):
        peers.set_metadata(2, **{f"field-{number}": "x" * 60 for number in range(9)})
    assert list(peers.metadata) == ["zone"]


def test_a_teller_of_ever_new_fields_and_long_names_neither_grows_nor_hangs_an_exchange() -> None:
    host, peers = one()
    name = "n" * 64
    for turn in range(200):
        told = {f"field-{turn}-{place}": (turn, "ä" * 64) for place in range(4)}
        peers.received(
            1,
            said(
                Kind.NEWS,
                "b",
                MemberUpdate(name, OTHER, 9, 0, State.SUSPECT, accuser="x" * 64, metadata=told),
            ),
        )
    assert len(encode(peers.members[name].metadata)) <= MAX_METADATA_BYTES and peers.counts["too_many"] > 100
    host.sent.clear()
    peers.received(1 + SECOND, said(Kind.SYNC, "f" * 64, digest=1))
    assert any(news.name == name for _, message in host.sent for news in message.updates)
    good = msgspec.msgpack.decode(said(Kind.PING, target="a"))
    peers.received(1, encode([*good[:3], "ä", *good[4:]]))
    nested = encode(good)
    peers.received(1, bytes([nested[0] + 1]) + nested[1:] + b"\x91" * 1000 + b"\x90")
    assert peers.counts["malformed"] == 2


def test_news_of_a_death_goes_before_what_members_tell_of_themselves() -> None:
    host, peers = one()
    for number in range(100):
        peers.received(
            1, said(Kind.NEWS, "b", MemberUpdate(f"c{number}", f"10.0.1.{number}:7", 1, 0, State.ALIVE))
        )
    while peers._broadcasts:
        peers.received(1, said(Kind.PING, target="a"))
    for number in range(100):
        told = {"tunnels": (1, number)}
        peers.received(
            1,
            said(
                Kind.NEWS,
                "b",
                MemberUpdate(f"c{number}", f"10.0.1.{number}:7", 1, 0, State.ALIVE, metadata=told),
            ),
        )
    peers.received(1, said(Kind.NEWS, "b", MemberUpdate("c5", "10.0.1.5:7", 1, 0, State.DEAD)))
    peers.received(1, said(Kind.PING, target="a"))
    first = host.sent[-1][1].updates[0]
    assert (first.name, first.state) == ("c5", State.DEAD)
    sent = len(host.sent)
    while peers._broadcasts:
        peers.received(1, said(Kind.PING, target="a"))
    tellings = [news.name for _, message in host.sent[sent:] for news in message.updates]
    assert 0 < tellings.count("c9") <= peers._max_transmissions() // 2, "half as often"


def test_of_two_of_one_name_the_newcomer_gives_way() -> None:
    """Found by a run of the rig: the one whose name it was kept silent."""
    for seed in range(6):
        fleet = Fleet(5, seed)
        fleet.world.run(TROUBLE)
        double = fleet._anew("relay-3")
        fleet.world.run(TROUBLE + 6 * SECOND)
        assert (fleet.places[3].peers.silent, double.peers.silent) == (False, True)


def test_memory_is_bounded_whoever_sends() -> None:
    host, peers = one()
    for number in range(MAX_MEMBERS + 50):
        peers.received(1, said(Kind.PING, f"x{number}", target="a"))
        peers.received(1, said(Kind.ASK, "b", target="y", target_address="10.0.0.9:7", number=number))
        host.sent.clear()
        host.changes.clear()
    assert len(peers.members) == MAX_MEMBERS and len(peers._relayed_probes) == MAX_RELAYED_PROBES
    assert peers.counts["too_many"] >= 50
    # An exchange tells all there is, and not again at once for whoever repeats himself.
    for _ in range(20):
        peers.received(1 + SECOND, said(Kind.SYNC))
    exchanged = [message for _, message in host.sent if message.kind is Kind.NEWS]
    assert MAX_MEMBERS < sum(len(message.updates) for message in exchanged) < 1.1 * MAX_MEMBERS


@mark.parametrize("members,seeds", [(3, range(40)), (5, range(100, 130)), (9, range(12))])
def test_what_must_hold_holds_in_drawn_troubles(members: int, seeds: range) -> None:
    broken = [row for row in (play(members, seed) for seed in seeds) if "broken" in row]
    assert not broken, broken[0]


@mark.parametrize("kind", FAULTS)
def test_each_trouble_ends_in_one_true_view(kind: str) -> None:
    # Counts wrap while it lasts.
    who = (0, 1, 2) if kind in ("halves", "one_way") else (2,)
    fleet = Fleet(
        6, 4, [Trouble(kind, TROUBLE, TROUBLE + 12 * SECOND, who)], incarnation=COUNTER_MODULUS - 1
    ).run()
    if kind in ("loss", "slow", "restart", "all_anew"):
        assert fleet.false_deaths == 0
    if kind == "kill":
        assert fleet.detected and max(fleet.all_seen) < 8 * SECOND


@mark.parametrize("case", CASES)
def test_every_fate_of_the_first_datagrams_after_a_fault(case: str) -> None:
    assert not [said for said in (explore(case, fates) for fates in histories(3)) if said]


def test_a_fleet_of_a_hundred_with_churn_and_loss_holds_no_live_one_dead() -> None:
    trouble = Trouble("churn", TROUBLE, TROUBLE + 30 * SECOND, (4,))
    fleet = Fleet(100, 1, [trouble], Lane(loss=0.05)).run()
    assert fleet.false_deaths == 0 and max(fleet.detected) < 12 * SECOND
    assert max(place.largest for place in fleet.places) <= MAX_DATAGRAM_BYTES


def test_a_machine_that_never_refutes_is_caught_with_a_short_history(monkeypatch) -> None:
    monkeypatch.setattr(Membership, "_apply_own_update", lambda *_: None)
    troubles = (
        Trouble("halves", TROUBLE, TROUBLE + 12 * SECOND, (0, 1)),
        Trouble("restart", TROUBLE, TROUBLE + SECOND, (3,)),
    )
    fleet = Fleet(4, 1, troubles)
    with raises(BrokenError, match="misses"):
        fleet.run()
    assert max(place.sent for place in fleet.places) < 60 * fleet.world.now / SECOND, (
        "none answers an objection"
    )
    told = shortest(4, 1, troubles)
    assert sum(" from " in line for line in told) == 1 and "BROKEN" in told[-1]


def test_an_accuser_whom_the_refutation_does_not_reach_asks_again() -> None:
    """Found by seed 108 of eight members: it held a live one dead."""
    fleet = Fleet(24, 1)
    fleet.world.run(TROUBLE)
    accuser, accused = fleet.places[4].peers, fleet.places[7]

    def fate(source: str, target: str, data: bytes) -> list[int] | None:
        about = any(news.name == accused.name for news in decode(data).updates)
        return [] if target == accuser.address and source != accused.address and about else None

    fleet.world.fate = fate
    accuser.now = fleet.places[4].now
    accuser._suspect(accuser.members[accused.name], accuser.name)
    fleet.world.run(TROUBLE + 2 * SECOND)
    member = accuser.members[accused.name]
    assert (member.state, member.incarnation) == (State.ALIVE, 1)


def test_the_command_writes_figures_and_where_something_broke_the_seed_and_a_history(
    monkeypatch, tmp_path
) -> None:
    arguments = ["peers", "--members", "4", "--seeds", "1-3", "--faults", "halves", "--jobs", "1"]
    out = tmp_path / "out.json"
    done = CliRunner().invoke(model, [*arguments, "--json", str(out)])
    told = msgspec.json.decode(out.read_bytes())
    assert (
        done.exit_code == 0 and (told["seeds"], told["broken"]) == (3, 0) and told["bytes_per_s"]["p50"] > 0
    )
    monkeypatch.setattr(Membership, "_apply_own_update", lambda *_: None)
    done = CliRunner().invoke(model, arguments)
    assert done.exit_code == 1 and "seed 1: " in done.output and "  halves from " in done.output
    assert "BROKEN" in done.output
    done = CliRunner().invoke(model, ["peers", "--faults", "halvs"])
    assert done.exit_code == 2 and "known are kill, restart" in done.output
