"""Entries of a configuration as documents write them."""

from collections.abc import Iterator

from pomelotrail_core.configuration import (
    AvailabilityZone,
    BackendServer,
    Balancer,
    Configuration,
    RequestClass,
)

from .messages import Entries, Fields
from .places import (
    balancer_place,
    class_place,
    number_places,
    server_place,
    service_place,
    zone_place,
)
from .values import duration_text


def configuration_entries(configuration: Configuration) -> Entries:
    """Return the fields of all entries by place."""
    return number_places(_all_entries(configuration))


def _all_entries(configuration: Configuration) -> Iterator[tuple[str, Fields]]:
    """Yield place and fields of each entry in the order of the document."""
    for zone in configuration.zones:
        yield zone_place(zone), _zone_fields(zone)
    for balancer in configuration.balancers:
        yield balancer_place(balancer), _process_fields(balancer)
    for service in configuration.services:
        yield service_place(service), {"number": service.number}
        for each in service.classes:
            yield class_place(service, each), _class_fields(each)
        for server in service.backend_servers:
            yield server_place(service, server), _server_fields(server)


def _zone_fields(zone: AvailabilityZone) -> Fields:
    """Return the fields of an availability zone."""
    return {"number": zone.number, "region": zone.region, "out": zone.is_out}


def _process_fields(process: Balancer | BackendServer) -> Fields:
    """Return the fields that balancers and backend servers have."""
    return {
        "zone": process.zone,
        "packets": str(process.packets),
        "control": str(process.control),
    }


def _server_fields(server: BackendServer) -> Fields:
    """Return the fields of a backend server."""
    return {
        **_process_fields(server),
        "slots": server.slots,
        "connections": server.connections,
        "out": server.is_out,
    }


def _class_fields(request_class: RequestClass) -> Fields:
    """Return the fields of a class of requests."""
    return {
        "method": request_class.method,
        "path": request_class.path,
        "target.within": duration_text(request_class.within),
        "target.share": request_class.share,
        "run_once": request_class.run_once,
        "stream": request_class.is_stream,
        "deadline": duration_text(request_class.deadline),
        "body_limit": request_class.body_limit,
    }
