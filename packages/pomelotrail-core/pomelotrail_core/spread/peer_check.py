"""Compares versions with peers and service after a pause."""

from pomelotrail_core.clock import Clock
from pomelotrail_core.waking import ConfigurationCheck
from pomelotrail_core.waking.const import CHECK_RETRY

from .spreader import Spreader


class PeerCheck(ConfigurationCheck):
    """Asks peers and the configuration service until anybody answers."""

    def __init__(self, spread: Spreader, clock: Clock) -> None:
        """Compare through the spread of this process."""
        self._spread = spread
        self._clock = clock

    async def async_compare(self) -> str:
        """Return how many of those asked have answered."""
        while True:
            comparison = await self._spread.async_compare_versions()
            if comparison.is_sound:
                return f"{comparison.answered} of {comparison.asked} peers and service"
            await self._clock.async_sleep(CHECK_RETRY)
