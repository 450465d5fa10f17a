"""Services that routes led to before."""

from datetime import timedelta

from pomelotrail_core.clock import Clock

from .const import MAX_CONFIGURATION_LAG
from .messages import PublishedConfiguration


class FormerServices:
    """The services at which flows may be open although their route left them.

    A new version of the configuration leaves open flows where they are. A process that
    has not read an earlier version learns its services from flows that it finds::

        former.record_replaced(version_3, current=version_4)
        former.record_flow(address, "ledger")
        former.services(address)
    """

    def __init__(self, clock: Clock, max_flow_duration: timedelta) -> None:
        """Initialize without services."""
        self._clock = clock
        self._max_flow_duration = max_flow_duration
        self._until: dict[bytes, dict[str, timedelta]] = {}
        self._complete_from: timedelta | None = None

    @property
    def is_complete(self) -> bool:
        """Return whether all versions of the last flow duration were read."""
        complete_from = self._complete_from
        return complete_from is not None and self._clock.monotonic() >= complete_from

    def services(self, address: bytes) -> set[str]:
        """Return the services that the route of an address led to before."""
        return self._services_until(address, self._clock.monotonic())

    def may_have_flows(self, address: bytes, service: str) -> bool:
        """Return whether flows may be open at a service that a route doesn't lead to.

        Balancers that lag behind have opened flows by a version that was replaced.
        """
        then = self._clock.monotonic() - MAX_CONFIGURATION_LAG
        if self._complete_from is None or then < self._complete_from:
            return True
        return service in self._services_until(address, then)

    def record_gap(self) -> None:
        """Record that versions before the one in force may not have been read."""
        self._complete_from = self._last_use()

    def record_flow(self, address: bytes, service: str) -> None:
        """Record that a service has a flow of an address."""
        self._until.setdefault(address, {})[service] = self._last_use()

    def record_replaced(
        self, replaced: PublishedConfiguration, current: PublishedConfiguration
    ) -> None:
        """Record the services that routes led to in a replaced version."""
        self._drop_expired()
        until = self._last_use()
        for address, route in current.routes.items():
            former = replaced.routes.get(address)
            if former is None or former.shares == route.shares:
                continue
            left = former.services - route.services
            self._until.setdefault(address, {}).update(dict.fromkeys(left, until))

    def _services_until(self, address: bytes, time: timedelta) -> set[str]:
        """Return the services that may have flows of an address at a time."""
        until = self._until.get(address, {})
        return {service for service, end in until.items() if time < end}

    def _last_use(self) -> timedelta:
        """Return the time when flows that are open now have ended."""
        return self._clock.monotonic() + self._max_flow_duration

    def _drop_expired(self) -> None:
        """Drop addresses without a service that may still have flows."""
        then = self._clock.monotonic() - MAX_CONFIGURATION_LAG
        known = list(self._until)
        for address in [x for x in known if not self._services_until(x, then)]:
            del self._until[address]
