"""Compare versions with peers and the service after a pause."""

from pomelotrail_core.clock import Clock
from pomelotrail_core.suspend_detection import ConfigurationCheck
from pomelotrail_core.suspend_detection.const import CHECK_RETRY_DELAY

from .spreader import Spreader


class PeerCheck(ConfigurationCheck):
    """Queries peers and the configuration service until one answers."""

    def __init__(self, spread: Spreader, clock: Clock) -> None:
        """Compare through the spreader of this process."""
        self._spreader = spread
        self._clock = clock

    async def async_compare(self) -> str:
        """Return the number of queried peers that answered, as text."""
        while True:
            comparison = await self._spreader.async_compare_versions()
            if comparison.has_answer:
                return (
                    f"{comparison.answered} of {comparison.queried} peers and service"
                )
            await self._clock.async_sleep(CHECK_RETRY_DELAY)
