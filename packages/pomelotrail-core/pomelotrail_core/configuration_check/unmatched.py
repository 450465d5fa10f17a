"""Checks for entries that can never match."""

from collections.abc import Iterator

from pomelotrail_core.configuration import Configuration, RequestClass, Service

from .check import ConfigurationCheck, warn
from .messages import Finding
from .places import balancer_place, class_place, service_place, zone_place


class ShadowedClassCheck(ConfigurationCheck[Configuration]):
    """Finds classes all of whose requests belong to another class.

    The class with the longest matching path gets a request, and the first of several
    with paths of that length. A class that doesn't get the request to its own path
    doesn't get any below it either.
    """

    def find(self, content: Configuration) -> Iterator[Finding]:
        """Yield the shadowed classes."""
        for service in content.services:
            for each in service.classes:
                owner = service.request_class(each.method, each.path)
                if owner is not None and owner is not each:
                    yield self._describe(service, each, owner)

    def _describe(
        self, service: Service, shadowed: RequestClass, owner: RequestClass
    ) -> Finding:
        """Return the finding for a class that another one shadows."""
        return warn(
            f"{class_place(service, shadowed)}.path",
            f"gets no request: class {owner.name!r} with path {owner.path!r} gets "
            f"every {shadowed.method} of {shadowed.path!r}",
            "remove one of the classes, or change its method or path",
        )


class QueryInPathCheck(ConfigurationCheck[Configuration]):
    """Finds classes whose path has a query, which is cut off before classes match."""

    def find(self, content: Configuration) -> Iterator[Finding]:
        """Yield the classes with a query."""
        for service in content.services:
            for each in service.classes:
                if "?" in each.path:
                    yield warn(
                        f"{class_place(service, each)}.path",
                        f"gets no request: {each.path!r} has a query, and requests "
                        "are matched without theirs",
                        "remove the question mark and what follows it",
                    )


class UnservedServiceCheck(ConfigurationCheck[Configuration]):
    """Finds services that no backend server can accept flows of."""

    def find(self, content: Configuration) -> Iterator[Finding]:
        """Yield the services without a backend server in service."""
        for service in content.services:
            if not service.backend_servers:
                yield warn(
                    f"{service_place(service)}.backend_servers",
                    "gets no flow: it has no backend server in any zone",
                    "add a backend server, or remove the service",
                )
            elif not _is_served(service, content):
                yield warn(
                    f"{service_place(service)}.backend_servers",
                    "gets no flow: each backend server is out or in a zone that is out",
                    "take a backend server or a zone back into service",
                )


class UnusedZoneCheck(ConfigurationCheck[Configuration]):
    """Finds availability zones that no balancer or backend server is in."""

    def find(self, content: Configuration) -> Iterator[Finding]:
        """Yield the unused zones."""
        used = {each.zone for each in content.balancers}
        for service in content.services:
            used.update(each.zone for each in service.backend_servers)
        for zone in content.zones:
            if zone.name not in used:
                yield warn(
                    zone_place(zone),
                    "no balancer and no backend server is in this zone",
                    "remove it, or correct the zones of balancers and backend servers",
                )


class BalancersOutCheck(ConfigurationCheck[Configuration]):
    """Finds a fleet whose balancers are all in zones that are out.

    The balancers don't have to be listed.
    """

    def find(self, content: Configuration) -> Iterator[Finding]:
        """Yield a finding if all listed balancers are out."""
        balancers = content.balancers
        if not balancers or any(
            each.zone not in content.zones_out for each in balancers
        ):
            return
        yield warn(
            f"{balancer_place(balancers[0])}.zone",
            "each balancer is in a zone that is out",
            "take a zone with a balancer back into service",
        )


def _is_served(service: Service, configuration: Configuration) -> bool:
    """Return whether a backend server of a service is in service."""
    return any(
        not server.is_out and server.zone not in configuration.zones_out
        for server in service.backend_servers
    )
