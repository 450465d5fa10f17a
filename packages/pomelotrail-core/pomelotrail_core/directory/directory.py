"""The known state of backend servers, routes and availability zones."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta

from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.endpoint import unpack_address
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.offers import MISSING_ENTRY_GRACE

from .change_log import ChangeLog
from .const import (
    MISSING_ZONE_GRACE,
    OUTAGE_LOST_SHARE,
    OUTAGE_MIN_LOST,
    READ_DELAY,
)
from .former_services import FormerServices
from .messages import (
    BackendServer,
    ConfigurationItem,
    DirectoryItem,
    Listing,
    PublishedConfiguration,
    RemovedItem,
    Route,
    ServerItem,
    UnusableItem,
    ZoneItem,
)
from .named_services import NamedServices
from .revision import Revision
from .server_entries import ServerEntries
from .source_outage import SourceOutage
from .zones_out import ZonesOut


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
        max_flow_duration: timedelta,
    ) -> None:
        """Initialize an empty directory.

        ``entry_lifetime`` is the time after which the store removes the entry of a
        silent server, and no flow lasts longer than ``max_flow_duration``.
        """
        self._clock = clock
        self._log = ChangeLog(log)
        self._counters = counters
        self._outage = SourceOutage(clock)
        self._servers = ServerEntries(
            clock, self._outage, entry_lifetime, max_flow_duration, self._log
        )
        self._zones_out = ZonesOut(clock, self._log)
        self._former_services = FormerServices(clock, max_flow_duration)
        self._named_services = NamedServices(clock, max_flow_duration)
        self._configuration: PublishedConfiguration | None = None
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
        return self._log.version

    @property
    def revision(self) -> Revision:
        """Return the revision of the store up to which changes are applied."""
        return self._log.revision

    @property
    def log_fields(self) -> dict[str, int]:
        """Return the version, era and revision that a decision is based on."""
        return self._log.basis

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
        return self._log.changes

    @property
    def zones_out(self) -> frozenset[str]:
        """Return the availability zones that are out of service."""
        return self._zones_out.names

    @property
    def knows_former_services(self) -> bool:
        """Return whether no flow can be open at a service that isn't known for it."""
        return self._former_services.is_complete

    async def async_wait_until_usable(self) -> None:
        """Wait until a configuration is in force."""
        await self._usable.wait()

    def route(self, address: bytes) -> Route | None:
        """Return the route of a packed address."""
        if self._configuration is None:
            return None
        return self._configuration.routes.get(address)

    def possible_services(self, address: bytes) -> frozenset[str]:
        """Return the services at which flows of a packed address may be open.

        The route may have led to another service when a flow was opened.
        """
        route = self.route(address)
        current = route.services if route is not None else frozenset()
        return current | self._former_services.services(address)

    def may_have_flows(self, address: bytes, service: str) -> bool:
        """Return whether flows of a packed address may be open at a service.

        Unlike ``possible_services``, this allows for balancers that lag behind.
        """
        route = self.route(address)
        is_current = route is not None and service in route.services
        return is_current or self._former_services.may_have_flows(address, service)

    def record_flow(self, address: bytes, service: str) -> None:
        """Record that a service has a flow of a packed address."""
        if service not in self.possible_services(address):
            host, port = unpack_address(address)
            self._log.write("service_learnt", address=f"{host}:{port}", service=service)
        self._former_services.record_flow(address, service)

    def candidates(self, service: str) -> list[BackendServer]:
        """Return the backend servers that may accept new flows of a service."""
        zones_out = self.zones_out
        return [
            server
            for server in self._servers.candidates(service)
            if server.zone not in zones_out
        ]

    def possible_owners(self) -> list[BackendServer]:
        """Return all backend servers that may own flows, of all services.

        The route may have pointed to another service when a flow was opened, which may
        be named no more.
        """
        owners = self._servers.possible_owners()
        unnamed = self._named_services.kept_aside
        if not unnamed or self.knows_former_services:
            return owners
        hosts = {server.endpoint.host for server in owners}
        return owners + [each for each in unnamed if each.endpoint.host not in hosts]

    def is_removal_confirmed(self, server: BackendServer) -> bool:
        """Return whether a removed backend server is past the grace period."""
        return self._servers.is_removal_confirmed(server.identity)

    def confirmed_removals(self) -> list[BackendServer]:
        """Return the removed backend servers that are past the grace period.

        An entry that was removed by mistake is written again within that period.
        """
        return self._servers.confirmed_removals()

    def cold_flows_per_s(self, server: BackendServer) -> float | None:
        """Return the limit on new flows per second of a cold backend server.

        Returns None for a warm one.
        """
        if not self._servers.is_cold(server.identity):
            return None
        return self.start_flows_per_s(server.service)

    def start_flows_per_s(self, service: str) -> float | None:
        """Return the limit on new flows per second of a server that has just started.

        Returns None if operators set none for the service.
        """
        if self._configuration is None:
            return None
        settings = self._configuration.services.get(service)
        return settings.cold_flows_per_s if settings is not None else None

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
        self._named_services.retain(listed)
        missing = [each for each in self._servers.identities if each not in listed]
        self._infer_outage(missing)
        for identity in missing:
            self._servers.record_missing(identity, is_restored)
        self._replace_zones(listing, is_restored)
        version = self.version
        self._apply_items(
            [item for item in listing.items if not isinstance(item, ZoneItem)],
            listing.revision,
        )
        if is_restored or self.version != version:
            self._former_services.record_gap()

    def apply(self, listing: Listing) -> None:
        """Apply changes in order."""
        self._apply_items(listing.items, listing.revision)

    def _apply_items(self, items: Sequence[DirectoryItem], revision: Revision) -> None:
        """Apply items that were read up to a revision.

        If that fails, the earlier revision holds, so that the directory doesn't count
        as complete until its source is listed again.
        """
        known, self._log.revision = self._log.revision, revision
        self._counters.set_gauge("store_era", revision.era)
        try:
            self._apply_each(items)
        except BaseException:
            self._log.revision = known
            raise

    def _apply_each(self, items: Sequence[DirectoryItem]) -> None:
        """Apply items in order."""
        removed = [entry for entry in items if isinstance(entry, RemovedItem)]
        self._infer_outage([entry.identity for entry in removed])
        for item in items:
            match item:
                case ServerItem(server):
                    self._record_server(server)
                case ConfigurationItem(configuration):
                    self._adopt(configuration)
                case ZoneItem(zone, zone_revision):
                    self._zones_out.take_out(zone, zone_revision)
                case RemovedItem(identity, zone):
                    self._named_services.remove(identity)
                    self._servers.record_missing(identity, is_restored=False)
                    self._zones_out.restore(zone)
                case UnusableItem():
                    self._reject(item)

    def _record_server(self, server: BackendServer) -> None:
        """Record the entry of a backend server, or one of another writer."""
        if self._named_services.is_named(server.service):
            self._named_services.remove(server.identity)
            self._servers.record(server)
            return
        self._named_services.keep_aside(server)
        self._log.write(
            "service_not_named",
            server=server.identity,
            service=server.service,
            address=str(server.endpoint),
        )
        self._servers.record_unusable(server.identity)

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
            self._log.write("source_lost", reason=reason)
        self._outage.begin()

    def record_check_failure(self, reason: str) -> None:
        """Record that a query of the source's revision failed."""
        self._log.write("check_failed", reason=reason)

    def record_large_changes(self, reason: str) -> None:
        """Record that changes are too large for one answer; a listing follows."""
        self._counters.add("changes_too_large")
        self._log.write("changes_too_large", reason=reason)

    def record_source_reached(self, revision: Revision) -> None:
        """Record that the source answered, with the revision that it is at."""
        if not self._outage.is_current:
            return
        self._outage.end()
        self._log.write(
            "source_back",
            source_era=revision.era,
            source_revision=revision.number,
        )
        self._servers.extend_grace_periods()

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
        return self.revision != Revision() and revision.era != self.revision.era

    def _record_restore(self, revision: Revision) -> None:
        """Record a restore: what was written since the copy may be missing.

        Servers write their entries again as they do after an outage, among them
        servers whose entries this directory never read.
        """
        self._counters.add("store_restores")
        self._outage.end()
        self._log.write(
            "source_restored",
            source_era=revision.era,
            source_revision=revision.number,
        )
        self._mark_incomplete(self._outage.grace_end)
        self._servers.record_restore(revision)

    def _mark_incomplete(self, until: timedelta) -> None:
        """Treat the known entries as incomplete until the given time."""
        self._incomplete_until = until
        remaining = until - self._clock.monotonic()
        self._log.write(
            "may_lack_entries",
            for_ms=int(remaining.total_seconds() * 1000),
        )

    def _infer_outage(self, missing: list[str]) -> None:
        """Infer an outage when many entries go missing together.

        Handles this load pattern: an outage shorter than the wait of a watch, in which
        entries expire. No call fails, and most servers would be removed.
        """
        ready = self._servers.ready
        lost = ready.intersection(missing)
        if len(lost) < OUTAGE_MIN_LOST or len(lost) < OUTAGE_LOST_SHARE * len(ready):
            return
        if self._outage.may_explain_missing_entry:
            return
        self._outage.end()
        self._log.write(
            "outage_inferred",
            missing=len(lost),
            ready=len(ready),
        )

    def _adopt(self, configuration: PublishedConfiguration) -> None:
        """Put a newer version of the configuration in force."""
        if configuration.version <= self.version:
            self._log.write(
                "configuration_ignored",
                ignored=configuration.version,
            )
            return
        if self._configuration is not None:
            self._former_services.record_replaced(self._configuration, configuration)
        self._configuration = configuration
        self._log.version = configuration.version
        self._usable.set()
        self._log.record_change(
            "configuration_in_force", routes=len(configuration.routes)
        )
        for server in self._named_services.record_version(configuration):
            self._servers.record(server)

    def _replace_zones(self, listing: Listing, is_restored: bool) -> None:
        """Apply the zones of a full listing, unless a restore contradicts them."""
        listed = {
            item.zone: item.revision
            for item in listing.items
            if isinstance(item, ZoneItem)
        }
        if is_restored:
            # An entry that is written again in time may still wait to be read.
            end = self._outage.grace_end + READ_DELAY
            self._zones_out.contest(
                listed, missing_until=end + MISSING_ZONE_GRACE, ended_until=end
            )
        self._zones_out.replace(listed)

    def _reject(self, item: UnusableItem) -> None:
        """Log an entry that can't be parsed and remove the one that it replaces."""
        self._log.write("item_unusable", key=item.key, problem=item.problem)
        self._named_services.remove(item.identity)
        self._servers.record_unusable(item.identity)

    def _log_listing(self, listing: Listing) -> None:
        """Log what a listing contains and what was known before it."""
        items = listing.items
        configurations = [x for x in items if isinstance(x, ConfigurationItem)]
        self._log.write(
            "listed",
            listed_era=listing.revision.era,
            listed_revision=listing.revision.number,
            listed_version=max(
                (x.configuration.version for x in configurations), default=0
            ),
            servers=sum(isinstance(x, ServerItem) for x in items),
            zones_out=sum(isinstance(x, ZoneItem) for x in items),
        )
