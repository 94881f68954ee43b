"""Membership in virtual time: the state machine alone, fleets under faults drawn by seed, and all
combinations of losses, delays and duplicates of a few datagrams.
"""

from __future__ import annotations

import msgspec
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from pytest import mark, raises

from cedarledge.model.command import model
from cedarledge.model.explore import CASES, delivery_sequences, explore
from cedarledge.model.peers import (
    FAULT_KINDS,
    FIRST_FAULT_AT,
    Fault,
    Fleet,
    InvariantError,
    run_seed,
    shrink_failure,
)
from cedarledge.model.simulation import Link
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

OWN_ADDRESS, OTHER_ADDRESS = "10.0.0.1:7", "10.0.0.2:7"


class Host:
    """Records what the state machine does."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Message]] = []
        self.changes: list[tuple[str, State | None, State | None]] = []
        self.name_conflicts = 0

    def send(self, address: str, data: bytes) -> None:
        assert len(data) <= MAX_DATAGRAM_BYTES
        self.sent.append((address, decode(data)))

    def set_timer(self, delay: int, token: int) -> None:
        assert delay >= 0

    def changed(self, name: str, before: State | None, after: State | None, why: str) -> None:
        self.changes.append((name, before, after))

    def name_conflict(self, address: str) -> None:
        self.name_conflicts += 1


def started_membership(**arguments: object) -> tuple[Host, Membership]:
    host = Host()
    peers = Membership(host, "alba", "a", OWN_ADDRESS, **arguments)
    peers.start(0)
    return host, peers


def datagram(kind: Kind, name: str = "b", *updates: MemberUpdate, **fields: object) -> bytes:
    """A message of the member `name`, with fields in place of the usual ones."""
    values = {
        "format": FORMAT,
        "fleet": "alba",
        "name": name,
        "address": OTHER_ADDRESS,
        "instance_id": 5,
        "incarnation": 0,
        "updates": list(updates),
    } | fields
    return encode(Message(kind=kind, **values))


@given(st.integers(0, COUNTER_MODULUS - 1), st.integers(1, COUNTER_MODULUS // 2 - 1))
def test_counters_compare_correctly_across_the_wraparound(counter: int, step: int) -> None:
    assert is_newer((counter + step) % COUNTER_MODULUS, counter)
    assert not is_newer(counter, (counter + step) % COUNTER_MODULUS) and not is_newer(counter, counter)


@settings(max_examples=300)
@given(
    st.one_of(
        st.binary(max_size=1400), st.lists(st.one_of(st.integers(0, 99), st.text(), st.none())).map(encode)
    )
)
def test_a_malformed_datagram_is_counted_and_not_answered(data: bytes) -> None:
    host, peers = started_membership()
    peers.received(1, data)
    assert sum(peers.counts.values()) == 1 and not host.sent and not peers.members


def test_foreign_old_public_and_misdirected_messages_are_counted_separately_and_dropped() -> None:
    host, peers = started_membership()
    valid = msgspec.msgpack.decode(datagram(Kind.PING, target="a"))
    for index, value, counter in (
        (1, "other", "foreign"),
        (0, 0, "old"),
        (4, "8.8.8.8:7", "malformed"),
        (4, "10.0.0.2", "malformed"),
        (8, "c", "misdirected"),
        (6, COUNTER_MODULUS, "malformed"),
    ):
        peers.received(1, encode([*valid[:index], value, *valid[index + 1 :]]))
        assert peers.counts[counter] and not host.sent and not peers.members, (index, value)
        peers.counts[counter] = 0
    peers.received(1, datagram(Kind.NEWS, "b", MemberUpdate("c", "1.2.3.4:7", 1, 0, State.ALIVE)))
    assert peers.counts["malformed"] == 1 and not peers.members


def test_a_newer_format_with_additional_fields_is_decoded() -> None:
    host, peers = started_membership()
    update = [
        *msgspec.msgpack.decode(encode(MemberUpdate("c", "10.0.0.3:7", 1, 0, State.ALIVE))),
        "new",
        {"x": 1},
    ]
    valid = msgspec.msgpack.decode(datagram(Kind.PING, target="a"))
    peers.received(1, encode([FORMAT + 1, *valid[1:-1], [update], "more", 7]))
    assert sorted(peers.members) == ["b", "c"] and host.sent[0][1].kind is Kind.ACK


def test_addresses_that_are_neither_loopback_nor_private_are_rejected() -> None:
    for address in (
        "8.8.8.8:7",
        "0.0.0.0:7",
        "172.32.0.1:7",
        "host:7",
        "10.0.0.1:0",
        "10.0.0.1:-1",
        "10.0.0.1",
    ):
        with raises(ValueError):
            parse_private_address(address)
        with raises(ValueError):
            started_membership(seeds=(address,))
    assert started_membership(seeds=(OWN_ADDRESS, OTHER_ADDRESS))[1].seeds == (OTHER_ADDRESS,), (
        "the own address is not used as a seed"
    )


@given(st.permutations(range(5)), st.integers(0, COUNTER_MODULUS - 1))
def test_the_newer_version_of_a_metadata_field_wins_in_any_order_of_arrival(
    order: list[int], first: int
) -> None:
    _, peers = started_membership()
    for turn in order:
        metadata = {
            "tunnels": ((first + turn) % COUNTER_MODULUS, turn),
            f"only-{turn}": ((first + turn) % COUNTER_MODULUS, turn),
        }
        peers.received(
            1,
            datagram(Kind.NEWS, "c", MemberUpdate("b", OTHER_ADDRESS, 9, 0, State.ALIVE, metadata=metadata)),
        )
    merged = {name: value for name, (_, value) in peers.members["b"].metadata.items()}
    assert merged == {"tunnels": 4} | {f"only-{turn}": turn for turn in range(5)}


def test_metadata_is_bounded_and_a_change_that_is_too_large_has_no_effect() -> None:
    _, peers = started_membership()
    peers.set_metadata(1, zone="z")
    with raises(ValueError, match="480 bytes"):
        peers.set_metadata(2, **{f"field-{number}": "x" * 60 for number in range(9)})
    assert list(peers.metadata) == ["zone"]


def test_a_member_that_keeps_adding_fields_neither_grows_without_bound_nor_blocks_a_full_exchange() -> None:
    host, peers = started_membership()
    name = "n" * 64
    for turn in range(200):
        metadata = {f"field-{turn}-{part}": (turn, "ä" * 64) for part in range(4)}
        peers.received(
            1,
            datagram(
                Kind.NEWS,
                "b",
                MemberUpdate(name, OTHER_ADDRESS, 9, 0, State.SUSPECT, accuser="x" * 64, metadata=metadata),
            ),
        )
    assert len(encode(peers.members[name].metadata)) <= MAX_METADATA_BYTES and peers.counts["too_many"] > 100
    host.sent.clear()
    peers.received(1 + SECOND, datagram(Kind.SYNC, "f" * 64, digest=1))
    assert any(update.name == name for _, message in host.sent for update in message.updates)
    valid = msgspec.msgpack.decode(datagram(Kind.PING, target="a"))
    peers.received(1, encode([*valid[:3], "ä", *valid[4:]]))
    nested = encode(valid)
    peers.received(1, bytes([nested[0] + 1]) + nested[1:] + b"\x91" * 1000 + b"\x90")
    assert peers.counts["malformed"] == 2


def test_an_update_about_a_death_is_sent_before_metadata() -> None:
    host, peers = started_membership()
    for number in range(100):
        peers.received(
            1, datagram(Kind.NEWS, "b", MemberUpdate(f"c{number}", f"10.0.1.{number}:7", 1, 0, State.ALIVE))
        )
    while peers._broadcasts:
        peers.received(1, datagram(Kind.PING, target="a"))
    for number in range(100):
        metadata = {"tunnels": (1, number)}
        peers.received(
            1,
            datagram(
                Kind.NEWS,
                "b",
                MemberUpdate(f"c{number}", f"10.0.1.{number}:7", 1, 0, State.ALIVE, metadata=metadata),
            ),
        )
    peers.received(1, datagram(Kind.NEWS, "b", MemberUpdate("c5", "10.0.1.5:7", 1, 0, State.DEAD)))
    peers.received(1, datagram(Kind.PING, target="a"))
    first = host.sent[-1][1].updates[0]
    assert (first.name, first.state) == ("c5", State.DEAD)
    sent = len(host.sent)
    while peers._broadcasts:
        peers.received(1, datagram(Kind.PING, target="a"))
    transmitted = [update.name for _, message in host.sent[sent:] for update in message.updates]
    assert 0 < transmitted.count("c9") <= peers._max_transmissions() // 2, (
        "metadata is transmitted half as often"
    )


def test_of_two_relays_with_one_name_the_later_one_goes_silent() -> None:
    """Guards against a fault in which the relay that had the name first went silent."""
    for seed in range(6):
        fleet = Fleet(5, seed)
        fleet.simulation.run(FIRST_FAULT_AT)
        second = fleet._start_new_node("relay-3")
        fleet.simulation.run(FIRST_FAULT_AT + 6 * SECOND)
        assert (fleet.nodes[3].membership.silent, second.membership.silent) == (False, True)


def test_memory_is_bounded_for_any_senders() -> None:
    host, peers = started_membership()
    for number in range(MAX_MEMBERS + 50):
        peers.received(1, datagram(Kind.PING, f"x{number}", target="a"))
        peers.received(1, datagram(Kind.ASK, "b", target="y", target_address="10.0.0.9:7", number=number))
        host.sent.clear()
        host.changes.clear()
    assert len(peers.members) == MAX_MEMBERS and len(peers._relayed_probes) == MAX_RELAYED_PROBES
    assert peers.counts["too_many"] >= 50
    # A full exchange sends all members once; repeated requests within a short time get nothing more.
    for _ in range(20):
        peers.received(1 + SECOND, datagram(Kind.SYNC))
    exchanged = [message for _, message in host.sent if message.kind is Kind.NEWS]
    assert MAX_MEMBERS < sum(len(message.updates) for message in exchanged) < 1.1 * MAX_MEMBERS


@mark.parametrize("members,seeds", [(3, range(40)), (5, range(100, 130)), (9, range(12))])
def test_invariants_hold_under_randomly_drawn_faults(members: int, seeds: range) -> None:
    broken = [row for row in (run_seed(members, seed) for seed in seeds) if "broken" in row]
    assert not broken, broken[0]


@mark.parametrize("kind", FAULT_KINDS)
def test_after_each_kind_of_fault_all_views_agree_with_the_truth(kind: str) -> None:
    # Incarnations start one below the modulus, so they wrap around during the fault.
    members = (0, 1, 2) if kind in ("halves", "one_way") else (2,)
    fleet = Fleet(
        6,
        4,
        [Fault(kind, FIRST_FAULT_AT, FIRST_FAULT_AT + 12 * SECOND, members)],
        incarnation=COUNTER_MODULUS - 1,
    ).run()
    if kind in ("loss", "slow", "restart", "all_anew"):
        assert fleet.false_deaths == 0
    if kind == "kill":
        assert fleet.detection_times and max(fleet.full_detection_times) < 8 * SECOND


@mark.parametrize("case", CASES)
def test_every_loss_delay_and_duplication_of_the_first_datagrams_after_a_fault(case: str) -> None:
    assert not [failure for failure in (explore(case, fates) for fates in delivery_sequences(3)) if failure]


def test_a_fleet_of_100_with_churn_and_loss_declares_no_live_member_dead() -> None:
    trouble = Fault("churn", FIRST_FAULT_AT, FIRST_FAULT_AT + 30 * SECOND, (4,))
    fleet = Fleet(100, 1, [trouble], Link(loss=0.05)).run()
    assert fleet.false_deaths == 0 and max(fleet.detection_times) < 12 * SECOND
    assert max(place.largest_datagram for place in fleet.nodes) <= MAX_DATAGRAM_BYTES


def test_the_model_catches_a_state_machine_that_never_refutes_and_shortens_the_history(monkeypatch) -> None:
    monkeypatch.setattr(Membership, "_apply_own_update", lambda *_: None)
    troubles = (
        Fault("halves", FIRST_FAULT_AT, FIRST_FAULT_AT + 12 * SECOND, (0, 1)),
        Fault("restart", FIRST_FAULT_AT, FIRST_FAULT_AT + SECOND, (3,)),
    )
    fleet = Fleet(4, 1, troubles)
    with raises(InvariantError, match="misses"):
        fleet.run()
    assert max(place.sent for place in fleet.nodes) < 60 * fleet.simulation.now / SECOND, (
        "relays do not answer each other's corrections without end"
    )
    history = shrink_failure(4, 1, troubles)
    assert sum(" from " in line for line in history) == 1 and "BROKEN" in history[-1]


def test_an_accuser_that_misses_the_refutation_probes_again() -> None:
    """Guards against a fault of seed 108 with 8 members: an accuser that missed the refutation declared a
    live member dead."""
    fleet = Fleet(24, 1)
    fleet.simulation.run(FIRST_FAULT_AT)
    accuser, accused = fleet.nodes[4].membership, fleet.nodes[7]

    def fate(source: str, target: str, data: bytes) -> list[int] | None:
        about = any(update.name == accused.name for update in decode(data).updates)
        return [] if target == accuser.address and source != accused.address and about else None

    fleet.simulation.delivery_override = fate
    accuser.now = fleet.nodes[4].now
    accuser._suspect(accuser.members[accused.name], accuser.name)
    fleet.simulation.run(FIRST_FAULT_AT + 2 * SECOND)
    member = accuser.members[accused.name]
    assert (member.state, member.incarnation) == (State.ALIVE, 1)


def test_the_command_writes_figures_and_on_a_failure_the_seed_and_a_history(monkeypatch, tmp_path) -> None:
    arguments = ["peers", "--members", "4", "--seeds", "1-3", "--faults", "halves", "--jobs", "1"]
    out = tmp_path / "out.json"
    result = CliRunner().invoke(model, [*arguments, "--json", str(out)])
    figures = msgspec.json.decode(out.read_bytes())
    assert (
        result.exit_code == 0
        and (figures["seeds"], figures["broken"]) == (3, 0)
        and figures["bytes_per_s"]["p50"] > 0
    )
    monkeypatch.setattr(Membership, "_apply_own_update", lambda *_: None)
    result = CliRunner().invoke(model, arguments)
    assert result.exit_code == 1 and "seed 1: " in result.output and "  halves from " in result.output
    assert "BROKEN" in result.output
    result = CliRunner().invoke(model, ["peers", "--faults", "halvs"])
    assert result.exit_code == 2 and "known are kill, restart" in result.output
