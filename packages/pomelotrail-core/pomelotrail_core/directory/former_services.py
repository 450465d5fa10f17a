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
        until = self._until.get(address)
        if until is None:
            return set()
        now = self._clock.monotonic()
        return {service for service, end in until.items() if now < end}

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

    def _last_use(self) -> timedelta:
        """Return the time when flows of a version that is replaced now have ended.

        Balancers that lag behind still open flows by it.
        """
        lifetime = MAX_CONFIGURATION_LAG + self._max_flow_duration
        return self._clock.monotonic() + lifetime

    def _drop_expired(self) -> None:
        """Drop addresses without a service that may still have flows."""
        for address in [each for each in self._until if not self.services(each)]:
            del self._until[address]
