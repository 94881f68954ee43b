"""Tables of numbered slots."""

from __future__ import annotations

from typing import Generic, TypeVar

Holder = TypeVar("Holder")


class FullError(Exception):
    """No slot is free."""


class Slots(Generic[Holder]):
    """A table of at most so many holders.

    A handle names a slot and the turn in which it was taken, so that what comes late for one holder never
    reaches the slot's next.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.used = 0
        self.lent = 0  # that another process has for now
        self._holders: list[Holder | None] = []
        self._turns: list[int] = []
        self._free: list[int] = []

    @property
    def left(self) -> int:
        return self.most - self.used - self.lent

    def take(self, holder: Holder) -> int:
        if self.left <= 0:
            raise FullError(f"all {self.most} slots are taken")
        if self._free:
            place = self._free.pop()
        else:
            place = len(self._holders)
            self._holders.append(None)
            self._turns.append(0)
        self._holders[place] = holder
        self.used += 1
        return self._turns[place] * self.most + place

    def get(self, handle: int) -> Holder | None:
        turn, place = divmod(handle, self.most)
        return self._holders[place] if place < len(self._turns) and self._turns[place] == turn else None

    def give_back(self, handle: int) -> None:
        turn, place = divmod(handle, self.most)
        if self._turns[place] != turn or self._holders[place] is None:
            raise KeyError(handle)
        self._holders[place] = None
        self._turns[place] += 1
        self._free.append(place)
        self.used -= 1

    def handles(self) -> list[int]:
        return [
            turn * self.most + place
            for place, turn in enumerate(self._turns)
            if self._holders[place] is not None
        ]
