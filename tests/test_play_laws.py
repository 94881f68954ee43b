"""The command that plays the policy's laws over draws of its own: what it counts, and its errors."""

from __future__ import annotations

import argparse
from collections.abc import Callable

import play_laws
import pytest
import test_policy_laws as laws

LAW = next(law for law in play_laws.LAWS if law.name == "used")


@pytest.fixture
def statement(monkeypatch: pytest.MonkeyPatch) -> Callable[[Callable[..., None]], None]:
    """Puts another statement in the place of a law's own."""
    handle = getattr(laws, LAW.function).hypothesis
    return lambda stated: monkeypatch.setattr(handle, "inner_test", stated)


def test_every_law_of_the_test_file_can_be_played() -> None:
    stated = {name for name in vars(laws) if name.startswith("test_")}
    assert {law.function for law in play_laws.LAWS} == stated


def test_a_law_that_always_breaks_is_counted_in_every_draw(statement: Callable) -> None:
    def broken(**drawn: object) -> None:
        raise AssertionError("3 of 12, the first: none")

    statement(broken)
    result = play_laws.play(LAW, draw_seed=5, draws=8)
    assert result.draws == len(result.breaks) == 8
    assert {one.severity for one in result.breaks} == {3 / 12}
    assert all("Deployment(" in one.draw for one in result.breaks)


def test_the_same_seed_draws_the_same_deployments_and_another_seed_others(statement: Callable) -> None:
    def recorded(seed: int) -> list[str]:
        drawn: list[str] = []
        statement(lambda **values: drawn.append(repr(values)))
        play_laws.play(LAW, seed, draws=8)
        return drawn

    assert recorded(1) == recorded(1)
    assert recorded(1)[1:] != recorded(2)[1:]


def test_an_error_that_is_no_broken_law_ends_the_run(statement: Callable) -> None:
    def failing(**drawn: object) -> None:
        raise ZeroDivisionError

    statement(failing)
    with pytest.raises(ZeroDivisionError):
        play_laws.play(LAW, draw_seed=1, draws=3)


@pytest.mark.parametrize(
    ("broken", "draws", "low", "high"), [(0, 400, 0.0, 0.0095), (106, 300, 0.301, 0.409), (0, 0, 0.0, 1.0)]
)
def test_the_interval_is_wilsons(broken: int, draws: int, low: float, high: float) -> None:
    assert play_laws.interval(broken, draws) == pytest.approx((low, high), abs=0.001)


def test_seeds_are_read_as_ranges_and_single_ones() -> None:
    assert play_laws.seeds_of("1-3, 42") == [1, 2, 3, 42]


@pytest.mark.parametrize("text", ["", "a", "1-", "3-1", "1,,2"])
def test_a_bad_list_of_seeds_is_one_clear_error(text: str) -> None:
    with pytest.raises(argparse.ArgumentTypeError):
        play_laws.seeds_of(text)
