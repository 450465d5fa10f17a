"""Tests of documents in parts and of deltas between versions."""

import unittest

import yaml
from hypothesis import given
from hypothesis import strategies as st

from harness.builders import large_document
from pomelotrail_core.configuration import parse_configuration
from pomelotrail_core.configuration.delta import apply_delta, make_delta
from pomelotrail_core.configuration.parser import ConfigurationParser
from pomelotrail_core.configuration.publishing import split_into_parts
from pomelotrail_core.configuration.source import Document

_LINES = st.lists(st.sampled_from(["a: 1\n", "b: ü\n", "---\n", "x", ""]), max_size=12)


class PartsTest(unittest.TestCase):
    """A document in parts is equivalent to the original."""

    def test_same_configuration(self) -> None:
        """Splitting into parts yields the same configuration."""
        content = large_document(3, servers=40, balancers=6)
        whole = parse_configuration(yaml.safe_dump(content)).unwrap()
        partitioned = split_into_parts(content, part_bytes=1_000)
        self.assertGreater(len(partitioned.parts), 3)
        self.assertEqual(parse_configuration(partitioned.text).unwrap(), whole)

    def test_unlisted_part_is_refused(self) -> None:
        """A document with a part that the root does not list is refused."""
        partitioned = split_into_parts(large_document(3, servers=40), part_bytes=1_000)
        text = partitioned.text.replace("slots: 5", "slots: 6", 1)
        error = parse_configuration(text).unwrap_err()
        self.assertIn("publish every part before the root", str(error))

    def test_unchanged_parts_keep_their_objects(self) -> None:
        """Only the parts affected by a change are parsed again."""
        parser = ConfigurationParser()
        content = large_document(1, servers=40)
        first = parser.parse(split_into_parts(content, 1_000).text).unwrap()
        content["version"] = 2
        content["services"][0]["backend_servers"][0]["slots"] = 9
        second = parser.parse(split_into_parts(content, 1_000).text).unwrap()
        self.assertNotEqual(first.services[0], second.services[0])
        self.assertIs(first.services[-1], second.services[-1])


class DeltaTest(unittest.TestCase):
    """A delta yields the published document or an error."""

    @given(_LINES, _LINES, _LINES)
    def test_delta_yields_the_target(
        self, base: list[str], middle: list[str], target: list[str]
    ) -> None:
        """A delta can be computed and applied between any two texts."""
        old = Document(1, "".join([*base, *middle]))
        new = Document(2, "".join([*middle, *target]))
        delta = make_delta(old.text, new.text)
        made = apply_delta(old, delta, new.version, new.digest).unwrap()
        self.assertEqual(made.text, new.text)

    @given(_LINES, _LINES, _LINES)
    def test_wrong_base_never_yields_another_text(
        self, base: list[str], other: list[str], target: list[str]
    ) -> None:
        """Applied to a different base, a delta yields the target or an error."""
        new = Document(2, "".join(target))
        delta = make_delta("".join(base), new.text)
        made = apply_delta(Document(1, "".join(other)), delta, 2, new.digest)
        self.assertTrue(made.is_err() or made.unwrap().text == new.text)

    def test_malformed_delta(self) -> None:
        """A malformed delta is an error that states the fallback."""
        error = apply_delta(Document(1, "a"), b"junk", 2, b"").unwrap_err()
        self.assertIn("the whole document is fetched", str(error))

    def test_small_change_of_a_large_document(self) -> None:
        """The delta for one changed server has less than 500 bytes."""
        content = large_document(1, servers=1_000)
        base = split_into_parts(content).text
        content["version"] = 2
        content["services"][50]["backend_servers"][3]["out"] = True
        self.assertLess(len(make_delta(base, split_into_parts(content).text)), 500)
