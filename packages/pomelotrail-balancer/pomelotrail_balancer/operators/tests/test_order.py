"""Tests of taking availability zones and backend servers out of service."""

import difflib
import tempfile
import unittest
from pathlib import Path

import yaml
from hypothesis import given
from hypothesis import strategies as st

from pomelotrail_core.configuration import parse_configuration

from .builders import COMMENTED_DOCUMENT, CommandOutcome, run_command

_ZONES = ("veraval", "porbandar", "jafrabad")
_SERVERS = ("ledger-1", "ledger-2")


def _order(kind: str, order: str, name: str, text: str) -> CommandOutcome:
    """Run an order on a document from standard input."""
    return run_command(kind, order, name, "-", standard_input=text)


def _changed_lines(before: str, after: str) -> list[str]:
    """Return the removed and added lines."""
    return [
        line
        for line in difflib.ndiff(before.splitlines(), after.splitlines())
        if line[0] in "+-"
    ]


class OrderTest(unittest.TestCase):
    """An order changes only its entry and the version."""

    def test_zone_in_flow_style(self) -> None:
        """An entry in braces gets ``out``; comments are kept."""
        outcome = _order("zone", "out", "veraval", COMMENTED_DOCUMENT)
        self.assertEqual(outcome.code, 0)
        self.assertEqual(
            _changed_lines(COMMENTED_DOCUMENT, outcome.output),
            [
                "- version: 12   # raised by the tool",
                "+ version: 13   # raised by the tool",
                "-   - {name: veraval, number: 1}  # the harbour",
                "+   - {name: veraval, number: 1, out: true}  # the harbour",
            ],
        )

    def test_zone_in_block_style(self) -> None:
        """An entry in block style gets one more line."""
        outcome = _order("zone", "out", "porbandar", COMMENTED_DOCUMENT)
        self.assertIn("    number: 2   # two racks\n    out: true\n", outcome.output)

    def test_backend_server(self) -> None:
        """A backend server is found under its service."""
        outcome = _order("backend", "out", "ledger-1", COMMENTED_DOCUMENT)
        self.assertIn("        connections: 2000\n        out: true\n", outcome.output)
        back = _order("backend", "in", "ledger-1", outcome.output)
        self.assertIn("version: 14", back.output)
        self.assertIn("        out: false\n", back.output)

    def test_difference_goes_to_standard_error(self) -> None:
        """A unified difference is printed in addition to the new document."""
        outcome = _order("zone", "out", "jafrabad", COMMENTED_DOCUMENT)
        self.assertIn("+++ standard input (version 13)", outcome.errors)
        self.assertIn("+  - {name: jafrabad, number: 3, out: true}", outcome.errors)

    def test_last_entry_without_a_line_break(self) -> None:
        """A document without a final line break stays valid."""
        text = COMMENTED_DOCUMENT.split("      - {name: ledger-2")[0].rstrip()
        outcome = _order("backend", "out", "ledger-1", text)
        self.assertTrue(outcome.output.endswith("2000\n        out: true"))

    def test_unknown_name(self) -> None:
        """The error of an unknown name lists the existing ones."""
        outcome = _order("zone", "out", "diu", COMMENTED_DOCUMENT)
        self.assertEqual(outcome.code, 1)
        self.assertEqual(outcome.output, "")
        self.assertIn("use one of: veraval, porbandar, jafrabad", outcome.errors)

    def test_order_that_is_already_given(self) -> None:
        """No document is printed for an order that is already in effect."""
        outcome = _order("zone", "in", "veraval", COMMENTED_DOCUMENT)
        self.assertEqual(outcome.code, 1)
        self.assertEqual(outcome.output, "")
        self.assertIn("already in", outcome.errors)

    def test_layout_that_shares_an_entry(self) -> None:
        """A value shared by an anchor has to be edited by hand."""
        text = COMMENTED_DOCUMENT.replace(
            "{name: veraval, number: 1}",
            "{name: veraval, number: 1, out: &state false}",
        ).replace("number: 3, out: false", "number: 3, out: *state")
        outcome = _order("zone", "out", "jafrabad", text)
        self.assertEqual(outcome.code, 1)
        self.assertIn("by hand", outcome.errors)

    def test_invalid_document(self) -> None:
        """An invalid document is not edited."""
        outcome = _order("zone", "out", "veraval", "version: twelve")
        self.assertEqual(outcome.code, 1)
        self.assertIn("'version'", outcome.errors)

    def test_output_file(self) -> None:
        """The next version can replace the file in place."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "document.yaml"
            path.write_text(COMMENTED_DOCUMENT)
            outcome = run_command(
                "zone", "out", "veraval", str(path), "--output", str(path)
            )
            self.assertEqual((outcome.code, outcome.output), (0, ""))
            self.assertIn("version 13 written", outcome.errors)
            self.assertIn("version: 13", path.read_text())

    @given(
        st.lists(
            st.sampled_from(
                [("zone", name) for name in _ZONES]
                + [("backend", name) for name in _SERVERS]
            ),
            max_size=6,
        ),
        st.sampled_from([None, True, False]),
    )
    def test_orders_in_any_sequence_and_layout(
        self, orders: list[tuple[str, str]], flow_style: bool | None
    ) -> None:
        """Exactly the named entries are out, in every layout of the document."""
        text = COMMENTED_DOCUMENT
        if flow_style is not None:
            content = yaml.safe_load(text)
            text = yaml.safe_dump(content, default_flow_style=flow_style)
        out: set[str] = set()
        for kind, name in orders:
            order = "in" if name in out else "out"
            outcome = _order(kind, order, name, text)
            self.assertEqual(outcome.code, 0, outcome.errors)
            text = outcome.output
            out ^= {name}
        configuration = parse_configuration(text).unwrap()
        nodes = [*configuration.zones, *configuration.services[0].backend_servers]
        self.assertEqual({each.name for each in nodes if each.is_out}, out)
        self.assertEqual(configuration.version, 12 + len(orders))
