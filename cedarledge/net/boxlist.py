"""The list of boxes as this relay has it: who is on it, where, and who is ready."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

from cedarledge.net.config import Address, address_of
from cedarledge.net.hearers import Hearers
from cedarledge.net.module import Module
from cedarledge.terms import MS, Listed, ListForm, Standing
from cedarledge.words import Indices, mark_of

PHASES = {"up": Standing.READY, "draining": Standing.DRAINING, "removed": Standing.GONE}


class BoxList:
    """Hands out the boxes' numbers, and passes each change on the moment it is read: the grace for drains
    runs from when discovery wrote it."""

    def __init__(self, module: Module, hearers: Hearers, settings: Mapping[str, Any]) -> None:
        self.module = module
        self.hearers = hearers
        self.eps = Indices()
        self.zones = Indices(settings.get("dcs"))
        self.kinds = Indices(settings.get("host_types"))
        self.addresses: dict[int, Address] = {}
        self.ready: set[int] = set()
        self.heard = False  # of discovery itself, not only what this relay was started with

    def entry(self, told: Mapping[str, Any]) -> Listed:
        """One entry in the module's terms. Raises KeyError, TypeError or ValueError for what is none."""
        # What the page does not name gets nothing new, as a draining one; the rest of the list still counts.
        standing = PHASES.get(told["phase"], Standing.DRAINING)
        ep = self.eps[told["id"]]
        if standing is not Standing.GONE:
            self.addresses[ep] = address_of(told["host_port"])
        return Listed(ep, int(told.get("cell") or 0), self.zones[told.get("locality")],
                      self.kinds[told.get("flavor")], float(told.get("size") or 0), standing,
                      int(told.get("up_since_ms") or 0) * MS, mark_of(told["id"]))

    def told(self, whole: bool, members: list[dict[str, Any]]) -> None:
        entries = [self.entry(told) for told in members]
        self.heard = True
        self.changed(ListForm.WHOLE if whole else ListForm.CHANGES, entries)

    def lost(self) -> None:
        self.module.tell(self.module.balancer.list_changed, ListForm.UNAVAILABLE, [])
        self.hearers.tell("listed", ListForm.UNAVAILABLE, [])

    def changed(self, form: ListForm, entries: list[Listed]) -> None:
        if form is not ListForm.CHANGES:
            self.ready.clear()
        self.ready -= {entry.ep for entry in entries}
        self.ready |= {entry.ep for entry in entries if entry.standing is Standing.READY}
        self.module.tell(self.module.balancer.list_changed, form, entries)
        self.hearers.tell("listed", form, entries)

    def set_aside(self, names: Collection[str]) -> None:
        """What the operator wants nothing new sent to. A box that is not on the list yet is known by its
        name."""
        self.module.knows(aside=frozenset(self.eps[name] for name in names))
