"""Companions and balancers of the configuration in force."""

import attrs

from pomelotrail_core.configuration import (
    BackendServer,
    Balancer,
    Configuration,
    Service,
)
from pomelotrail_core.routing import Candidate


@attrs.frozen(eq=False)
class _ServiceView:
    """Derived state of one service."""

    service: Service
    candidates: tuple[Candidate, ...]
    possible_owners: tuple[Candidate, ...]
    packed_out: frozenset[bytes]


class Roster:
    """Determines who accepts new flows, from configuration and suspicion.

    Suspicion only demotes a companion for new flows; it never affects an
    established flow.
    """

    def __init__(self) -> None:
        """Initialize an empty roster."""
        self._configuration: Configuration | None = None
        self._suspected: frozenset[str] = frozenset()
        self._views: dict[int, _ServiceView] = {}
        self._packed_out: frozenset[bytes] = frozenset()
        self._view_inputs: tuple[frozenset[str], frozenset[str]] = (
            frozenset(),
            frozenset(),
        )
        self._packed_from: tuple[Balancer, ...] = ()
        self._packed_balancers: tuple[bytes, ...] = ()

    @property
    def packed_balancers(self) -> tuple[bytes, ...]:
        """Return the packed packet addresses of ``balancers``."""
        return self._packed_balancers

    @property
    def balancers(self) -> tuple[Balancer, ...]:
        """Return the balancers that are not in a zone that is out."""
        if self._configuration is None:
            return ()
        zones_out = self._configuration.zones_out
        return tuple(
            balancer
            for balancer in self._configuration.balancers
            if balancer.zone not in zones_out
        )

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self._configuration = configuration
        self._pack_balancers()
        self._rebuild()

    def set_suspected(self, names: frozenset[str]) -> None:
        """Demote exactly the companions beside these backend servers."""
        self._suspected = names
        self._rebuild()

    def candidates(self, service_number: int) -> tuple[Candidate, ...]:
        """Return the companions that may accept new flows of a service."""
        view = self._views.get(service_number)
        return view.candidates if view is not None else ()

    def possible_owners(self, service_number: int) -> tuple[Candidate, ...]:
        """Return the companions that may own flows, including servers that are out."""
        view = self._views.get(service_number)
        return view.possible_owners if view is not None else ()

    def is_out(self, packed_companion: bytes) -> bool:
        """Return whether a companion is in an availability zone that is out."""
        return packed_companion in self._packed_out

    def _pack_balancers(self) -> None:
        """Pack the addresses of the balancers if they have changed."""
        balancers = self.balancers
        if balancers != self._packed_from:
            self._packed_from = balancers
            self._packed_balancers = tuple(each.packets.pack() for each in balancers)

    def _rebuild(self) -> None:
        """Rebuild the views of the services that have changed."""
        if self._configuration is None:
            return
        reusable = self._reusable_views()
        self._views = {
            service.number: reusable.get(id(service)) or self._view(service)
            for service in self._configuration.services
        }
        self._packed_out = frozenset().union(
            *(view.packed_out for view in self._views.values())
        )

    def _reusable_views(self) -> dict[int, _ServiceView]:
        """Return the views that are still valid, by the identity of their service.

        An unchanged service is the same object in the next version.
        """
        assert self._configuration is not None
        zones_out, suspected = self._view_inputs
        self._view_inputs = (self._configuration.zones_out, self._suspected)
        if zones_out != self._configuration.zones_out:
            return {}
        changed = suspected ^ self._suspected
        return {
            id(view.service): view
            for view in self._views.values()
            if view.service.server_names.isdisjoint(changed)
        }

    def _view(self, service: Service) -> _ServiceView:
        """Build the view of a service."""
        assert self._configuration is not None
        zones_out = self._configuration.zones_out
        remaining = [
            each for each in service.backend_servers if each.zone not in zones_out
        ]
        out = [each for each in service.backend_servers if each.zone in zones_out]
        return _ServiceView(
            service=service,
            candidates=self._eligible(remaining),
            possible_owners=tuple(Candidate(each.packets) for each in remaining),
            packed_out=frozenset(each.packets.pack() for each in out),
        )

    def _eligible(self, remaining: list[BackendServer]) -> tuple[Candidate, ...]:
        """Return the candidates; suspected ones only if all are suspected."""
        allowed = [server for server in remaining if not server.is_out]
        trusted = [each for each in allowed if each.name not in self._suspected]
        return tuple(Candidate(each.packets) for each in trusted or allowed)
