"""The companions and balancers that the configuration in force names."""

from pomelotrail_core.configuration import (
    BackendServer,
    Balancer,
    Configuration,
    Service,
)
from pomelotrail_core.routing import Candidate


class Roster:
    """Answers who may take new flows, from configuration and suspicion.

    Suspicion only demotes a companion for new flows; it never touches an
    established flow.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._configuration: Configuration | None = None
        self._suspected: frozenset[str] = frozenset()
        self._candidates: dict[int, tuple[Candidate, ...]] = {}
        self._known: dict[int, tuple[Service, tuple[Candidate, ...]]] = {}
        self._decided_by: tuple[frozenset[str], frozenset[str]] | None = None
        self._packed_from: tuple[Balancer, ...] = ()
        self._packed_balancers: tuple[bytes, ...] = ()

    @property
    def packed_balancers(self) -> tuple[bytes, ...]:
        """Return the packet addresses of ``balancers``, packed."""
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
        """Take over a new version."""
        self._configuration = configuration
        self._pack_balancers()
        self._rebuild()

    def suspect(self, names: frozenset[str]) -> None:
        """Demote exactly the companions beside these backend servers."""
        self._suspected = names
        self._rebuild()

    def candidates(self, service_number: int) -> tuple[Candidate, ...]:
        """Return the companions that may take new flows of a service."""
        return self._candidates.get(service_number, ())

    def _pack_balancers(self) -> None:
        """Pack the addresses of the balancers, unless they are the same."""
        balancers = self.balancers
        if balancers != self._packed_from:
            self._packed_from = balancers
            self._packed_balancers = tuple(each.packets.pack() for each in balancers)

    def _rebuild(self) -> None:
        """Work out the candidates of every service."""
        if self._configuration is None:
            return
        decided_by = (self._configuration.zones_out, self._suspected)
        if decided_by != self._decided_by:
            self._decided_by = decided_by
            self._known = {}
        # An unchanged service is the same object in the next version.
        self._known = {
            id(service): self._known.get(id(service))
            or (service, self._eligible(service.backend_servers))
            for service in self._configuration.services
        }
        self._candidates = {
            service.number: candidates for service, candidates in self._known.values()
        }

    def _eligible(self, servers: tuple[BackendServer, ...]) -> tuple[Candidate, ...]:
        """Return the candidates; all suspected ones only if no other is left."""
        assert self._configuration is not None
        zones_out = self._configuration.zones_out
        allowed = [
            server
            for server in servers
            if not server.is_out and server.zone not in zones_out
        ]
        trusted = [each for each in allowed if each.name not in self._suspected]
        return tuple(Candidate(each.packets) for each in trusted or allowed)
