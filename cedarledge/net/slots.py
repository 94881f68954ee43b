"""Fixed-capacity table of numbered slots."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

Holder = TypeVar("Holder")


class NoFreeSlotError(Exception):
    """Every slot is in use or reserved."""


class SlotTable(Generic[Holder]):
    """Table of at capacity `capacity` holders.

    A handle encodes a slot and the slot's generation, which grows each time the slot is released. An event
    that arrives late for a former holder therefore never reaches the slot's next holder.
    """

    def __init__(self, capacity: int) -> None:
        """Creates an empty table; slots are allocated on demand."""
        self.capacity = capacity
        self.used = 0
        self.reserved = 0  # for another process of this relay, during a handover
        self.on_release: Callable[[], None] = lambda: None  # called after each release
        self._holders: list[Holder | None] = []
        self._generations: list[int] = []
        self._free_places: list[int] = []

    @property
    def free(self) -> int:
        """Number of slots that can be allocated; negative if more is reserved than is free."""
        return self.capacity - self.used - self.reserved

    def allocate(self, holder: Holder) -> int:
        """Stores the holder and returns its handle. Raises NoFreeSlotError."""
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
        """Returns the holder, or None if its slot was released."""
        generation, place = divmod(handle, self.capacity)
        return (
            self._holders[place]
            if place < len(self._generations) and self._generations[place] == generation
            else None
        )

    def release(self, handle: int) -> None:
        """Frees the slot of a handle. Raises KeyError if it is not allocated."""
        generation, place = divmod(handle, self.capacity)
        if self._generations[place] != generation or self._holders[place] is None:
            raise KeyError(handle)
        self._holders[place] = None
        self._generations[place] += 1
        self._free_places.append(place)
        self.used -= 1
        self.on_release()

    def handles(self) -> list[int]:
        """Returns the handles of all holders, in the order of their slots."""
        return [
            generation * self.capacity + place
            for place, generation in enumerate(self._generations)
            if self._holders[place] is not None
        ]
