"""Tests of the message budget under the lookups after a power loss."""

import unittest
from datetime import timedelta

from pomelotrail_balancer.flow_balancing.message_budget import (
    MessageBudget,
    lookup_messages_per_s,
)

_PER_S = 1_000.0


class MessageBudgetTest(unittest.TestCase):
    """Lookups of many flows at the same time stay within the budget."""

    def test_many_lookups(self) -> None:
        """Ten seconds of 200 lookups among 70 companions stay within the budget."""
        budget = MessageBudget(_PER_S, timedelta())
        sent = 0
        for index in range(2_000):
            if budget.has_tokens(timedelta(milliseconds=5 * index)):
                budget.spend(70)
                sent += 70
        self.assertLessEqual(sent, 11 * _PER_S + 70)
        self.assertGreaterEqual(sent, 9 * _PER_S)

    def test_small_fleet(self) -> None:
        """Thirty simultaneous lookups among ten companions are all sent."""
        budget = MessageBudget(_PER_S, timedelta())
        for _ in range(30):
            self.assertTrue(budget.has_tokens(timedelta()))
            budget.spend(10)

    def test_budget_depends_on_the_vm(self) -> None:
        """The slower of processor and link sets the budget, down to a minimum."""
        self.assertEqual(lookup_messages_per_s(1.0, 1_000.0), 4_000)
        self.assertEqual(lookup_messages_per_s(2.0, 5.0), 1_750)
        self.assertEqual(lookup_messages_per_s(0.01, 5.0), 150)
