"""The list of boxes as this relay has it: who is on it, where, and who is ready."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

from cedarledge.net.config import Address, parse_address
from cedarledge.net.observers import Observers
from cedarledge.net.policy_host import RelayPolicyHost
from cedarledge.net.start_times import StartTimes
from cedarledge.settings import Indices, stable_hash
from cedarledge.terms import MS, BackendEntry, BackendState, ListForm

PHASES = {"up": BackendState.READY, "draining": BackendState.DRAINING, "removed": BackendState.GONE}


def _unix_start(told: Mapping[str, Any]) -> int:
    """When an entry's backend started, in Unix time, ns; 0: long ago. Raises ValueError or TypeError."""
    return int(told.get("up_since_ms") or 0) * MS


class BackendRegistry:
    """Hands out the boxes' numbers, and passes each change on the moment it is read: the grace for drains
    runs from when discovery wrote it. What operators say of a box is merged in here: one that they have taken
    out reaches the module as one that drains, whatever the list says of it."""

    def __init__(
        self, policy_host: RelayPolicyHost, observers: Observers, settings: Mapping[str, Any]
    ) -> None:
        self.policy_host = policy_host
        self.observers = observers
        self.backend_ids = Indices()
        self.zones = Indices(settings.get("dcs"))
        self.host_types = Indices(settings.get("host_types"))
        self.addresses: dict[int, Address] = {}  # of all that a list has ever named
        self.entries: dict[int, dict[str, Any]] = {}  # the entries of those on it, as they were told
        self.ready: set[int] = set()
        self.has_discovery_list = False  # of discovery itself, not only what this relay was started with
        self.banned: dict[int, int] = {}  # taken out by operators, and since when
        self.readmitted: dict[int, int] = {}  # put back by them, and when
        self.start_times = StartTimes(policy_host.clock)

    def parse_entry(self, told: Mapping[str, Any]) -> BackendEntry:
        """One entry in the module's terms. Raises KeyError, TypeError or ValueError for what is none."""
        # What the page does not name gets nothing new, as a draining one; the rest of the list still counts.
        standing = PHASES.get(told["phase"], BackendState.DRAINING)
        backend_id = self.backend_ids[told["id"]]
        if standing is not BackendState.GONE:
            self.addresses[backend_id] = parse_address(told["host_port"])
        if standing is BackendState.READY and backend_id in self.banned:
            standing = BackendState.DRAINING
        # One that was put back was started anew while it was out; the list may learn of that later.
        started = max(self.start_time(backend_id, told), self.readmitted.get(backend_id, 0))
        return BackendEntry(
            backend_id,
            int(told.get("cell") or 0),
            self.zones[told.get("locality")],
            self.host_types[told.get("flavor")],
            float(told.get("size") or 0),
            standing,
            started,
            stable_hash(told["id"]),
        )

    def start_time(self, backend_id: int, told: Mapping[str, Any]) -> int:
        """When an entry's backend started, on this relay's clock; 0: long ago. Raises ValueError or
        TypeError."""
        return self.start_times.on_relay_clock(backend_id, _unix_start(told))

    def load_initial(self, members: list[dict[str, Any]]) -> list[BackendEntry]:
        """The list that this relay was started with, in the module's terms. Raises KeyError, TypeError or
        ValueError."""
        self.start_times.calibrate(map(_unix_start, members))
        return [self.parse_entry(told) for told in members]

    def update(self, whole: bool, members: list[dict[str, Any]]) -> None:
        """Raises KeyError, TypeError or ValueError, and then nothing has changed."""
        self.apply_list(ListForm.WHOLE if whole else ListForm.CHANGES, members)
        self.has_discovery_list = True

    def apply_list(self, form: ListForm, members: list[dict[str, Any]]) -> None:
        entries = [self.parse_entry(told) for told in members]
        if form is not ListForm.CHANGES:
            self.entries.clear()
        for told, entry in zip(members, entries, strict=True):
            self.entries[entry.backend_id] = told
            if entry.state is BackendState.GONE:
                del self.entries[entry.backend_id]
        self.publish(form, entries)

    def mark_unavailable(self) -> None:
        self.policy_host.call(self.policy_host.balancer.list_changed, ListForm.UNAVAILABLE, [])
        self.observers.notify("listed", ListForm.UNAVAILABLE, [])

    def publish(self, form: ListForm, entries: list[BackendEntry]) -> None:
        if form is not ListForm.CHANGES:
            self.ready.clear()
        self.ready -= {entry.backend_id for entry in entries}
        self.ready |= {entry.backend_id for entry in entries if entry.state is BackendState.READY}
        self.policy_host.call(self.policy_host.balancer.list_changed, form, entries)
        self.observers.notify("listed", form, entries)

    def set_excluded(self, names: Collection[str]) -> None:
        """What the operator wants nothing new sent to. A box that is not on the list yet is known by its
        name."""
        self.policy_host.update_external_view(excluded=frozenset(self.backend_ids[name] for name in names))

    # -- what operators call -----------------------------------------------------------------------

    def find(self, name: str) -> int | None:
        """Whom a list has ever named; a ban may outlast its place there."""
        backend_id = self.backend_ids.get(name)
        return backend_id if backend_id in self.addresses or backend_id in self.banned else None

    def ban(self, backend_id: int, now: int) -> None:
        """Nothing new goes there until it is put back, whatever any list says; twice is once."""
        if self.banned.setdefault(backend_id, now) == now:
            self._tell_again(backend_id)

    def unban(self, backend_id: int, now: int) -> None:
        since = self.banned.pop(backend_id, None)
        if since is None:
            return
        told = self.entries.get(backend_id)
        if told is None or self.start_time(backend_id, told) <= since:
            self.readmitted[backend_id] = now
        self._tell_again(backend_id)

    def _tell_again(self, backend_id: int) -> None:
        if backend_id in self.entries:
            self.publish(ListForm.CHANGES, [self.parse_entry(self.entries[backend_id])])
