"""The views of all companions, kept in step with the directory."""

from pomelotrail_core.directory import BackendServer, Directory
from pomelotrail_core.offers import service_label
from pomelotrail_core.ranking import RendezvousRanking

from .companion_view import Address, CompanionView
from .const import PREFERRED_ELSEWHERE, PREFERRED_IN_ZONE


class Companions:
    """One view for each companion that may get or hold flows.

    Companions listen at the same two ports on every VM::

            companions = Companions(directory, "zone-a", 8172, 7720)
        companions.preferred(flow, companions.candidates("stock-ledger"))
    """

    def __init__(
        self, directory: Directory, zone: str, packets_port: int, fleet_port: int
    ) -> None:
        """View the companions of the servers in a directory from a zone."""
        self._zone = zone
        self._ranking = RendezvousRanking()
        self._directory = directory
        self._packets_port = packets_port
        self._fleet_port = fleet_port
        self._views: dict[str, CompanionView] = {}
        self._by_fleet: dict[Address, CompanionView] = {}

    def candidates(self, service: str) -> list[CompanionView]:
        """Return the companions that may be offered new flows of a service."""
        return [self._view(each) for each in self._directory.candidates(service)]

    def holders(self) -> list[CompanionView]:
        """Return the companions whose servers may hold flows."""
        return [self._view(each) for each in self._directory.possible_owners()]

    def left(self) -> list[CompanionView]:
        """Return the companions whose servers have left."""
        return [self._view(each) for each in self._directory.confirmed_removals()]

    def preferred(
        self, flow: bytes, companions: list[CompanionView]
    ) -> list[CompanionView]:
        """Return the few companions that a flow is offered to first.

        Every balancer of a zone ranks alike, so that one that doesn't know a flow
        finds its owner by asking these few.
        """
        own = [each for each in companions if each.server.zone == self._zone]
        other = [each for each in companions if each.server.zone != self._zone]
        return [
            *self._ranking.rank(flow, own, PREFERRED_IN_ZONE),
            *self._ranking.rank(flow, other, PREFERRED_ELSEWHERE),
        ]

    def suspects(self) -> list[CompanionView]:
        """Return the companions that did not answer."""
        return [each for each in self._by_fleet.values() if each.is_suspect]

    def at(self, fleet: Address) -> CompanionView | None:
        """Return the companion that sends from a fleet address."""
        return self._by_fleet.get(fleet)

    def _view(self, server: BackendServer) -> CompanionView:
        """Return the view of a server's companion."""
        view = self._views.get(server.identity)
        if view is not None:
            view.server = server
            return view
        host = server.endpoint.host
        view = CompanionView(
            server=server,
            packets=(host, self._packets_port),
            fleet=(host, self._fleet_port),
            label=service_label(server.service),
            packed=server.endpoint.pack(),
        )
        self._forget(view.fleet)
        self._views[server.identity] = view
        self._by_fleet[view.fleet] = view
        return view

    def _forget(self, fleet: Address) -> None:
        """Drop the view of an earlier server at the same address."""
        earlier = self._by_fleet.pop(fleet, None)
        if earlier is not None:
            self._views.pop(earlier.server.identity, None)
