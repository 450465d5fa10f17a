"""In which order waiting requests start."""

import abc
import math
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import Final

import attrs

from .class_state import ClassState
from .const import RECENTLY_SEEN, SHORTFALL_STEP

_NO_SHORTFALL: Final = 0


@attrs.frozen(order=True)
class Precedence:
    """The place of a class; the lowest goes first."""

    is_over_share: bool
    is_late: bool
    shortfall_steps: int
    target_deadline: timedelta


class WorkOrder(abc.ABC):
    """Chooses the class whose first request starts next."""

    @abc.abstractmethod
    def precedence(
        self, state: ClassState, states: Iterable[ClassState], now: timedelta
    ) -> Precedence:
        """Return the place of a class among all classes."""

    @abc.abstractmethod
    def may_start(
        self,
        state: ClassState,
        states: Iterable[ClassState],
        limit: int,
        now: timedelta,
    ) -> bool:
        """Tell whether a class may take one more of the slots."""

    def choose(
        self, states: Iterable[ClassState], limit: int, now: timedelta
    ) -> ClassState | None:
        """Return the class that goes next, or None when none may."""
        known = list(states)
        ready = [
            state
            for state in known
            if state.waiting and self.may_start(state, known, limit, now)
        ]
        return min(
            ready, key=lambda state: self.precedence(state, known, now), default=None
        )


class ArrivalOrder(WorkOrder):
    """First come, first served; the baseline to compare with."""

    def precedence(
        self, state: ClassState, states: Iterable[ClassState], now: timedelta
    ) -> Precedence:
        """Put the class first whose oldest request waits longest."""
        arrived = state.waiting[0].arrived if state.waiting else now
        return Precedence(False, False, _NO_SHORTFALL, arrived)

    def may_start(
        self,
        state: ClassState,
        states: Iterable[ClassState],
        limit: int,
        now: timedelta,
    ) -> bool:
        """Let every class take every slot."""
        return True


class TargetOrder(WorkOrder):
    """Earliest target deadline first, but no class at another's expense.

    Classes that use no more than an equal share of the slots go before those
    that use more, so a storm of one class takes what the others leave. Among
    the former, those that miss their target go first, by how far they miss it;
    then the earliest target deadline decides. Requests that are late already
    yield to those of their group that can still be in time.
    """

    def precedence(
        self, state: ClassState, states: Iterable[ClassState], now: timedelta
    ) -> Precedence:
        """Return the place of a class by use, shortfall and deadline."""
        is_over_share = self._is_over_share(state, states, now)
        steps = 0 if is_over_share else int(state.shortfall(now) / SHORTFALL_STEP)
        target_deadline = (
            state.waiting[0].target_deadline
            if state.waiting
            else now + state.request_class.within
        )
        is_late = now + state.service_time > target_deadline
        return Precedence(is_over_share, is_late, -steps, target_deadline)

    def may_start(
        self,
        state: ClassState,
        states: Iterable[ClassState],
        limit: int,
        now: timedelta,
    ) -> bool:
        """Keep slots free of work that outlasts the targets of other classes."""
        shorter = [each for each in states if _is_outlasted(each, state, now)]
        if state.running == 0 or not shorter:
            return True
        longer = sum(each.running for each in states if each not in shorter)
        return longer < limit - _reserved_slots(shorter, states, limit, now)

    def _is_over_share(
        self, state: ClassState, states: Iterable[ClassState], now: timedelta
    ) -> bool:
        """Tell whether a class uses more than an equal share of the slots."""
        active = [each for each in states if each.is_active or each is state]
        total = sum(each.use(now) for each in active)
        return state.use(now) * len(active) > total


def _is_outlasted(other: ClassState, state: ClassState, now: timedelta) -> bool:
    """Tell whether a class works longer than a recent other class may wait."""
    return (
        other is not state
        and now - other.seen_at < RECENTLY_SEEN
        and state.service_time > other.request_class.within
    )


def _reserved_slots(
    shorter: Sequence[ClassState],
    states: Iterable[ClassState],
    limit: int,
    now: timedelta,
) -> int:
    """Return the slots that long work must leave to shorter classes.

    They get what their arrivals need, one more while they miss their target,
    but no more than an equal share of the limit.
    """
    demand = math.ceil(sum(each.demand(now) for each in shorter))
    is_missing = any(each.shortfall(now) > 0 for each in shorter)
    active = sum(each.is_active or each in shorter for each in states)
    equal_share = max(1, limit * len(shorter) // active)
    return min(demand + is_missing, equal_share)
