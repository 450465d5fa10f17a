"""Checks for limits that contradict each other."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Final

from pomelotrail_core.configuration import Configuration, RequestClass, Service

from .check import ConfigurationCheck, warn
from .messages import Finding
from .places import balancer_place, class_place, server_place
from .values import duration_text

_ZERO: Final = timedelta()


class TargetCheck(ConfigurationCheck[Configuration]):
    """Finds classes whose target is over their deadline, or 0."""

    def find(self, content: Configuration) -> Iterator[Finding]:
        """Yield targets above the deadline, and limits of zero."""
        for service in content.services:
            for each in service.classes:
                yield from self._find_in_class(service, each)

    def _find_in_class(
        self, service: Service, request_class: RequestClass
    ) -> Iterator[Finding]:
        """Yield the findings for one class."""
        place = class_place(service, request_class)
        within, deadline = request_class.within, request_class.deadline
        if deadline == _ZERO:
            yield warn(
                f"{place}.deadline",
                "is 0, so every request is past its deadline when it arrives",
                "write a deadline above the target",
            )
        elif within > deadline:
            yield warn(
                f"{place}.target.within",
                f"{duration_text(within)} is over the deadline of "
                f"{duration_text(deadline)}, at which a request is given up",
                "lower the target, or raise the deadline above it",
            )
        if within == _ZERO:
            yield warn(
                f"{place}.target.within",
                "is 0, which no answer meets",
                "write a duration above 0",
            )


class TargetConflictCheck(ConfigurationCheck[Configuration]):
    """Finds classes of one name with different targets.

    Admission keeps the state of a class by its name, with the target of whichever
    class gets the first request.
    """

    def find(self, content: Configuration) -> Iterator[Finding]:
        """Yield the classes whose target differs from an earlier one of their name."""
        for service in content.services:
            first_by_name: dict[str, RequestClass] = {}
            for each in service.classes:
                first = first_by_name.setdefault(each.name, each)
                if (first.within, first.share) != (each.within, each.share):
                    yield warn(
                        f"{class_place(service, each)}.target",
                        "two classes of this name have different targets, and only "
                        "one of them holds for both",
                        "rename one of the classes, or write the same target",
                    )


class ConnectionsCheck(ConfigurationCheck[Configuration]):
    """Finds backend servers with fewer connections than slots."""

    def find(self, content: Configuration) -> Iterator[Finding]:
        """Yield the backend servers whose slots can't be filled by a request a flow."""
        for service in content.services:
            for server in service.backend_servers:
                if server.slots > server.connections:
                    yield warn(
                        f"{server_place(service, server)}.slots",
                        f"{server.slots} is over connections, {server.connections}: "
                        "with one request a flow at a time, some slots stay empty",
                        "raise connections to the slots at least, or lower the slots",
                    )


class ControlAddressCheck(ConfigurationCheck[Configuration]):
    """Finds processes that share a control address, of which calls reach one only."""

    def find(self, content: Configuration) -> Iterator[Finding]:
        """Yield the processes whose address an earlier one has."""
        places = {}
        for balancer in content.balancers:
            places[balancer_place(balancer)] = balancer.control
        for service in content.services:
            for server in service.backend_servers:
                places[server_place(service, server)] = server.control
        first_by_address: dict[object, str] = {}
        for place, control in places.items():
            first = first_by_address.setdefault(control, place)
            if first != place:
                yield warn(
                    f"{place}.control",
                    f"{control} is also the control address of {first}",
                    "write the address of this process",
                )


class DrainCheck(ConfigurationCheck[Configuration]):
    """Finds classes that a shutdown may wait for longer than its grace period.

    A companion whose settings have no ``drain_limit`` waits for all running requests.
    The deadline bounds the wait for an answer to begin, and nothing bounds a stream.
    """

    def __init__(self, grace: timedelta) -> None:
        """Compare with the time from the signal to the end of a process."""
        self._grace = grace

    def find(self, content: Configuration) -> Iterator[Finding]:
        """Yield the classes whose requests may outlast the grace period."""
        grace = duration_text(self._grace)
        for service in content.services:
            for each in service.classes:
                place = class_place(service, each)
                if each.is_stream:
                    yield warn(
                        f"{place}.stream",
                        "answers stay open, so draining may outlast the grace period "
                        f"of {grace}",
                        "set drain_limit in the settings of the companions to less",
                    )
                elif each.deadline > self._grace:
                    yield warn(
                        f"{place}.deadline",
                        "draining may take the deadline of "
                        f"{duration_text(each.deadline)}, over the grace period of "
                        f"{grace}",
                        "lower the deadline, or set drain_limit in the settings of the "
                        "companions to less than the grace period",
                    )
