"""Tests of the HTML page of the timeline."""

import json
import re
import unittest
from html.parser import HTMLParser

from hypothesis import given
from hypothesis import strategies as st

from pomelotrail_balancer.operators.status import UnresponsiveProcess
from pomelotrail_balancer.operators.targets import Target
from pomelotrail_balancer.operators.timeline_collection import CollectedTimeline
from pomelotrail_balancer.operators.timeline_page import render_page, script_data
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.peers import PeerError
from pomelotrail_core.timeline import merge
from pomelotrail_core.timeline.tests.builders import event, process_events

_HOSTILE = "</script><script>alert(1)</script><!--<img src=x onerror=alert(2)>"


class _Elements(HTMLParser):
    """Collects the elements and attributes of a page."""

    def __init__(self) -> None:
        """Initialize an empty collection."""
        super().__init__()
        self.tags: list[str] = []
        self.sources: list[str] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        """Record one element."""
        self.tags.append(tag)
        self.sources += [str(v) for k, v in attrs if k in ("src", "href")]


def _page(text: str) -> str:
    """Return a page in which every text is ``text``."""
    recorded = event(text, zone=text, flow=text, request=text, cause=text, detail=text)
    endpoint = Endpoint("192.0.2.1", 7001)
    unresponsive = UnresponsiveProcess(
        Target(endpoint, text), PeerError(endpoint, text)
    )
    timeline = merge([process_events(recorded)])
    return render_page(CollectedTimeline(timeline, (unresponsive,)), timeline.entries)


class TimelinePageTest(unittest.TestCase):
    """The page is self-contained and shows texts only as text."""

    def test_markup_in_texts_is_escaped(self) -> None:
        """Texts of events add no element to the page."""
        hostile, harmless = _Elements(), _Elements()
        hostile.feed(_page(_HOSTILE))
        harmless.feed(_page("text"))
        self.assertEqual(hostile.tags, harmless.tags)

    def test_nothing_is_loaded(self) -> None:
        """The page references no other source, and its policy forbids any."""
        elements = _Elements()
        page = _page("text")
        elements.feed(page)
        self.assertEqual(elements.sources, [])
        self.assertIn("default-src 'none'", page)
        self.assertNotIn("innerHTML", page)

    @given(st.text())
    def test_data_round_trip(self, text: str) -> None:
        """The script data decodes to the recorded text for any content."""
        encoded = script_data({"detail": text})
        self.assertIsNone(re.search(r"[<>&]", encoded))
        self.assertEqual(json.loads(encoded), {"detail": text})
