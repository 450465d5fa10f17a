"""Tests that the pages agree with the code.

Events, refusals, reasons to drop and metrics that are missing in the operators'
pages fail here, as do commands, links and names of tests that don't exist.
"""

import re
import shlex
import unittest
from pathlib import Path

from harness.process import ROOT
from pomelotrail_balancer.forwarding.errors import DropReason as BalancerDropReason
from pomelotrail_balancer.operators import COMMANDS
from pomelotrail_companion.edge.drops import DropReason as CompanionDropReason
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_core.command_line.program import command_parser
from pomelotrail_core.timeline import EventKind

_PAGES = ROOT / "docs" / "operators"
_COMMAND_LINE_PATTERN = re.compile(
    r"^ +(?:\.venv/bin/)?pomelotrail (.+)$", re.MULTILINE
)
_LINK_PATTERN = re.compile(r"\]\((?!https?:)([^)#]+)\)")
_METRIC_PATTERN = re.compile(
    r"(?:Metric\(|PacketCounter\(\w+, |\.create_\w+\()\s*\"(\w+)\""
)
_TEST_NAME_PATTERN = re.compile(r"`(test_\w+)\.(\w+)\.(test_\w+)`")
_EXAMPLE_ADDRESS = "192.0.2.7:7001"


def _table_rows(page: str) -> set[str]:
    """Return the first cells of the tables of a page."""
    lines = (_PAGES / page).read_text().splitlines()
    return {line.split("|")[1].strip() for line in lines if line.startswith("|")}


def _all_pages() -> list[Path]:
    """Return every page of the repository's documentation."""
    return [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]


class DocumentationTest(unittest.TestCase):
    """Completeness of the pages; when a test fails, add a row to the table it names."""

    def test_every_event(self) -> None:
        """Each kind of event has a row in timeline.md."""
        rows = _table_rows("timeline.md")
        self.assertEqual({kind.value for kind in EventKind} - rows, set())

    def test_every_refusal(self) -> None:
        """Each refusal has a row in refusals.md."""
        rows = _table_rows("refusals.md")
        self.assertEqual({kind.slug for kind in RefusalKind} - rows, set())

    def test_every_drop_reason(self) -> None:
        """Each reason to drop a packet has a row in refusals.md."""
        rows = _table_rows("refusals.md")
        for reasons in (BalancerDropReason, CompanionDropReason):
            self.assertEqual({reason.value for reason in reasons} - rows, set())

    def test_every_metric(self) -> None:
        """Each metric that the code creates is named in metrics.md."""
        page = (_PAGES / "metrics.md").read_text()
        names: set[str] = set()
        for path in (ROOT / "packages").rglob("*.py"):
            if "tests" not in path.parts:
                names |= set(_METRIC_PATTERN.findall(path.read_text()))
        self.assertGreater(len(names), 10)
        missing = {name for name in names if f"pomelotrail_{name}" not in page}
        self.assertEqual(missing, set())

    def test_commands_can_be_parsed(self) -> None:
        """The program accepts each command line on a page."""
        parser = command_parser("pomelotrail", "", COMMANDS)
        found = 0
        for page in _all_pages():
            for line in _COMMAND_LINE_PATTERN.findall(page.read_text()):
                arguments = shlex.split(line.replace("ADDRESS", _EXAMPLE_ADDRESS))
                parser.parse_args(arguments)
                found += 1
        self.assertGreater(found, 10)

    def test_links_point_to_existing_files(self) -> None:
        """Each link between pages points to a file that exists."""
        for page in _all_pages():
            for target in _LINK_PATTERN.findall(page.read_text()):
                self.assertTrue(
                    (page.parent / target).exists(), f"{page.name}: {target}"
                )

    def test_named_tests_exist(self) -> None:
        """Each test that docs/INVARIANTS.md names exists."""
        sources = {
            path: path.read_text()
            for folder in ("packages", "harness", "stand_ins", "platform")
            for path in (ROOT / folder).rglob("test_*.py")
        }
        named = _TEST_NAME_PATTERN.findall(
            (ROOT / "docs" / "INVARIANTS.md").read_text()
        )
        self.assertGreater(len(named), 10)
        for module, case, function in named:
            found = any(
                f"class {case}(" in text and f"def {function}(" in text
                for path, text in sources.items()
                if path.stem == module
            )
            self.assertTrue(found, f"{module}.{case}.{function}")
