"""Entries of backend servers, present, missing and removed."""

from datetime import timedelta

import msgspec

from pomelotrail_core.clock import Clock
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.offers import MISSING_ENTRY_GRACE

from .change_log import ChangeLog
from .const import READ_DELAY
from .known_server import KnownServer
from .messages import BackendServer, ServerState
from .revision import Revision
from .source_outage import SourceOutage


class ServerEntries:
    """What the entries read so far say of the backend servers.

    An entry that goes missing in an outage of the store, or by a restore, is kept for a
    grace period. An entry that goes missing otherwise is removed at once; flows may
    still be looked up on a removed server::

        entries.record(server)
        entries.record_missing("server-1", is_restored=False)
        entries.candidates("ledger")
    """

    def __init__(
        self,
        clock: Clock,
        outage: SourceOutage,
        entry_lifetime: timedelta,
        max_flow_duration: timedelta,
        log: ChangeLog,
    ) -> None:
        """Initialize without entries.

        ``entry_lifetime`` is the time after which the store removes the entry of a
        silent server. Flows may stay open on a server whose entry was removed, for
        ``max_flow_duration`` at most.
        """
        self._clock = clock
        self._outage = outage
        self._unrenewed_lifetime = entry_lifetime + READ_DELAY
        self._max_flow_duration = max_flow_duration
        self._log = log
        self._restored_to = Revision()
        self._known: dict[str, KnownServer] = {}
        self._former: dict[str, KnownServer] = {}
        self._outdated: dict[str, KnownServer] = {}
        self._has_removed = False

    @property
    def identities(self) -> list[str]:
        """Return the servers of which an entry was read and not removed."""
        return list(self._known | self._outdated)

    @property
    def ready(self) -> set[str]:
        """Return the servers whose entry is present and that are not leaving."""
        return {identity for identity, known in self._known.items() if known.is_ready}

    def candidates(self, service: str) -> list[BackendServer]:
        """Return the backend servers that may accept new flows of a service."""
        self._remove_expired()
        now = self._clock.monotonic()
        return [
            known.server
            for known in self._known.values()
            if known.server.service == service
            and known.unconfirmed_until <= now
            and known.server.state is ServerState.READY
        ]

    def possible_owners(self) -> list[BackendServer]:
        """Return all backend servers that may own flows."""
        self._remove_expired()
        known = (*self._known.values(), *self._former_servers(is_confirmed=False))
        return [entry.server for entry in known]

    def is_removal_confirmed(self, identity: str) -> bool:
        """Return whether a removed backend server is past the grace period."""
        former = self._former.get(identity)
        return former is not None and self._is_past_grace(former)

    def confirmed_removals(self) -> list[BackendServer]:
        """Return the removed backend servers that are past the grace period."""
        self._remove_expired()
        return [entry.server for entry in self._former_servers(is_confirmed=True)]

    def is_cold(self, identity: str) -> bool:
        """Return whether a server is still warming up."""
        known = self._known.get(identity)
        if known is None:
            return False
        return self._clock.monotonic() - known.recorded_at < known.server.cold_for

    def record(self, server: BackendServer) -> None:
        """Record the entry of a backend server unless a later one is known."""
        known = self._known.get(server.identity)
        if known is not None and not server.supersedes(known.server):
            self._keep_known(known, server)
            return
        if self._is_outdated(server):
            self._outdated[server.identity] = self._unconfirmed(server)
            self._log_outdated(server)
            return
        self._outdated.pop(server.identity, None)
        former = self._former.pop(server.identity, None)
        is_confirmed = (
            former is None
            or server.revision > self._restored_to
            or server.supersedes(former.server)
        )
        self._remove_others_at(server)
        for identity in _identities_at(server.endpoint, self._former):
            del self._former[identity]
        self._put_in_force(
            KnownServer(server, self._clock.monotonic())
            if is_confirmed
            else self._unconfirmed(server)
        )

    def record_missing(self, identity: str, is_restored: bool) -> None:
        """Remove a missing entry, or start its grace period in or after an outage.

        A server that is leaving doesn't write its entry again after an outage, unless
        the store was restored from a copy that lacks the entry.
        """
        self._outdated.pop(identity, None)
        known = self._known.get(identity)
        if known is None or known.grace_ends is not None:
            return
        is_leaving = known.server.state is ServerState.LEAVING
        has_left = is_leaving and not is_restored
        if has_left or not self._outage.may_explain_missing_entry:
            self._remove(identity, "entry_removed")
            return
        known.grace_ends = self._outage.grace_end
        self._log.record_change("server_lapsed", server=identity)

    def record_unusable(self, identity: str) -> None:
        """Remove a server whose entry can't be parsed."""
        self._outdated.pop(identity, None)
        if identity in self._known:
            self._remove(identity, "entry_unusable")

    def record_restore(self, revision: Revision) -> None:
        """Record that entries up to a revision may come from an older copy."""
        self._restored_to = revision
        self.extend_grace_periods()

    def extend_grace_periods(self) -> None:
        """Let the grace period of each missing entry end as late as a new one."""
        for known in self._known.values():
            if known.grace_ends is not None:
                known.grace_ends = self._outage.grace_end

    def _unconfirmed(self, server: BackendServer) -> KnownServer:
        """Return an entry that gets no new flows before a stale one has expired."""
        now = self._clock.monotonic()
        until = now + self._unrenewed_lifetime
        return KnownServer(server, now, unconfirmed_until=until)

    def _put_in_force(self, known: KnownServer) -> None:
        """Put an entry in force, and log it."""
        server = known.server
        self._former.pop(server.identity, None)
        self._known[server.identity] = known
        self._log.record_change(
            "server_seen",
            server=server.identity,
            service=server.service,
            address=str(server.endpoint),
            state=server.state.value,
            cold_ms=int(server.cold_for.total_seconds() * 1000),
            slots=server.slots,
            confirmed=known.unconfirmed_until <= self._clock.monotonic(),
        )

    def _keep_known(self, known: KnownServer, listed: BackendServer) -> None:
        """Keep what is known of a server whose listed entry is not later.

        Further changes are compared with the revision at which the store has the entry.
        """
        known.grace_ends = None
        if listed.revision.era == known.server.revision.era:
            return
        if known.server.supersedes(listed):
            known.older = listed
            known.older_from = self._clock.monotonic() + self._unrenewed_lifetime
            self._log_outdated(listed)
        known.server = msgspec.structs.replace(known.server, revision=listed.revision)

    def _log_outdated(self, server: BackendServer) -> None:
        """Log an entry that is not applied, as a later one is known."""
        self._log.write(
            "entry_outdated",
            server=server.identity,
            address=str(server.endpoint),
            entry_revision=server.revision.number,
        )

    def _is_outdated(self, server: BackendServer) -> bool:
        """Return whether a later entry has the same address.

        The entry of a crashed backend server remains for some time beside that of its
        successor.
        """
        return any(
            self._known[identity].server.supersedes(server)
            for identity in _identities_at(server.endpoint, self._known)
        )

    def _apply_outdated(self) -> None:
        """Apply the entries that were outdated by a server that is gone.

        Clocks of VMs differ, so the starts of two servers may have the wrong order.
        """
        if not self._has_removed:
            return
        self._has_removed = False
        for identity, outdated in list(self._outdated.items()):
            if not self._is_outdated(outdated.server):
                del self._outdated[identity]
                self._remove_others_at(outdated.server)
                self._put_in_force(outdated)

    def _remove_others_at(self, server: BackendServer) -> None:
        """Remove the entries of other servers that had the address of this one.

        A late write of a server that has crashed may come after the entry of its
        successor, which applies again once the other entry is gone.
        """
        for identity in _identities_at(server.endpoint, self._known):
            if identity == server.identity:
                continue
            known = self._known[identity]
            self._remove(identity, "address_reused")
            if known.grace_ends is None:
                self._outdated[identity] = known

    def _remove_expired(self) -> None:
        """Remove missing entries and former servers whose time has expired.

        Older entries of a restored store apply if nothing was written since.
        """
        now = self._clock.monotonic()
        if not self._outage.is_current:
            for identity, known in list(self._known.items()):
                if known.grace_ends is not None and now >= known.grace_ends:
                    self._remove(identity, "lapse_not_renewed")
        self._apply_outdated()
        for known in list(self._known.values()):
            if known.older is not None and now >= known.older_from:
                self._put_in_force(KnownServer(known.older, now))
        for identity, known in list(self._former.items()):
            if now - known.recorded_at >= self._max_flow_duration:
                del self._former[identity]

    def _former_servers(self, is_confirmed: bool) -> list[KnownServer]:
        """Return the former servers whose removal is, or is not yet, confirmed."""
        return [
            former
            for former in self._former.values()
            if self._is_past_grace(former) is is_confirmed
        ]

    def _is_past_grace(self, former: KnownServer) -> bool:
        """Return whether the entry of a removed server can't be written again.

        An entry that was removed by mistake is written again within the grace period.
        """
        age = self._clock.monotonic() - former.recorded_at
        return not self._outage.is_current and age >= MISSING_ENTRY_GRACE

    def _remove(self, identity: str, reason: str) -> None:
        """Move a server from the known to the former servers."""
        self._has_removed = True
        known = self._known.pop(identity)
        self._former[identity] = KnownServer(known.server, self._clock.monotonic())
        self._log.record_change("server_gone", server=identity, reason=reason)


def _identities_at(endpoint: Endpoint, servers: dict[str, KnownServer]) -> list[str]:
    """Return the identities of the servers with an address."""
    return [
        identity
        for identity, known in servers.items()
        if known.server.endpoint == endpoint
    ]
