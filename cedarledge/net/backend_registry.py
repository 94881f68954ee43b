"""The list of backends as this relay has it: their ids, addresses and states."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

from cedarledge.net.config import Address, parse_address
from cedarledge.net.observers import Observers
from cedarledge.net.policy_host import RelayPolicyHost
from cedarledge.net.start_times import StartTimes
from cedarledge.settings import Indices, stable_hash
from cedarledge.terms import MS, BackendEntry, BackendState, ListForm

# States by discovery's name for them.
PHASES = {"up": BackendState.READY, "draining": BackendState.DRAINING, "removed": BackendState.GONE}


def _unix_start(member: Mapping[str, Any]) -> int:
    """Returns a member's start in Unix time, ns; 0: long ago. Raises ValueError or TypeError."""
    return int(member.get("up_since_ms") or 0) * MS


class BackendRegistry:
    """Numbers the backends and passes each change of the list to the policy as soon as it is read.

    There is no delay, because the grace period for drains runs from when discovery wrote the change. The
    operators' bans are merged in here: a banned backend reaches the policy as a draining one, whatever the
    list says.
    """

    def __init__(
        self, policy_host: RelayPolicyHost, observers: Observers, settings: Mapping[str, Any]
    ) -> None:
        """`settings` name the zones and host types that are known from the start."""
        self.policy_host = policy_host
        self.observers = observers
        self.backend_ids = Indices()
        self.zones = Indices(settings.get("dcs"))
        self.host_types = Indices(settings.get("host_types"))
        self.addresses: dict[int, Address] = {}  # of all backends that a list has ever named
        self.entries: dict[int, dict[str, Any]] = {}  # of the backends on the list, as discovery sent them
        self.ready: set[int] = set()
        # Discovery has sent the list, or has answered that the one from this relay's start is current.
        self.has_discovery_list = False
        self.banned: dict[int, int] = {}  # by operators, and since when
        # Banned backends that no list has named, kept until discovery's first answer, which may name them.
        self.unlisted_bans: set[int] = set()
        self.readmitted: dict[int, int] = {}  # backends whose ban was lifted, and when
        self.start_times = StartTimes(policy_host.clock)

    def parse_entry(self, member: Mapping[str, Any]) -> BackendEntry:
        """Converts one member of a list. Raises KeyError, TypeError or ValueError if it is invalid."""
        # A backend in an unknown phase gets nothing new, like a draining one; the rest of the list is valid.
        state = PHASES.get(member["phase"], BackendState.DRAINING)
        backend_id = self.backend_ids[member["id"]]
        if state is not BackendState.GONE:
            self.addresses[backend_id] = parse_address(member["host_port"])
        if state is BackendState.READY and backend_id in self.banned:
            state = BackendState.DRAINING
        # A backend whose ban was lifted has been restarted meanwhile; the list may show that later.
        started = max(self.start_time(backend_id, member), self.readmitted.get(backend_id, 0))
        return BackendEntry(
            backend_id,
            int(member.get("cell") or 0),
            self.zones[member.get("locality")],
            self.host_types[member.get("flavor")],
            float(member.get("size") or 0),
            state,
            started,
            stable_hash(member["id"]),
        )

    def start_time(self, backend_id: int, member: Mapping[str, Any]) -> int:
        """Returns when a member started, in ns on this relay's clock; 0: long ago.

        Raises ValueError or TypeError.
        """
        return self.start_times.on_relay_clock(backend_id, _unix_start(member))

    def load_initial(self, members: list[dict[str, Any]]) -> list[BackendEntry]:
        """Converts the list that this relay was started with.

        Raises KeyError, TypeError or ValueError.
        """
        self.start_times.calibrate(map(_unix_start, members))
        return [self.parse_entry(member) for member in members]

    def update(self, whole: bool, members: list[dict[str, Any]]) -> None:
        """Applies a list from discovery, whole or as changes.

        Raises KeyError, TypeError or ValueError, and then nothing has changed.
        """
        self.apply_list(ListForm.WHOLE if whole else ListForm.CHANGES, members)

    def discovery_answered(self, is_current: bool) -> None:
        """Notes an answer of discovery, after which the list here is its current one or is not."""
        self.start_times.mark_list_current()
        if is_current and not self.has_discovery_list:
            self.has_discovery_list = True
            self._drop_bans_of_unknown_backends()

    def _drop_bans_of_unknown_backends(self) -> None:
        for backend_id in self.unlisted_bans - self.addresses.keys():
            self.banned.pop(backend_id, None)
        self.unlisted_bans.clear()

    def apply_list(self, form: ListForm, members: list[dict[str, Any]]) -> None:
        """Applies a list from any source; raises as `update` does."""
        entries = [self.parse_entry(member) for member in members]
        if form is not ListForm.CHANGES:
            self.entries.clear()
        for member, entry in zip(members, entries, strict=True):
            self.entries[entry.backend_id] = member
            if entry.state is BackendState.GONE:
                del self.entries[entry.backend_id]
        self.publish(form, entries)

    def mark_unavailable(self) -> None:
        """Reports that discovery can't be reached; the entries stay as they are."""
        self.policy_host.call(self.policy_host.balancer.list_changed, ListForm.UNAVAILABLE, [])
        self.observers.notify("listed", ListForm.UNAVAILABLE, [])

    def publish(self, form: ListForm, entries: list[BackendEntry]) -> None:
        """Updates the set of ready backends and reports the entries to the policy and the observers."""
        if form is not ListForm.CHANGES:
            self.ready.clear()
        self.ready -= {entry.backend_id for entry in entries}
        self.ready |= {entry.backend_id for entry in entries if entry.state is BackendState.READY}
        self.policy_host.call(self.policy_host.balancer.list_changed, form, entries)
        self.observers.notify("listed", form, entries)

    def set_excluded(self, names: Collection[str]) -> None:
        """Sets the backends to which the operator file wants nothing new sent.

        Unlike a ban it is ignored if it names all. A backend may be named before it is on the list.
        """
        self.policy_host.update_external_view(excluded=frozenset(self.backend_ids[name] for name in names))

    # -- calls of operators ------------------------------------------------------------------------

    def find(self, name: str) -> int | None:
        """Returns the number of a backend that a list has ever named, as a ban may outlast its entry."""
        backend_id = self.backend_ids.get(name)
        is_banned = backend_id in self.banned and backend_id not in self.unlisted_bans
        return backend_id if backend_id in self.addresses or is_banned else None

    def ban_unlisted(self, name: str, now: int) -> None:
        """Bans a backend that no list has named yet, until discovery's first answer does not name it.

        Afterwards it does nothing: discovery knows no such backend.
        """
        if not self.has_discovery_list:
            backend_id = self.backend_ids[name]
            self.unlisted_bans.add(backend_id)
            self.banned.setdefault(backend_id, now)

    def unban_unlisted(self, name: str) -> None:
        """Lifts a ban by `ban_unlisted`, if there is one."""
        backend_id = self.backend_ids.get(name)
        if backend_id in self.unlisted_bans:
            self.unlisted_bans.remove(backend_id)
            self.banned.pop(backend_id, None)

    def ban(self, backend_id: int, now: int) -> None:
        """Sends nothing new to a backend until `unban`, whatever any list says; repeated calls do nothing."""
        if self.banned.setdefault(backend_id, now) == now:
            self._republish(backend_id)

    def unban(self, backend_id: int, now: int) -> None:
        """Lifts a ban. The backend counts as restarted now, unless its listed start is after the ban."""
        since = self.banned.pop(backend_id, None)
        if since is None:
            return
        member = self.entries.get(backend_id)
        if member is None or self.start_time(backend_id, member) <= since:
            self.readmitted[backend_id] = now
        self._republish(backend_id)

    def _republish(self, backend_id: int) -> None:
        if backend_id in self.entries:
            self.publish(ListForm.CHANGES, [self.parse_entry(self.entries[backend_id])])
