"""Orders in which waiting requests start."""

import abc
import math
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import Final

import attrs

from .class_state import ClassState
from .const import RECENT_CLASS_WINDOW, SHORTFALL_STEP

_NO_SHORTFALL: Final = 0


@attrs.frozen(order=True)
class Precedence:
    """The precedence of a class; the lowest value starts first."""

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
        """Return the precedence of a class among all classes."""

    @abc.abstractmethod
    def may_start(
        self,
        state: ClassState,
        states: Iterable[ClassState],
        limit: int,
        now: timedelta,
    ) -> bool:
        """Return whether a class may use one more slot."""

    def choose(
        self, states: Iterable[ClassState], limit: int, now: timedelta
    ) -> ClassState | None:
        """Return the class to start next, or None if none may start."""
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
    """First come, first served; the baseline for comparisons."""

    def precedence(
        self, state: ClassState, states: Iterable[ClassState], now: timedelta
    ) -> Precedence:
        """Return a precedence by the arrival of the oldest waiting request."""
        arrived = state.waiting[0].arrived if state.waiting else now
        return Precedence(False, False, _NO_SHORTFALL, arrived)

    def may_start(
        self,
        state: ClassState,
        states: Iterable[ClassState],
        limit: int,
        now: timedelta,
    ) -> bool:
        """Return True, as every class may use every slot."""
        return True


class TargetOrder(WorkOrder):
    """Earliest target deadline first, with slots shared fairly between classes.

    Classes that use no more than an equal share of the slots start before those
    that use more, so an overload of one class only gets the slots that the others
    leave free. Among the former, classes that miss their target start first, by
    how far they miss it; then the earliest target deadline decides. Requests that
    are already late start after those of their group that can still be in time.
    """

    def precedence(
        self, state: ClassState, states: Iterable[ClassState], now: timedelta
    ) -> Precedence:
        """Return the precedence of a class by slot usage, shortfall and deadline."""
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
        """Reserve slots for classes whose target is shorter than this work."""
        shorter = [each for each in states if _has_shorter_target(each, state, now)]
        if state.running == 0 or not shorter:
            return True
        longer = sum(each.running for each in states if each not in shorter)
        return longer < limit - _reserved_slots(shorter, states, limit, now)

    def _is_over_share(
        self, state: ClassState, states: Iterable[ClassState], now: timedelta
    ) -> bool:
        """Return whether a class uses more than an equal share of the slots."""
        active = [each for each in states if each.is_active or each is state]
        total = sum(each.slot_usage(now) for each in active)
        return state.slot_usage(now) * len(active) > total


def _has_shorter_target(other: ClassState, state: ClassState, now: timedelta) -> bool:
    """Return whether the service time exceeds the target of a recent other class."""
    return (
        other is not state
        and now - other.last_arrival_at < RECENT_CLASS_WINDOW
        and state.service_time > other.request_class.within
    )


def _reserved_slots(
    shorter: Sequence[ClassState],
    states: Iterable[ClassState],
    limit: int,
    now: timedelta,
) -> int:
    """Return the slots that long work must leave to shorter classes.

    The shorter classes get the slots that their arrivals need, and one more while
    they miss their target, but no more than an equal share of the limit. Requests
    arrive in bursts, which wait too long if the slots are busy with the mean already,
    so the square root of the mean is added.
    """
    demand = sum(each.slot_demand(now) for each in shorter)
    needed = math.ceil(demand + math.sqrt(demand))
    is_missing = any(each.shortfall(now) > 0 for each in shorter)
    active = sum(each.is_active or each in shorter for each in states)
    equal_share = max(1, limit * len(shorter) // active)
    return min(needed + is_missing, equal_share)
