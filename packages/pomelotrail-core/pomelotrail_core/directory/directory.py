"""The known state of backend servers, routes and availability zones."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta

import msgspec

from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.offers import MISSING_ENTRY_GRACE

from .const import (
    CHANGE_BATCH_WINDOW,
    FORMER_SERVER_RETENTION,
    OUTAGE_LOST_SHARE,
    OUTAGE_MIN_LOST,
)
from .known_server import KnownServer
from .messages import (
    BackendServer,
    ConfigurationItem,
    DirectoryItem,
    Listing,
    PublishedConfiguration,
    RemovedItem,
    Route,
    ServerItem,
    ServerState,
    UnusableItem,
    ZoneItem,
)
from .revision import Revision
from .source_outage import SourceOutage
from .zones_out import ZonesOut

_PART = "directory"


class Directory:
    """The known state, which the follower keeps up to date.

    Versions of the configuration only increase. An entry that goes missing in an
    outage of the store is kept until the store has been reachable for two seconds.
    An entry that goes missing otherwise, or that is marked as leaving, is removed at
    once. Flows may still be looked up on a removed server.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        entry_lifetime: timedelta,
    ) -> None:
        """Initialize an empty directory.

        ``entry_lifetime`` is the time after which the store removes the entry of a
        silent server.
        """
        self._clock = clock
        self._log = log
        self._counters = counters
        self._entry_lifetime = entry_lifetime
        self._known: dict[str, KnownServer] = {}
        self._former: dict[str, KnownServer] = {}
        self._zones_out = ZonesOut()
        self._configuration: PublishedConfiguration | None = None
        self._revision = Revision()
        self._outage = SourceOutage(clock)
        self._generation = 0
        self._usable = asyncio.Event()
        self._first_listed: timedelta | None = None
        self._incomplete_until = timedelta()

    @property
    def is_usable(self) -> bool:
        """Return whether a configuration is in force."""
        return self._configuration is not None

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 before the first."""
        return self._configuration.version if self._configuration else 0

    @property
    def revision(self) -> Revision:
        """Return the revision of the store up to which changes are applied."""
        return self._revision

    @property
    def log_fields(self) -> dict[str, int]:
        """Return the version, era and revision that a decision is based on."""
        return {
            "version": self.version,
            "era": self._revision.era,
            "revision": self._revision.number,
        }

    @property
    def missing_entry_grace_remaining(self) -> timedelta:
        """Return the remaining grace period of entries missing after an outage."""
        return self._outage.grace_remaining

    @property
    def may_lack_entries(self) -> bool:
        """Return whether entries may be missing that this directory never read.

        A process that starts during an outage, or just after one, lists the store
        before the entries of all running servers have been written again. So does one
        that lists a restored store.
        """
        return self._clock.monotonic() < self._incomplete_until

    @property
    def incomplete_until(self) -> timedelta:
        """Return the end of the time in which entries may be missing."""
        return self._incomplete_until

    @property
    def generation(self) -> int:
        """Return a number that increases with every change of the known state."""
        return self._generation

    @property
    def zones_out(self) -> frozenset[str]:
        """Return the availability zones that are out of service."""
        self._apply_overdue_zones()
        return self._zones_out.names

    async def async_wait_until_usable(self) -> None:
        """Wait until a configuration is in force."""
        await self._usable.wait()

    def route(self, address: bytes) -> Route | None:
        """Return the route of a packed address."""
        if self._configuration is None:
            return None
        return self._configuration.routes.get(address)

    def candidates(self, service: str) -> list[BackendServer]:
        """Return the backend servers that may accept new flows of a service."""
        self._remove_expired()
        now = self._clock.monotonic()
        zones_out = self.zones_out
        return [
            known.server
            for known in self._known.values()
            if known.server.service == service
            and known.unconfirmed_until <= now
            and known.server.state is ServerState.READY
            and known.server.zone not in zones_out
        ]

    def possible_owners(self) -> list[BackendServer]:
        """Return all backend servers that may own flows, of all services.

        The route may have pointed to another service when a flow was opened.
        """
        self._remove_expired()
        known = (*self._known.values(), *self._former_servers(is_confirmed=False))
        return [entry.server for entry in known]

    def is_removal_confirmed(self, server: BackendServer) -> bool:
        """Return whether a removed backend server is past the grace period."""
        former = self._former.get(server.identity)
        if former is None or self._outage.is_current:
            return False
        return self._clock.monotonic() - former.recorded_at >= MISSING_ENTRY_GRACE

    def confirmed_removals(self) -> list[BackendServer]:
        """Return the removed backend servers that are past the grace period.

        An entry that was removed by mistake is written again within that period.
        """
        self._remove_expired()
        return [entry.server for entry in self._former_servers(is_confirmed=True)]

    def cold_flows_per_s(self, server: BackendServer) -> float | None:
        """Return the limit on new flows per second of a cold backend server.

        Returns None for a warm one.
        """
        known = self._known.get(server.identity)
        if known is None or self._configuration is None:
            return None
        settings = self._configuration.services.get(server.service)
        if settings is None or settings.cold_flows_per_s is None:
            return None
        age = self._clock.monotonic() - known.recorded_at
        return settings.cold_flows_per_s if age < known.server.cold_for else None

    def replace(self, listing: Listing) -> None:
        """Apply a full listing; entries that are not in it are missing."""
        self._record_first_listing()
        self._log_listing(listing)
        is_restored = self._is_restored(listing.revision)
        if is_restored:
            self._record_restore(listing.revision)
        listed = {
            item.server.identity
            for item in listing.items
            if isinstance(item, ServerItem)
        }
        missing = [known for known in self._known if known not in listed]
        self._infer_outage(missing)
        for identity in missing:
            self._handle_missing(identity, is_restored)
        self._replace_zones(listing, is_restored)
        self._apply_items(
            [item for item in listing.items if not isinstance(item, ZoneItem)],
            listing.revision,
        )

    def apply(self, listing: Listing) -> None:
        """Apply changes in order."""
        self._apply_items(listing.items, listing.revision)

    def _apply_items(self, items: Sequence[DirectoryItem], revision: Revision) -> None:
        """Apply items that were read up to a revision."""
        self._revision = revision
        self._counters.set_gauge("store_era", revision.era)
        removed = [entry for entry in items if isinstance(entry, RemovedItem)]
        self._infer_outage([entry.identity for entry in removed])
        for item in items:
            match item:
                case ServerItem(server):
                    self._record_server(server)
                case ConfigurationItem(configuration):
                    self._adopt(configuration)
                case ZoneItem(zone, zone_revision):
                    self._take_out_zone(zone, zone_revision)
                case RemovedItem(identity, zone):
                    self._handle_missing(identity, is_restored=False)
                    self._restore_zone(zone)
                case UnusableItem():
                    self._reject(item)

    def record_peer_outage(self, remaining: timedelta) -> None:
        """Record an outage seen by a peer, whose expired entries may be missing here.

        A process that listed the store before the outage has read those entries.
        """
        now = self._clock.monotonic()
        if remaining <= timedelta() or self._first_listed is None:
            return
        if now - self._first_listed < MISSING_ENTRY_GRACE and not self.may_lack_entries:
            self._mark_incomplete(
                min(now + remaining, self._first_listed + MISSING_ENTRY_GRACE)
            )

    def record_source_failure(self, reason: str) -> None:
        """Record that the source is unreachable."""
        if not self._outage.is_current:
            self._log.write(_PART, "source_lost", reason=reason, **self.log_fields)
        self._outage.begin()

    def record_check_failure(self, reason: str) -> None:
        """Record that a query of the source's revision failed."""
        self._log.write(_PART, "check_failed", reason=reason, **self.log_fields)

    def record_source_reached(self, revision: Revision) -> None:
        """Record that the source answered, with the revision that it is at."""
        if not self._outage.is_current:
            return
        self._outage.end()
        self._log.write(
            _PART,
            "source_back",
            source_era=revision.era,
            source_revision=revision.number,
            **self.log_fields,
        )
        self._extend_grace_periods()

    def _extend_grace_periods(self) -> None:
        """Let the grace period of each missing entry end as late as a new one."""
        for known in self._known.values():
            if known.grace_ends is not None:
                known.grace_ends = self._outage.grace_end

    def _record_first_listing(self) -> None:
        """Record the time of the first listing and check for an outage before it."""
        if self._first_listed is not None:
            return
        self._first_listed = self._clock.monotonic()
        if self.missing_entry_grace_remaining > timedelta():
            self._mark_incomplete(
                self._first_listed + self.missing_entry_grace_remaining
            )

    def _is_restored(self, revision: Revision) -> bool:
        """Return whether the store began a new era since it was last read."""
        return self._revision != Revision() and revision.era != self._revision.era

    def _record_restore(self, revision: Revision) -> None:
        """Record a restore: what was written since the copy may be missing.

        Servers write their entries again as they do after an outage, among them
        servers whose entries this directory never read.
        """
        self._counters.add("store_restores")
        self._outage.end()
        self._log.write(
            _PART,
            "source_restored",
            source_era=revision.era,
            source_revision=revision.number,
            **self.log_fields,
        )
        self._mark_incomplete(self._outage.grace_end)
        self._extend_grace_periods()

    def _mark_incomplete(self, until: timedelta) -> None:
        """Treat the known entries as incomplete until the given time."""
        self._incomplete_until = until
        remaining = until - self._clock.monotonic()
        self._log.write(
            _PART,
            "may_lack_entries",
            for_ms=int(remaining.total_seconds() * 1000),
            **self.log_fields,
        )

    def _record_server(self, server: BackendServer) -> None:
        """Record the entry of a backend server unless it is outdated."""
        known = self._known.get(server.identity)
        if known is not None and not server.supersedes(known.server):
            self._keep_known(known, server)
            return
        if self._is_outdated(server):
            self._log_outdated(server)
            return
        former = self._former.pop(server.identity, None)
        is_confirmed = former is None or server.supersedes(former.server)
        self._remove_reused_address(server)
        self._record_entry(server, is_confirmed)

    def _record_entry(self, server: BackendServer, is_confirmed: bool) -> None:
        """Record an entry that is in force, and log it."""
        now = self._clock.monotonic()
        known = self._known[server.identity] = KnownServer(server, now)
        if not is_confirmed:
            known.unconfirmed_until = now + self._entry_lifetime
        self._record_change(
            "server_seen",
            server=server.identity,
            service=server.service,
            address=str(server.endpoint),
            state=server.state.value,
            cold_ms=int(server.cold_for.total_seconds() * 1000),
            slots=server.slots,
            confirmed=is_confirmed,
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
            known.older_from = self._clock.monotonic() + self._entry_lifetime
            self._log_outdated(listed)
        known.server = msgspec.structs.replace(known.server, revision=listed.revision)

    def _log_outdated(self, server: BackendServer) -> None:
        """Log an entry that is not applied, as a later one is known."""
        self._log.write(
            _PART,
            "entry_outdated",
            server=server.identity,
            address=str(server.endpoint),
            entry_revision=server.revision.number,
            **self.log_fields,
        )

    def _is_outdated(self, server: BackendServer) -> bool:
        """Return whether a later entry has the same address.

        The entry of a crashed backend server remains for some time beside that of its
        successor.
        """
        return any(
            self._known[identity].server.supersedes(server)
            for identity in self._identities_at(server.endpoint, self._known)
        )

    def _remove_reused_address(self, server: BackendServer) -> None:
        """Remove the entries of other servers that had the address of this one."""
        for identity in self._identities_at(server.endpoint, self._known):
            if identity != server.identity:
                self._remove(identity, "address_reused")
        for identity in self._identities_at(server.endpoint, self._former):
            del self._former[identity]

    @staticmethod
    def _identities_at(
        endpoint: Endpoint, servers: dict[str, KnownServer]
    ) -> list[str]:
        """Return the identities of the servers with an address."""
        return [
            identity
            for identity, known in servers.items()
            if known.server.endpoint == endpoint
        ]

    def _handle_missing(self, identity: str, is_restored: bool) -> None:
        """Remove a missing entry, or start its grace period in or after an outage.

        A server that is leaving doesn't write its entry again after an outage, unless
        the store was restored from a copy that lacks the entry.
        """
        known = self._known.get(identity)
        if known is None or known.grace_ends is not None:
            return
        is_leaving = known.server.state is ServerState.LEAVING
        has_left = is_leaving and not is_restored
        if has_left or not self._outage.may_explain_missing_entry:
            self._remove(identity, "entry_removed")
            return
        known.grace_ends = self._outage.grace_end
        self._record_change("server_lapsed", server=identity)

    def _infer_outage(self, missing: list[str]) -> None:
        """Infer an outage when many entries go missing together.

        Handles this load pattern: an outage shorter than the wait of a watch, in which
        entries expire. No call fails, and most servers would be removed.
        """
        ready = [x for x, known in self._known.items() if known.is_ready]
        lost = set(missing).intersection(ready)
        if len(lost) < OUTAGE_MIN_LOST or len(lost) < OUTAGE_LOST_SHARE * len(ready):
            return
        if self._outage.may_explain_missing_entry:
            return
        self._outage.end()
        self._log.write(
            _PART,
            "outage_inferred",
            missing=len(lost),
            ready=len(ready),
            **self.log_fields,
        )

    def _remove_expired(self) -> None:
        """Remove missing entries and former servers whose time has expired."""
        now = self._clock.monotonic()
        if not self._outage.is_current:
            for identity, known in list(self._known.items()):
                if known.grace_ends is not None and now >= known.grace_ends:
                    self._remove(identity, "lapse_not_renewed")
        for known in list(self._known.values()):
            if known.older is not None and now >= known.older_from:
                self._record_entry(known.older, is_confirmed=True)
        for identity, known in list(self._former.items()):
            if now - known.recorded_at >= FORMER_SERVER_RETENTION:
                del self._former[identity]

    def _former_servers(self, is_confirmed: bool) -> list[KnownServer]:
        """Return the former servers whose removal is, or is not yet, confirmed."""
        now = self._clock.monotonic()
        return [
            former
            for former in self._former.values()
            if (
                not self._outage.is_current
                and now - former.recorded_at >= MISSING_ENTRY_GRACE
            )
            is is_confirmed
        ]

    def _remove(self, identity: str, reason: str) -> None:
        """Move a server from the known to the former servers."""
        known = self._known.pop(identity)
        self._former[identity] = KnownServer(known.server, self._clock.monotonic())
        self._record_change("server_gone", server=identity, reason=reason)

    def _adopt(self, configuration: PublishedConfiguration) -> None:
        """Put a newer version of the configuration in force."""
        if configuration.version <= self.version:
            self._log.write(
                _PART,
                "configuration_ignored",
                ignored=configuration.version,
                **self.log_fields,
            )
            return
        self._configuration = configuration
        self._usable.set()
        self._record_change("configuration_in_force", routes=len(configuration.routes))

    def _take_out_zone(self, zone: str, revision: Revision) -> None:
        """Exclude a zone from new flows."""
        if self._zones_out.add(zone, revision):
            self._record_change("zone_out", zone=zone)

    def _restore_zone(self, zone: str) -> None:
        """Allow new flows to a zone again."""
        if self._zones_out.remove(zone):
            self._record_change("zone_back", zone=zone)

    def _replace_zones(self, listing: Listing, is_restored: bool) -> None:
        """Apply the zones of a full listing, unless a restore contradicts them."""
        listed = {
            item.zone: item.revision
            for item in listing.items
            if isinstance(item, ZoneItem)
        }
        self._zones_out.forget_settled(listed)
        if is_restored:
            # An entry that is written again in time may still wait to be read.
            deadline = self._outage.grace_end + CHANGE_BATCH_WINDOW
            self._zones_out.reconcile(listed, deadline)
        for zone in sorted(self._zones_out.names | listed.keys()):
            if self._zones_out.is_contested(zone):
                self._log.write(
                    _PART,
                    "zone_contested",
                    zone=zone,
                    is_out=zone in self._zones_out.names,
                    **self.log_fields,
                )
            elif zone in listed:
                self._take_out_zone(zone, listed[zone])
            else:
                self._restore_zone(zone)

    def _apply_overdue_zones(self) -> None:
        """Apply what a restored store says of zones, as nothing else was written."""
        for zone, revision in self._zones_out.pop_overdue(self._clock.monotonic()):
            if revision is None:
                self._restore_zone(zone)
            else:
                self._take_out_zone(zone, revision)

    def _reject(self, item: UnusableItem) -> None:
        """Log an entry that can't be parsed and remove the one that it replaces."""
        self._log.write(_PART, "item_unusable", key=item.key, problem=item.problem)
        if item.identity in self._known:
            self._remove(item.identity, "entry_unusable")

    def _record_change(self, event: str, **fields: str | int) -> None:
        """Log a change of the known state with its version and revision."""
        self._generation += 1
        self._log.write(_PART, event, **fields, **self.log_fields)

    def _log_listing(self, listing: Listing) -> None:
        """Log what a listing contains and what was known before it."""
        items = listing.items
        configurations = [x for x in items if isinstance(x, ConfigurationItem)]
        self._log.write(
            _PART,
            "listed",
            listed_era=listing.revision.era,
            listed_revision=listing.revision.number,
            listed_version=max(
                (x.configuration.version for x in configurations), default=0
            ),
            servers=sum(isinstance(x, ServerItem) for x in items),
            zones_out=sum(isinstance(x, ZoneItem) for x in items),
            **self.log_fields,
        )
