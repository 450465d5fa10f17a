"""Tests of merging the events of processes whose clocks differ."""

import unittest
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from pomelotrail_core.timeline import merge
from pomelotrail_core.timeline.messages import Event

from .builders import MILLISECOND, event, process_events

_SECOND = timedelta(seconds=1)


@st.composite
def _processes(draw: st.DrawFn) -> list[list[Event]]:
    """Draw processes with events that may be caused by any earlier event."""
    names = draw(st.integers(1, 4))
    true_order = draw(st.lists(st.integers(0, names - 1), min_size=1, max_size=25))
    chains: list[list[Event]] = [[] for _ in range(names)]
    identifiers = [""]
    skews = draw(st.lists(st.integers(-5000, 5000), min_size=names, max_size=names))
    for number, process in enumerate(true_order):
        made = event(
            f"process-{process}",
            len(chains[process]) + 1,
            milliseconds=number + skews[process],
            cause=draw(st.sampled_from(identifiers)),
        )
        chains[process].append(made)
        identifiers.append(made.identifier)
    return [chain for chain in chains if chain]


class MergeTest(unittest.TestCase):
    """The merged order is consistent with time and causality."""

    def test_skewed_clocks_are_corrected(self) -> None:
        """Events of a clock that is 3 s ahead are not sorted later."""
        first = event("fast", milliseconds=3000)
        second = event("right", milliseconds=5)
        timeline = merge(
            [process_events(second), process_events(first, offset=3 * _SECOND)]
        )
        self.assertEqual([each.event for each in timeline.entries], [first, second])

    def test_stepped_wall_clock_does_not_change_the_order(self) -> None:
        """A wall clock set back between two events has no effect."""
        early = event("a", 1, milliseconds=10, at=event().at + _SECOND)
        other = event("b", 1, milliseconds=15)
        late = event("a", 2, milliseconds=20)
        timeline = merge([process_events(early, late), process_events(other)])
        self.assertEqual(
            [each.event for each in timeline.entries], [early, other, late]
        )

    def test_cause_precedes_its_effect(self) -> None:
        """An error of the clock estimate can't put an effect before its cause."""
        cause = event("a", milliseconds=5)
        effect = event("b", milliseconds=4, cause=cause.identifier)
        timeline = merge([process_events(effect), process_events(cause)])
        self.assertEqual([each.event for each in timeline.entries], [cause, effect])

    def test_cyclic_causes_terminate(self) -> None:
        """Malicious events that name each other as cause don't block the merge."""
        one = event("a", cause="b/1")
        other = event("b", cause="a/1")
        timeline = merge([process_events(one), process_events(other)])
        self.assertEqual(len(timeline.entries), 2)
        self.assertEqual(len(list(timeline.causes(timeline.entries[0]))), 1)

    @given(_processes())
    def test_order_respects_processes_and_causes(
        self, chains: list[list[Event]]
    ) -> None:
        """Each event occurs once, after its predecessor and its cause."""
        timeline = merge(process_events(*chain) for chain in chains)
        order = [each.event.identifier for each in timeline.entries]
        place = {identifier: number for number, identifier in enumerate(order)}
        self.assertEqual(len(place), sum(map(len, chains)))
        for chain in chains:
            places = [place[each.identifier] for each in chain]
            self.assertEqual(places, sorted(places))
            for each in chain:
                if each.cause:
                    self.assertLess(place[each.cause], place[each.identifier])

    @given(st.lists(st.integers(0, 100), min_size=1, max_size=20))
    def test_order_without_causes_is_that_of_the_times(self, times: list[int]) -> None:
        """Single events of several processes are sorted by corrected time."""
        timeline = merge(
            process_events(
                event(f"process-{number}", milliseconds=time + 1000 * number),
                offset=1000 * number * MILLISECOND,
            )
            for number, time in enumerate(times)
        )
        corrected = [each.at for each in timeline.entries]
        self.assertEqual(corrected, sorted(corrected))
