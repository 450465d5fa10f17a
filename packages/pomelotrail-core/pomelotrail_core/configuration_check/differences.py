"""Differences between two configurations, by entry and field."""

from collections.abc import Iterator
from typing import TypeAlias

from pomelotrail_core.configuration import (
    AvailabilityZone,
    BackendServer,
    Balancer,
    Configuration,
    RequestClass,
)

from .messages import Change, Difference, Fields
from .places import (
    balancer_place,
    class_place,
    server_place,
    service_place,
    zone_place,
)
from .values import duration_text

_Entries: TypeAlias = dict[str, Fields]


def find_differences(
    in_force: Configuration, new: Configuration
) -> tuple[Difference, ...]:
    """Return what differs, but for the version: removed, changed and added entries.

    Entries are compared by name, so a renamed one is removed and added.
    """
    before, after = _entries(in_force), _entries(new)
    removed = (
        Difference(Change.REMOVED, place, fields, {})
        for place, fields in before.items()
        if place not in after
    )
    added = (
        Difference(Change.ADDED, place, {}, fields)
        for place, fields in after.items()
        if place not in before
    )
    return (*removed, *_changed(before, after), *added)


def _changed(before: _Entries, after: _Entries) -> Iterator[Difference]:
    """Yield the entries of both with their fields that differ."""
    for place, fields in after.items():
        former = before.get(place, fields)
        names = [name for name, value in fields.items() if former[name] != value]
        if names:
            yield Difference(
                Change.CHANGED,
                place,
                {name: former[name] for name in names},
                {name: fields[name] for name in names},
            )


def _entries(configuration: Configuration) -> _Entries:
    """Return the fields of all entries by place."""
    entries: _Entries = {}
    for place, fields in _all_entries(configuration):
        number = 1
        # Classes of one service may have the same name.
        numbered = place
        while numbered in entries:
            number += 1
            numbered = f"{place}#{number}"
        entries[numbered] = fields
    return entries


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
