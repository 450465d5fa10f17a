"""What one monitor has heard of the companions."""

from collections.abc import Iterable
from datetime import timedelta

import attrs

from pomelotrail_core.clock import Clock

from .const import (
    RECONNECT_WITHIN,
    STEADY_AFTER,
    SUSPECT_AFTER,
    TRUST_AFTER_MAX,
    TRUST_AFTER_MIN,
)


@attrs.define
class _Companion:
    """One companion that has sent a heartbeat.

    ``trust_after`` doubles each time it is suspected again, so a companion that
    comes and goes changes this monitor's mind ever more seldom.
    """

    heard_at: timedelta
    steady_since: timedelta
    lost_at: timedelta | None = None
    is_suspected: bool = False
    trust_after: timedelta = TRUST_AFTER_MIN


class MonitorTable:
    """Suspects companions that are silent, and trusts those that are steady."""

    def __init__(self, clock: Clock) -> None:
        """Start without any companion."""
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
        """Return the number of companions heard of."""
        return len(self._companions)

    def hear(self, name: str) -> None:
        """Take a heartbeat."""
        now = self._clock.monotonic()
        companion = self._companions.get(name)
        if companion is None:
            self._companions[name] = _Companion(now, now)
            return
        was_lost = companion.lost_at is not None
        if was_lost or now - companion.heard_at >= SUSPECT_AFTER:
            companion.steady_since = now
        companion.heard_at = now
        companion.lost_at = None

    def lose(self, name: str) -> None:
        """Take note that the stream of a companion has ended."""
        companion = self._companions.get(name)
        if companion is not None:
            companion.lost_at = self._clock.monotonic()

    def keep_only(self, names: Iterable[str]) -> None:
        """Forget companions that the configuration does not name any more."""
        known = set(names)
        self._companions = {
            name: each for name, each in self._companions.items() if name in known
        }

    def sweep(self) -> bool:
        """Judge every companion again; tell whether anything has changed."""
        changes = [self._judge(companion) for companion in self._companions.values()]
        return any(changes)

    def forgive_own_pause(self, pause: timedelta) -> None:
        """Don't hold against companions what this process has slept through."""
        for companion in self._companions.values():
            companion.heard_at += pause
            if companion.lost_at is not None:
                companion.lost_at += pause

    def _judge(self, companion: _Companion) -> bool:
        """Judge one companion; tell whether the judgement has changed."""
        now = self._clock.monotonic()
        is_silent = now - companion.heard_at >= SUSPECT_AFTER
        if companion.lost_at is not None:
            is_silent = is_silent or now - companion.lost_at >= RECONNECT_WITHIN
        steady = now - companion.steady_since
        if is_silent and not companion.is_suspected:
            if steady >= STEADY_AFTER:
                companion.trust_after = TRUST_AFTER_MIN
            companion.is_suspected = True
            return True
        if is_silent or not companion.is_suspected:
            return False
        if steady < companion.trust_after or companion.lost_at is not None:
            return False
        companion.is_suspected = False
        companion.trust_after = min(2 * companion.trust_after, TRUST_AFTER_MAX)
        return True
