"""Views of all companions, based on the directory."""

from datetime import timedelta

from pomelotrail_core.directory import BackendServer, Directory
from pomelotrail_core.offers import service_label
from pomelotrail_core.ranking import RendezvousRanking

from .companion_view import Address, CompanionView
from .const import PREFERRED_IN_OTHER_ZONES, PREFERRED_IN_ZONE


class Companions:
    """One view for each companion that may be offered or own flows.

    Companions listen on the same two ports on every VM::

        companions = Companions(directory, "zone-a", 8172, 7720)
        companions.preferred(flow, companions.candidates("stock-ledger"))
    """

    def __init__(
        self, directory: Directory, zone: str, packets_port: int, fleet_port: int
    ) -> None:
        """Initialize views for a balancer in an availability zone."""
        self._zone = zone
        self._ranking = RendezvousRanking()
        self._directory = directory
        self._packets_port = packets_port
        self._fleet_port = fleet_port
        self._views: dict[str, CompanionView] = {}
        self._by_fleet_address: dict[Address, CompanionView] = {}

    def candidates(self, service: str) -> list[CompanionView]:
        """Return the companions that may be offered new flows of a service."""
        return [self._view(each) for each in self._directory.candidates(service)]

    def possible_owners(self) -> list[CompanionView]:
        """Return the companions whose servers may own flows."""
        return [self._view(each) for each in self._directory.possible_owners()]

    def confirmed_removals(self) -> list[CompanionView]:
        """Return the companions of servers whose removal is confirmed."""
        return [self._view(each) for each in self._directory.confirmed_removals()]

    def preferred(
        self, flow: bytes, companions: list[CompanionView]
    ) -> list[CompanionView]:
        """Return the few companions that a flow is offered to first.

        All balancers in a zone compute the same ranking, so a balancer can find the
        owner of an unknown flow by querying only these.
        """
        own = [each for each in companions if each.server.zone == self._zone]
        other = [each for each in companions if each.server.zone != self._zone]
        return [
            *self._ranking.rank(flow, own, PREFERRED_IN_ZONE),
            *self._ranking.rank(flow, other, PREFERRED_IN_OTHER_ZONES),
        ]

    def suspects(self) -> list[CompanionView]:
        """Return the companions that did not reply."""
        return [each for each in self._by_fleet_address.values() if each.is_suspect]

    def find_by_address(self, fleet_address: Address) -> CompanionView | None:
        """Return the companion with a fleet address."""
        return self._by_fleet_address.get(fleet_address)

    def _view(self, server: BackendServer) -> CompanionView:
        """Return the view of a server's companion."""
        view = self._views.get(server.identity)
        if view is not None and view.server.endpoint == server.endpoint:
            if view.server.started_ms != server.started_ms:
                # With this time, the companion can tell whether it has all flows.
                view.unsure_until = timedelta()
                view.concurrency = 0
            view.server = server
            return view
        moved, host = view, server.endpoint.host
        view = CompanionView(
            server=server,
            packets_address=(host, self._packets_port),
            fleet_address=(host, self._fleet_port),
            label=service_label(server.service),
            packed=server.endpoint.pack(),
        )
        if moved is not None:
            self._evict(moved.fleet_address)
        self._evict(view.fleet_address)
        self._views[server.identity] = view
        self._by_fleet_address[view.fleet_address] = view
        return view

    def _evict(self, fleet_address: Address) -> None:
        """Remove the view of an earlier server at the same address."""
        earlier = self._by_fleet_address.pop(fleet_address, None)
        if earlier is not None:
            self._views.pop(earlier.server.identity, None)
