"""Other companions of the service, according to the configuration in force."""

import random

from pomelotrail_core.configuration import ConfigurationCoordinator
from pomelotrail_core.endpoint import Endpoint


class ServicePeers:
    """Lists the companions that a request can be handed over to."""

    def __init__(
        self,
        service: str,
        own: Endpoint,
        coordinator: ConfigurationCoordinator,
        rng: random.Random,
    ) -> None:
        """Initialize for companions of ``service`` except the one at ``own``."""
        self._service = service
        self._own = own
        self._coordinator = coordinator
        self._rng = rng

    @property
    def service(self) -> str:
        """Return the name of the service."""
        return self._service

    def candidates(self) -> list[Endpoint]:
        """Return the control addresses of companions in service, in random order."""
        configuration = self._coordinator.current
        service = configuration.service(self._service) if configuration else None
        if configuration is None or service is None:
            return []
        found = [
            server.control
            for server in service.backend_servers
            if not server.is_out
            and server.zone not in configuration.zones_out
            and server.control != self._own
        ]
        self._rng.shuffle(found)
        return found

    def is_listed(self, endpoint: Endpoint) -> bool:
        """Return whether a companion of the service is published at an address."""
        configuration = self._coordinator.current
        service = configuration.service(self._service) if configuration else None
        if service is None:
            return False
        return any(server.control == endpoint for server in service.backend_servers)
