"""What this process believes of backend servers, routes and zones."""

import asyncio
from datetime import timedelta

from pomelotrail_core.clock import Clock
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.event_log import EventLog

from .const import (
    FEWEST_LAPSED,
    FORMER_SERVER_MEMORY,
    LAPSE_GRACE,
    LAPSED_SHARE,
    OUTAGE_MEMORY,
)
from .known_server import KnownServer
from .messages import (
    BackendServer,
    ConfigurationItem,
    Listing,
    PublishedConfiguration,
    RemovedItem,
    Route,
    ServerItem,
    ServerState,
    UnusableItem,
    ZoneItem,
)

_PART = "directory"


class Directory:
    """The state that the follower keeps current.

    Versions of the configuration only go up. An entry that goes missing in an
    outage of the store stays believed until the store has been back for two
    seconds; one that goes missing otherwise, or after it said that it leaves,
    is gone at once. The flows of a server that is gone may still be looked up
    there.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Start without any belief."""
        self._clock = clock
        self._log = log
        self._known: dict[str, KnownServer] = {}
        self._former: dict[str, KnownServer] = {}
        self._zones_out: set[str] = set()
        self._configuration: PublishedConfiguration | None = None
        self._revision = 0
        self._is_lost = False
        self._returned: timedelta | None = None
        self._generation = 0
        self._usable = asyncio.Event()
        self._first_listed: timedelta | None = None
        self._blind_until = timedelta()

    @property
    def is_usable(self) -> bool:
        """Tell whether there is a configuration to serve by."""
        return self._configuration is not None

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 before the first."""
        return self._configuration.version if self._configuration else 0

    @property
    def revision(self) -> int:
        """Return the revision of the store up to which changes are known."""
        return self._revision

    @property
    def unsettled_for(self) -> timedelta:
        """Return how long entries that lapsed in an outage may still come back."""
        if self._is_lost:
            return LAPSE_GRACE
        if self._returned is None:
            return timedelta()
        return max(timedelta(), self._returned + LAPSE_GRACE - self._clock.monotonic())

    @property
    def may_lack_entries(self) -> bool:
        """Tell whether entries may be missing that this directory never saw.

        A process that started in an outage, or just after one, lists the store
        while entries of living servers are still to come back.
        """
        return self._clock.monotonic() < self._blind_until

    @property
    def generation(self) -> int:
        """Return a number that grows with every change of belief."""
        return self._generation

    @property
    def zones_out(self) -> frozenset[str]:
        """Return the availability zones that are out of service."""
        return frozenset(self._zones_out)

    async def async_wait_until_usable(self) -> None:
        """Return once there is a configuration to serve by."""
        await self._usable.wait()

    def route(self, address: bytes) -> Route | None:
        """Return the route of a packed address."""
        if self._configuration is None:
            return None
        return self._configuration.routes.get(address)

    def candidates(self, service: str) -> list[BackendServer]:
        """Return the backend servers that may take new flows of a service."""
        self._expire()
        return [
            known.server
            for known in self._known.values()
            if known.server.service == service
            and known.server.state is ServerState.READY
            and known.server.zone not in self._zones_out
        ]

    def holders(self) -> list[BackendServer]:
        """Return all backend servers that may hold flows, of whatever service.

        A route may have led to another service when a flow was opened.
        """
        self._expire()
        known = (*self._known.values(), *self._former_servers(is_settled=False))
        return [each.server for each in known]

    def has_left(self, server: BackendServer) -> bool:
        """Tell whether a backend server's entry has been missing for a while."""
        former = self._former.get(server.identity)
        if former is None or self._is_lost:
            return False
        return self._clock.monotonic() - former.seen >= LAPSE_GRACE

    def left(self) -> list[BackendServer]:
        """Return the backend servers whose entries have been missing for a while.

        An entry that went missing by mistake is back by then, so these are gone.
        """
        self._expire()
        return [each.server for each in self._former_servers(is_settled=True)]

    def cold_flows_per_s(self, server: BackendServer) -> float | None:
        """Return what a cold backend server bears now, or None for a warm one."""
        known = self._known.get(server.identity)
        if known is None or self._configuration is None:
            return None
        terms = self._configuration.services.get(server.service)
        if terms is None or terms.cold_flows_per_s is None:
            return None
        age = self._clock.monotonic() - known.seen
        return terms.cold_flows_per_s if age < known.server.cold_for else None

    def replace(self, listing: Listing) -> None:
        """Take a whole listing; what it doesn't hold is missing."""
        self._note_first_listing()
        listed = {
            item.server.identity
            for item in listing.items
            if isinstance(item, ServerItem)
        }
        missing = [each for each in self._known if each not in listed]
        self._infer_outage(missing)
        for identity in missing:
            self._lose(identity)
        zones = {item.zone for item in listing.items if isinstance(item, ZoneItem)}
        for zone in self._zones_out - zones:
            self._bring_zone_back(zone)
        self.apply(listing)

    def apply(self, listing: Listing) -> None:
        """Take changes in their order."""
        self._revision = listing.revision
        removed = [each for each in listing.items if isinstance(each, RemovedItem)]
        self._infer_outage([each.identity for each in removed])
        for item in listing.items:
            match item:
                case ServerItem(server):
                    self._see(server)
                case ConfigurationItem(configuration):
                    self._adopt(configuration)
                case ZoneItem(zone):
                    self._take_zone_out(zone)
                case RemovedItem(identity, zone):
                    self._lose(identity)
                    self._bring_zone_back(zone)
                case UnusableItem():
                    self._refuse(item)

    def note_unsettled(self, remaining: timedelta) -> None:
        """Record that a peer saw an outage whose lapsed entries may be missing here.

        Who listed the store before the outage knows those entries.
        """
        now = self._clock.monotonic()
        if remaining <= timedelta() or self._first_listed is None:
            return
        if now - self._first_listed < LAPSE_GRACE and not self.may_lack_entries:
            self._be_blind(min(now + remaining, self._first_listed + LAPSE_GRACE))

    def note_lost(self, reason: str) -> None:
        """Record that the source can't be reached."""
        if not self._is_lost:
            self._log.write(_PART, "source_lost", reason=reason, version=self.version)
        self._is_lost = True

    def note_unchecked(self, reason: str) -> None:
        """Record that the source did not tell its revision."""
        self._log.write(_PART, "check_failed", reason=reason, revision=self._revision)

    def note_reached(self) -> None:
        """Record that the source answers."""
        if not self._is_lost:
            return
        self._is_lost = False
        self._returned = self._clock.monotonic()
        self._log.write(_PART, "source_back", version=self.version)
        for known in self._known.values():
            if known.lapses is not None:
                known.lapses = self._returned + LAPSE_GRACE

    def _note_first_listing(self) -> None:
        """Remember when the first listing came, and whether in or after an outage."""
        if self._first_listed is not None:
            return
        self._first_listed = self._clock.monotonic()
        if self.unsettled_for > timedelta():
            self._be_blind(self._first_listed + self.unsettled_for)

    def _be_blind(self, until: timedelta) -> None:
        """Stop taking the entries that are known for all there are."""
        self._blind_until = until
        remaining = until - self._clock.monotonic()
        self._log.write(
            _PART,
            "may_lack_entries",
            for_ms=int(remaining.total_seconds() * 1000),
            revision=self._revision,
        )

    def _see(self, server: BackendServer) -> None:
        """Believe an entry."""
        known = self._known.get(server.identity)
        if known is not None and known.server.revision == server.revision:
            known.lapses = None
            return
        if self._is_outdated(server):
            return
        self._forget_reused(server)
        self._known[server.identity] = KnownServer(server, self._clock.monotonic())
        self._former.pop(server.identity, None)
        self._changed(
            "server_seen",
            server=server.identity,
            service=server.service,
            address=str(server.endpoint),
            state=server.state.value,
            cold_ms=int(server.cold_for.total_seconds() * 1000),
            slots=server.slots,
        )

    def _is_outdated(self, server: BackendServer) -> bool:
        """Tell whether a later entry names the same address.

        A backend server that crashed leaves its entry for a while beside that
        of its successor.
        """
        return any(
            self._known[identity].server.revision > server.revision
            for identity in self._at(server.endpoint, self._known)
        )

    def _forget_reused(self, server: BackendServer) -> None:
        """Drop other entries of an address that this server has taken over."""
        for identity in self._at(server.endpoint, self._known):
            if identity != server.identity:
                self._remove(identity, "address_reused")
        for identity in self._at(server.endpoint, self._former):
            del self._former[identity]

    @staticmethod
    def _at(endpoint: Endpoint, servers: dict[str, KnownServer]) -> list[str]:
        """Return the identities at an address."""
        return [
            key for key, each in servers.items() if each.server.endpoint == endpoint
        ]

    def _lose(self, identity: str) -> None:
        """Take an entry as gone, or as lapsed if an outage explains it."""
        known = self._known.get(identity)
        if known is None or known.lapses is not None:
            return
        now = self._clock.monotonic()
        if known.server.state is ServerState.LEAVING or not self._explains_lapse(now):
            self._remove(identity, "entry_removed")
            return
        known.lapses = (self._returned if not self._is_lost else now) + LAPSE_GRACE
        self._changed("server_lapsed", server=identity)

    def _infer_outage(self, missing: list[str]) -> None:
        """Take many entries that went missing together for the end of an outage.

        Load pattern answered: an outage shorter than the wait of a watch, in which
        entries lapse. No call fails, and most servers would be taken as gone.
        """
        now = self._clock.monotonic()
        ready = [x for x, known in self._known.items() if known.is_ready]
        lost = set(missing).intersection(ready)
        if len(lost) < FEWEST_LAPSED or len(lost) < LAPSED_SHARE * len(ready):
            return
        if self._explains_lapse(now):
            return
        self._returned = now
        self._log.write(
            _PART,
            "outage_inferred",
            missing=len(lost),
            ready=len(ready),
            revision=self._revision,
        )

    def _explains_lapse(self, now: timedelta) -> bool:
        """Tell whether an outage may be why an entry is missing."""
        if self._is_lost:
            return True
        return self._returned is not None and now - self._returned < OUTAGE_MEMORY

    def _expire(self) -> None:
        """Drop lapsed entries and former servers whose time has come."""
        now = self._clock.monotonic()
        if not self._is_lost:
            for identity, known in list(self._known.items()):
                if known.lapses is not None and now >= known.lapses:
                    self._remove(identity, "lapse_not_renewed")
        for identity, known in list(self._former.items()):
            if now - known.seen >= FORMER_SERVER_MEMORY:
                del self._former[identity]

    def _former_servers(self, is_settled: bool) -> list[KnownServer]:
        """Return former servers that went missing long or a short time ago."""
        now = self._clock.monotonic()
        return [
            each
            for each in self._former.values()
            if (not self._is_lost and now - each.seen >= LAPSE_GRACE) is is_settled
        ]

    def _remove(self, identity: str, reason: str) -> None:
        """Stop believing an entry."""
        known = self._known.pop(identity)
        self._former[identity] = KnownServer(known.server, self._clock.monotonic())
        self._changed("server_gone", server=identity, reason=reason)

    def _adopt(self, configuration: PublishedConfiguration) -> None:
        """Put a newer version in force."""
        if configuration.version <= self.version:
            return
        self._configuration = configuration
        self._usable.set()
        self._changed("configuration_in_force", routes=len(configuration.routes))

    def _take_zone_out(self, zone: str) -> None:
        """Stop new flows to a zone."""
        if zone in self._zones_out:
            return
        self._zones_out.add(zone)
        self._changed("zone_out", zone=zone)

    def _bring_zone_back(self, zone: str) -> None:
        """Allow new flows to a zone again."""
        if zone not in self._zones_out:
            return
        self._zones_out.remove(zone)
        self._changed("zone_back", zone=zone)

    def _refuse(self, item: UnusableItem) -> None:
        """Use nothing of an entry that can't be read."""
        self._log.write(_PART, "item_unusable", key=item.key, problem=item.problem)
        if item.identity in self._known:
            self._remove(item.identity, "entry_unusable")

    def _changed(self, event: str, **fields: str | int) -> None:
        """Log a change of belief with the version and revision that it rests on."""
        self._generation += 1
        self._log.write(
            _PART, event, **fields, version=self.version, revision=self._revision
        )
