"""Tests of the opening packet budget of a cold backend server."""

import unittest
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from pomelotrail_companion.server_proxy import ColdBudget

_SECOND = timedelta(seconds=1)


class ColdBudgetTest(unittest.TestCase):
    """Number of opening packets in any second."""

    @given(st.lists(st.floats(0, 6), max_size=120), st.floats(1, 20))
    def test_any_second(self, moments: list[float], per_s: float) -> None:
        """No one-second window has more opening packets than allowed."""
        budget = ColdBudget(-10 * _SECOND)
        passed = []
        for moment in sorted(moments):
            now = moment * _SECOND
            if budget.allows(per_s, now):
                budget.record(now)
                passed.append(now)
        for start in passed:
            inside = [time for time in passed if start <= time < start + _SECOND]
            self.assertLessEqual(len(inside), max(1, int(per_s)))

    def test_after_process_start(self) -> None:
        """Half of the budget counts as used by an earlier process."""
        budget = ColdBudget(timedelta())
        passed = 0
        while budget.allows(10, timedelta(milliseconds=100)):
            budget.record(timedelta(milliseconds=100))
            passed += 1
        self.assertEqual(passed, 5)
