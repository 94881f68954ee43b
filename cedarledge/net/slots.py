"""Tables of numbered slots."""

from __future__ import annotations

from typing import Generic, TypeVar

Holder = TypeVar("Holder")


class NoFreeSlotError(Exception):
    """No slot is free."""


class SlotTable(Generic[Holder]):
    """A table of at most `capacity` holders.

    A handle names a slot and the generation in which it was taken, so that what comes late for one holder
    never reaches the slot's next.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.used = 0
        self.reserved = 0  # that another process has for now
        self._holders: list[Holder | None] = []
        self._generations: list[int] = []
        self._free_places: list[int] = []

    @property
    def free(self) -> int:
        return self.capacity - self.used - self.reserved

    def allocate(self, holder: Holder) -> int:
        if self.free <= 0:
            raise NoFreeSlotError(f"all {self.capacity} slots are taken")
        if self._free_places:
            place = self._free_places.pop()
        else:
            place = len(self._holders)
            self._holders.append(None)
            self._generations.append(0)
        self._holders[place] = holder
        self.used += 1
        return self._generations[place] * self.capacity + place

    def get(self, handle: int) -> Holder | None:
        generation, place = divmod(handle, self.capacity)
        return (
            self._holders[place]
            if place < len(self._generations) and self._generations[place] == generation
            else None
        )

    def release(self, handle: int) -> None:
        generation, place = divmod(handle, self.capacity)
        if self._generations[place] != generation or self._holders[place] is None:
            raise KeyError(handle)
        self._holders[place] = None
        self._generations[place] += 1
        self._free_places.append(place)
        self.used -= 1

    def handles(self) -> list[int]:
        return [
            generation * self.capacity + place
            for place, generation in enumerate(self._generations)
            if self._holders[place] is not None
        ]
