"""The configuration as typed objects."""

from datetime import timedelta
from functools import cached_property

import attrs

from pomelotrail_core.endpoint import Endpoint


@attrs.frozen
class AvailabilityZone:
    """An availability zone, which operators can take out of service."""

    name: str
    number: int
    region: str = "default"
    is_out: bool = False


@attrs.frozen
class RequestClass:
    """A class of requests with a latency target instead of weights.

    The target is to answer a ``share`` of its requests within ``within``.
    ``run_once`` marks requests that must not run twice; ``is_stream`` marks
    answers that stay open, for which the target applies to the answer head.
    """

    name: str
    method: str
    path: str
    within: timedelta
    share: float
    run_once: bool
    deadline: timedelta
    body_limit: int
    is_stream: bool = False

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request belongs to the class."""
        if method != self.method:
            return False
        return path == self.path or path.startswith(self.path.rstrip("/") + "/")


@attrs.frozen
class BackendServer:
    """A backend server with its companion.

    ``packets`` and ``control`` are addresses of the companion; ``slots`` is
    the number of requests the server processes concurrently when it is warm.
    """

    name: str
    zone: str
    packets: Endpoint
    control: Endpoint
    slots: int
    connections: int
    is_out: bool = False


@attrs.frozen
class Balancer:
    """A balancer with its addresses inside the fleet."""

    name: str
    zone: str
    packets: Endpoint
    control: Endpoint


@attrs.frozen(slots=False)
class Service:
    """A service with its request classes and backend servers."""

    name: str
    number: int
    classes: tuple[RequestClass, ...]
    backend_servers: tuple[BackendServer, ...]

    @cached_property
    def server_names(self) -> frozenset[str]:
        """Return the names of the backend servers."""
        return frozenset(server.name for server in self.backend_servers)

    def request_class(self, method: str, path: str) -> RequestClass | None:
        """Return the class with the longest path that matches."""
        matching = [each for each in self.classes if each.matches(method, path)]
        return max(matching, key=lambda each: len(each.path), default=None)


@attrs.frozen(slots=False)
class Configuration:
    """One accepted version of the operators' document."""

    version: int
    zones: tuple[AvailabilityZone, ...]
    services: tuple[Service, ...]
    balancers: tuple[Balancer, ...]

    @cached_property
    def zones_out(self) -> frozenset[str]:
        """Return the names of the availability zones that are out."""
        return frozenset(zone.name for zone in self.zones if zone.is_out)

    @cached_property
    def zone_numbers_out(self) -> frozenset[int]:
        """Return the numbers of the availability zones that are out."""
        return frozenset(zone.number for zone in self.zones if zone.is_out)

    @cached_property
    def _services_by_name(self) -> dict[str, Service]:
        """Return the services by name."""
        return {service.name: service for service in self.services}

    def service(self, name: str) -> Service | None:
        """Return the service of that name, or None."""
        return self._services_by_name.get(name)

    @cached_property
    def _processes_by_packets(self) -> dict[Endpoint, Balancer | BackendServer]:
        """Return all processes by packet address."""
        processes = {each.packets: each for each in self.balancers}
        for service in self.services:
            processes.update({each.packets: each for each in service.backend_servers})
        return processes

    def process_at(self, packets: Endpoint) -> Balancer | BackendServer | None:
        """Return the process with a packet address, or None."""
        return self._processes_by_packets.get(packets)

    def zone(self, name: str) -> AvailabilityZone | None:
        """Return the availability zone of that name, or None."""
        return next((zone for zone in self.zones if zone.name == name), None)
