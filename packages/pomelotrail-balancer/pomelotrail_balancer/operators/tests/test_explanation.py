"""Tests of explaining a request or flow."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pomelotrail_balancer.operators.explanation import (
    Subject,
    explain_subject,
    find_subject,
)
from pomelotrail_balancer.operators.sentences import sentence
from pomelotrail_core.timeline import EventKind, Timeline, merge
from pomelotrail_core.timeline.messages import Event
from pomelotrail_core.timeline.tests.builders import event, process_events

_REQUEST = Subject("f1-0", is_request=True)


def _timeline(*events: Event) -> Timeline:
    """Return the timeline of these events of one process."""
    numbered = [
        event(
            each.process,
            number + 1,
            each.kind,
            number,
            flow=each.flow,
            request=each.request,
            cause=each.cause,
            detail=each.detail,
        )
        for number, each in enumerate(events)
    ]
    return merge([process_events(*numbered)])


class ExplanationTest(unittest.TestCase):
    """An explanation has the causes and the end."""

    def test_refusal_with_chain_of_causes(self) -> None:
        """Every cause up to the published order is shown."""
        timeline = _timeline(
            event(kind=EventKind.CONFIGURATION_IN_FORCE, detail="version 9"),
            event(kind=EventKind.ZONE_OUT, cause="ledger-1/1"),
            event(kind=EventKind.REQUEST_STARTED, flow="f1", request="f1-0"),
            event(
                kind=EventKind.REQUEST_REFUSED,
                flow="f1",
                request="f1-0",
                cause="ledger-1/2",
                detail="leaving, not run",
            ),
        )
        explanation = explain_subject(timeline, _REQUEST)
        self.assertIn("refused request f1-0: leaving, not run.", explanation[1])
        self.assertIn("saw an availability zone go out of service", explanation[2])
        self.assertIn("put a configuration in force: version 9", explanation[3])
        self.assertEqual(explanation[-1], "End: request refused, leaving, not run")

    def test_cause_at_unresponsive_process(self) -> None:
        """A cause that is not among the events is shown by its identifier."""
        timeline = _timeline(
            event(kind=EventKind.REQUEST_REFUSED, request="f1-0", cause="gone/7")
        )
        self.assertIn(
            "because of gone/7", "\n".join(explain_subject(timeline, _REQUEST))
        )

    def test_refusal_without_cause_shows_preceding_changes(self) -> None:
        """Preceding changes are shown as such, not as the cause."""
        timeline = _timeline(
            event(kind=EventKind.BACKEND_SERVER_COLD),
            event(kind=EventKind.REQUEST_REFUSED, request="f1-0"),
        )
        explanation = "\n".join(explain_subject(timeline, _REQUEST))
        self.assertIn("no cause was recorded; before it", explanation)
        self.assertIn("found its backend server cold", explanation)

    def test_request_without_an_end(self) -> None:
        """A request without a final event has no recorded end."""
        timeline = _timeline(event(kind=EventKind.REQUEST_STARTED, request="f1-0"))
        self.assertIn("End: none recorded", explain_subject(timeline, _REQUEST)[-1])

    def test_other_requests_of_the_flow_are_excluded(self) -> None:
        """The explanation of a request includes its flow but no other requests."""
        timeline = _timeline(
            event(kind=EventKind.FLOW_OPENED, flow="f1"),
            event(kind=EventKind.REQUEST_STARTED, flow="f1", request="f1-0"),
            event(kind=EventKind.REQUEST_STARTED, flow="f1", request="f1-4"),
        )
        explanation = "\n".join(explain_subject(timeline, _REQUEST))
        self.assertIn("took flow f1", explanation)
        self.assertNotIn("f1-4", explanation)

    def test_shortened_name(self) -> None:
        """A prefix is enough if it matches one flow."""
        timeline = _timeline(
            event(kind=EventKind.FLOW_OPENED, flow="abc"),
            event(kind=EventKind.REQUEST_STARTED, flow="abc", request="abc-0"),
            event(kind=EventKind.FLOW_OPENED, flow="abd"),
        )
        self.assertEqual(find_subject(timeline, "abc").unwrap(), Subject("abc", False))
        self.assertEqual(find_subject(timeline, "abc-").unwrap().name, "abc-0")
        self.assertIn("fits 3", str(find_subject(timeline, "ab").unwrap_err()))

    @given(st.sampled_from(EventKind), st.text(), st.text())
    def test_every_kind_is_one_printable_line(
        self, kind: EventKind, flow: str, detail: str
    ) -> None:
        """Any text becomes one printable line that ends with a full stop."""
        text = sentence(event(kind=kind, flow=flow, request=flow, detail=detail))
        self.assertTrue(text.isprintable())
        self.assertTrue(text.endswith("."))
