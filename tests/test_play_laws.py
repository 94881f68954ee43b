"""The command that runs the policy's laws with other seeds: its counts and its errors."""

from __future__ import annotations

import argparse
from collections.abc import Callable

import play_laws
import pytest
import test_policy_laws as laws

LAW = next(law for law in play_laws.LAWS if law.name == "used")


@pytest.fixture
def replace_body(monkeypatch: pytest.MonkeyPatch) -> Callable[[Callable[..., None]], None]:
    """Replaces the body of a law's test."""
    handle = getattr(laws, LAW.function).hypothesis
    return lambda body: monkeypatch.setattr(handle, "inner_test", body)


def test_the_command_covers_every_law_of_the_test_file() -> None:
    tests = {name for name in vars(laws) if name.startswith("test_")}
    assert {law.function for law in play_laws.LAWS} == tests


def test_a_law_that_is_always_violated_is_counted_in_every_draw(replace_body: Callable) -> None:
    def broken(**drawn: object) -> None:
        raise AssertionError("3 of 12, the first: none")

    replace_body(broken)
    result = play_laws.play(LAW, draw_seed=5, draws=8)
    assert result.draws == len(result.breaks) == 8
    assert {one.severity for one in result.breaks} == {3 / 12}
    assert all("Deployment(" in one.draw for one in result.breaks)


def test_the_same_seed_draws_the_same_deployments_and_another_seed_others(replace_body: Callable) -> None:
    def recorded(seed: int) -> list[str]:
        drawn: list[str] = []
        replace_body(lambda **values: drawn.append(repr(values)))
        play_laws.play(LAW, seed, draws=8)
        return drawn

    assert recorded(1) == recorded(1)
    assert recorded(1)[1:] != recorded(2)[1:]


def test_an_error_other_than_a_violation_ends_the_run(replace_body: Callable) -> None:
    def failing(**drawn: object) -> None:
        raise ZeroDivisionError

    replace_body(failing)
    with pytest.raises(ZeroDivisionError):
        play_laws.play(LAW, draw_seed=1, draws=3)


@pytest.mark.parametrize(
    ("broken", "draws", "low", "high"), [(0, 400, 0.0, 0.0095), (106, 300, 0.301, 0.409), (0, 0, 0.0, 1.0)]
)
def test_the_interval_is_the_wilson_interval(broken: int, draws: int, low: float, high: float) -> None:
    assert play_laws.interval(broken, draws) == pytest.approx((low, high), abs=0.001)


def test_seeds_are_parsed_from_ranges_and_single_numbers() -> None:
    assert play_laws.parse_seeds("1-3, 42") == [1, 2, 3, 42]


@pytest.mark.parametrize("text", ["", "a", "1-", "3-1", "1,,2"])
def test_an_invalid_list_of_seeds_is_an_argument_error(text: str) -> None:
    with pytest.raises(argparse.ArgumentTypeError):
        play_laws.parse_seeds(text)
