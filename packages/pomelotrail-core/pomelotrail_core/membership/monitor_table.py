"""Heartbeat state of the companions at one monitor."""

from collections.abc import Iterable
from datetime import timedelta

import attrs

from pomelotrail_core.clock import Clock

from .const import (
    HEARTBEAT_TIMEOUT,
    RECONNECT_TIMEOUT,
    STABLE_AFTER,
    TRUST_AFTER_MAX,
    TRUST_AFTER_MIN,
)


@attrs.define
class _Companion:
    """Heartbeat state of one companion.

    ``trust_after`` doubles each time that suspicion ends, so a flapping companion
    changes state less and less often.
    """

    last_heartbeat_at: timedelta
    stable_since: timedelta
    disconnected_at: timedelta | None = None
    is_suspected: bool = False
    trust_after: timedelta = TRUST_AFTER_MIN


class MonitorTable:
    """Suspects companions without heartbeats and trusts stable ones."""

    def __init__(self, clock: Clock) -> None:
        """Initialize an empty table."""
        self._clock = clock
        self._companions: dict[str, _Companion] = {}

    @property
    def suspected(self) -> frozenset[str]:
        """Return the names of the companions that this monitor suspects."""
        return frozenset(
            name for name, each in self._companions.items() if each.is_suspected
        )

    @property
    def size(self) -> int:
        """Return the number of companions that have sent heartbeats."""
        return len(self._companions)

    def record_heartbeat(self, name: str) -> None:
        """Record a heartbeat."""
        now = self._clock.monotonic()
        companion = self._companions.get(name)
        if companion is None:
            self._companions[name] = _Companion(now, now)
            return
        was_disconnected = companion.disconnected_at is not None
        if was_disconnected or now - companion.last_heartbeat_at >= HEARTBEAT_TIMEOUT:
            companion.stable_since = now
        companion.last_heartbeat_at = now
        companion.disconnected_at = None

    def record_disconnect(self, name: str) -> None:
        """Record that the stream of a companion has ended."""
        companion = self._companions.get(name)
        if companion is not None:
            companion.disconnected_at = self._clock.monotonic()

    def keep_only(self, names: Iterable[str]) -> None:
        """Remove the companions that are not in ``names``."""
        known = set(names)
        self._companions = {
            name: each for name, each in self._companions.items() if name in known
        }

    def sweep(self) -> bool:
        """Evaluate every companion; return whether any suspicion has changed."""
        changes = [self._evaluate(companion) for companion in self._companions.values()]
        return any(changes)

    def discount_own_pause(self, pause: timedelta) -> None:
        """Exclude a pause of this process from the time without heartbeats."""
        for companion in self._companions.values():
            companion.last_heartbeat_at += pause
            if companion.disconnected_at is not None:
                companion.disconnected_at += pause

    def _evaluate(self, companion: _Companion) -> bool:
        """Evaluate one companion; return whether its suspicion has changed."""
        now = self._clock.monotonic()
        is_unresponsive = now - companion.last_heartbeat_at >= HEARTBEAT_TIMEOUT
        if companion.disconnected_at is not None:
            is_unresponsive = (
                is_unresponsive or now - companion.disconnected_at >= RECONNECT_TIMEOUT
            )
        stable_for = now - companion.stable_since
        if is_unresponsive and not companion.is_suspected:
            if stable_for >= STABLE_AFTER:
                companion.trust_after = TRUST_AFTER_MIN
            companion.is_suspected = True
            return True
        if is_unresponsive or not companion.is_suspected:
            return False
        if stable_for < companion.trust_after or companion.disconnected_at is not None:
            return False
        companion.is_suspected = False
        companion.trust_after = min(2 * companion.trust_after, TRUST_AFTER_MAX)
        return True
