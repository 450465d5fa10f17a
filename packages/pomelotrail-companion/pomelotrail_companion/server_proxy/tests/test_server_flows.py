"""Tests of counting requests without inspecting payloads."""

import unittest
from datetime import timedelta

from pomelotrail_companion.request_queue import WorkEstimate
from pomelotrail_companion.request_queue.const import DEFAULT_PRIORITY
from pomelotrail_companion.server_proxy import ServerFlows
from pomelotrail_companion.server_proxy.const import (
    FIRST_REQUEST_TIMEOUT,
    MAX_FLOWS,
    OVERDUE_AFTER,
    RUNNING_TIMEOUT,
    UNANSWERED_LOAD_PENALTY,
    UNANSWERED_WINDOW,
)
from pomelotrail_companion.server_proxy.server_flows import RouteSettings

_NOW = timedelta(seconds=5)
_SECOND = timedelta(seconds=1)
_MAX_FLOW_DURATION = timedelta(seconds=60)


class ServerFlowsTest(unittest.TestCase):
    """Request lifecycle: start, wait, run and end."""

    def setUp(self) -> None:
        """Open a flow."""
        self.estimate = WorkEstimate()
        self.flows = ServerFlows(self.estimate, _MAX_FLOW_DURATION)
        self.entry = self.flows.open(b"flow", ("192.0.2.1", 1), 1, _NOW)
        self.entry.is_open = True

    def test_first_request_after_a_pause(self) -> None:
        """A caller that opens a flow in advance hasn't waited since then."""
        age = timedelta(milliseconds=200)
        entry = self.flows.open(b"early", ("192.0.2.1", 1), 2, _NOW, age)
        soon = _NOW + timedelta(milliseconds=10)
        self.assertEqual(entry.waited(soon), age + soon - _NOW)
        self.flows.drop_unused_openings(_NOW + FIRST_REQUEST_TIMEOUT)
        self.flows.record_caller_data(entry, 100, 50, _NOW + _SECOND)
        self.assertEqual(entry.waited(_NOW + _SECOND), timedelta())

    def test_opening_counts_as_request(self) -> None:
        """An opening flow counts, as its first request follows within a round trip."""
        self.assertEqual((self.flows.occupancy, self.flows.running), (1, 0))

    def test_request_and_response(self) -> None:
        """A request ends with the first data of its response."""
        self.flows.record_caller_data(self.entry, 100, 50, _NOW)
        self.flows.start_request(self.entry, _NOW)
        self.assertEqual((self.flows.occupancy, self.flows.running), (1, 1))
        duration = self.flows.record_response(
            self.entry, _NOW + timedelta(milliseconds=60)
        )
        self.assertEqual(duration, timedelta(milliseconds=60))
        self.assertEqual((self.flows.occupancy, self.flows.running), (0, 0))

    def test_retransmission_is_no_request(self) -> None:
        """A retransmission doesn't count, before and after sequence wraparound."""
        for start in (100, 2**32 - 20):
            self.entry.caller_end = None
            self.flows.record_caller_data(self.entry, start, 50, _NOW)
            self.flows.record_response(self.entry, _NOW)
            self.flows.record_caller_data(self.entry, start, 50, _NOW)
            self.assertEqual(self.flows.occupancy, 0)

    def test_data_on_an_ended_flow_is_no_request(self) -> None:
        """Data that a slow link delivers after the flow's end occupies no slot."""
        self.flows.close(self.entry)
        self.flows.record_caller_data(self.entry, 100, 50, _NOW)
        self.assertEqual(self.flows.occupancy, 0)

    def test_acknowledged_data_is_no_request(self) -> None:
        """A process that has just started has seen only the acknowledgement."""
        learned = self.flows.learn(b"learnt", _NOW)
        learned.acknowledged = 150
        self.flows.record_caller_data(learned, 100, 50, _NOW)
        self.assertEqual(self.flows.occupancy, 1)
        self.flows.record_caller_data(learned, 150, 50, _NOW)
        self.assertEqual(self.flows.occupancy, 2)

    def test_learned_flow_has_the_settings_of_its_address(self) -> None:
        """An offer for the same service address provides the settings."""
        settings = RouteSettings(1, timedelta(milliseconds=200))
        self.flows.set_route_settings(b"callerserver", settings)
        self.assertEqual(self.flows.route_settings(b"othersserver"), settings)
        self.assertEqual(
            self.flows.route_settings(b"callerothers").priority, DEFAULT_PRIORITY
        )

    def test_opening_without_a_request(self) -> None:
        """It stops counting after the timeout and counts again with a request."""
        later = _NOW + FIRST_REQUEST_TIMEOUT
        self.flows.drop_unused_openings(later - timedelta(milliseconds=1))
        self.assertEqual(self.flows.occupancy, 1)
        self.flows.drop_unused_openings(later)
        self.assertEqual(self.flows.occupancy, 0)
        self.flows.record_caller_data(self.entry, 100, 50, later)
        self.assertEqual(self.flows.occupancy, 1)

    def test_opening_with_a_request(self) -> None:
        """The request counts until it is answered."""
        self.flows.record_caller_data(self.entry, 100, 50, _NOW)
        self.flows.drop_unused_openings(_NOW + FIRST_REQUEST_TIMEOUT)
        self.assertEqual(self.flows.occupancy, 1)

    def test_unanswered_request(self) -> None:
        """An overdue or lost request adds to the load for a limited time."""
        self.flows.record_caller_data(self.entry, 100, 50, _NOW)
        self.flows.start_request(self.entry, _NOW)
        self.assertEqual(self.flows.load(_NOW), 1)
        late = _NOW + OVERDUE_AFTER
        self.assertEqual(self.flows.load(late), 1 + UNANSWERED_LOAD_PENALTY)
        lost = _NOW + RUNNING_TIMEOUT
        self.flows.sweep(lost)
        self.assertEqual((self.flows.occupancy, self.flows.running), (0, 0))
        self.assertEqual(self.flows.load(lost), UNANSWERED_LOAD_PENALTY)
        self.assertEqual(self.flows.load(lost + UNANSWERED_WINDOW), 0)

    def test_slow_service(self) -> None:
        """A request is not overdue while others take as long."""
        self.estimate.record(timedelta(milliseconds=600))
        self.flows.record_caller_data(self.entry, 100, 50, _NOW)
        self.flows.start_request(self.entry, _NOW)
        self.entry.last_used = _NOW + RUNNING_TIMEOUT
        self.assertEqual(self.flows.load(_NOW + RUNNING_TIMEOUT), 1)
        self.assertEqual(self.flows.sweep(_NOW + RUNNING_TIMEOUT).unanswered, [])

    def test_next_request(self) -> None:
        """Further data of the caller starts the next request."""
        self.flows.record_caller_data(self.entry, 100, 50, _NOW)
        self.flows.record_response(self.entry, _NOW)
        self.flows.record_caller_data(self.entry, 150, 40, _NOW)
        self.assertEqual(self.flows.occupancy, 1)

    def test_closed_flow(self) -> None:
        """Closing ends the request; the flow is removed after the linger time."""
        self.flows.close(self.entry)
        self.assertEqual(self.flows.occupancy, 0)
        self.flows.sweep(_NOW + timedelta(seconds=5))
        self.assertIsNone(self.flows.get(b"flow"))

    def test_idle_flow(self) -> None:
        """It is kept for as long as flows may last, and is then reported."""
        end = _NOW + _MAX_FLOW_DURATION
        self.assertEqual(self.flows.sweep(end - _SECOND).expired, [])
        self.assertIsNotNone(self.flows.get(b"flow"))
        self.assertEqual(self.flows.sweep(end).expired, [self.entry])
        self.assertIsNone(self.flows.get(b"flow"))

    def test_evicted_flow(self) -> None:
        """It may still be open until flows of that age have ended."""
        for number in range(MAX_FLOWS - 1):
            self.flows.learn(b"%d" % number, _NOW)
        self.assertFalse(self.flows.may_lack_open_flows(_NOW))
        self.flows.learn(b"last", _NOW)
        self.assertIsNone(self.flows.get(b"flow"))
        end = _NOW + _MAX_FLOW_DURATION
        self.assertTrue(self.flows.may_lack_open_flows(end - _SECOND))
        self.assertFalse(self.flows.may_lack_open_flows(end))

    def test_opening_that_the_server_accepted(self) -> None:
        """It is kept for as long as flows may last; without an answer it is dropped."""
        accepted, unanswered = (
            self.flows.open(flow, ("192.0.2.1", 1), 1, _NOW)
            for flow in (b"accepted", b"unanswered")
        )
        self.flows.accept(b"accepted", 7, _NOW)
        end = _NOW + _MAX_FLOW_DURATION
        self.flows.drop_unused_openings(_NOW + FIRST_REQUEST_TIMEOUT)
        self.flows.sweep(end - _SECOND)
        self.assertIs(self.flows.get(accepted.flow), accepted)
        self.assertIsNone(self.flows.get(unanswered.flow))
        self.assertEqual(len(self.flows), 1)
        self.assertEqual(self.flows.sweep(end).expired, [self.entry])
        self.assertIsNone(self.flows.get(accepted.flow))

    def test_unused_opening_is_evicted_first(self) -> None:
        """Openings that no caller uses don't displace open flows."""
        for number in range(MAX_FLOWS):
            self.flows.accept(b"%d" % number, 7, _NOW)
        self.assertIsNotNone(self.flows.get(b"flow"))
        self.assertIsNone(self.flows.get(b"0"))
        self.assertTrue(self.flows.may_lack_open_flows(_NOW))
        self.assertEqual(len(self.flows), 1)

    def test_missing_response(self) -> None:
        """The slot of the request is free again after the timeout."""
        self.flows.record_caller_data(self.entry, 100, 50, _NOW)
        self.flows.start_request(self.entry, _NOW)
        self.entry.last_used = _NOW + RUNNING_TIMEOUT
        self.flows.sweep(_NOW + RUNNING_TIMEOUT)
        self.assertEqual((self.flows.occupancy, self.flows.running), (0, 0))
