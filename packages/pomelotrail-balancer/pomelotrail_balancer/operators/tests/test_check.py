"""Tests of the findings, differences and exit codes of ``pomelotrail check``."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from hypothesis import given

from .builders import COMMENTED_DOCUMENT, CommandOutcome, run_command
from .documents import mutated_documents, structures, texts

_NEXT_DOCUMENT = COMMENTED_DOCUMENT.replace("version: 12", "version: 13").replace(
    "within: 300 ms", "within: 40 s"
)


class VerdictTest(unittest.TestCase):
    """Any document gets a verdict."""

    def setUp(self) -> None:
        """Write the document in force."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.in_force = Path(directory.name) / "in-force.yaml"
        self.in_force.write_text(COMMENTED_DOCUMENT)

    def check_against(self, text: str | bytes, *options: str) -> CommandOutcome:
        """Return the outcome of a check against the document in force."""
        arguments = ("check", "-", "--against", str(self.in_force), *options)
        return run_command(*arguments, standard_input=text)

    def assert_verdict(self, data: bytes) -> None:
        """Assert that a document gets the same verdict in both forms."""
        text = self.check_against(data, "--grace", "5s")
        outcome = self.check_against(data, "--grace", "5s", "--json")
        verdict: dict[str, Any] = json.loads(outcome.output)
        self.assertEqual(text.code, outcome.code)
        self.assertEqual(outcome.code, 1 if verdict["errors"] else 0)
        self.assertEqual(verdict["valid"], not verdict["errors"])
        for finding in verdict["errors"] + verdict["warnings"]:
            self.assertTrue(finding["problem"] and finding["remedy"])

    @given(texts())
    def test_any_bytes(self, data: bytes) -> None:
        """Bytes that needn't be YAML get a verdict."""
        self.assert_verdict(data)

    @given(structures())
    def test_any_structure(self, data: bytes) -> None:
        """YAML of any structure gets a verdict."""
        self.assert_verdict(data)

    @given(mutated_documents())
    def test_mutated_document(self, data: bytes) -> None:
        """A document with mistakes gets a verdict."""
        self.assert_verdict(data)

    def test_findings_and_differences(self) -> None:
        """Warnings go to standard error, differences to standard output."""
        outcome = self.check_against(_NEXT_DOCUMENT)
        self.assertEqual(outcome.code, 0)
        self.assertEqual(
            outcome.output,
            "standard input: version 13 is valid\n"
            f"1 difference from {self.in_force}, version 12\n"
            "  changed services[stock-ledger].classes[read-board]: "
            "target.within from 300 ms to 40 s\n",
        )
        self.assertIn("warning: zones[jafrabad]: ", outcome.errors)
        self.assertIn("40 s is over the deadline of 30 s", outcome.errors)
        verdict = json.loads(self.check_against(_NEXT_DOCUMENT, "--json").output)
        keys = ["source", "version", "valid", "errors", "warnings", "differences"]
        self.assertEqual(list(verdict), keys)
        (difference,) = verdict["differences"]
        self.assertEqual(difference["from"], {"target.within": "300 ms"})
        self.assertEqual(difference["to"], {"target.within": "40 s"})

    def test_exit_codes(self) -> None:
        """Warnings fail with ``--strict``; an old version or a bad file always does."""
        older = _NEXT_DOCUMENT.replace("version: 13", "version: 11")
        self.assertEqual(self.check_against(_NEXT_DOCUMENT, "--strict").code, 1)
        self.assertEqual(self.check_against(older).code, 1)
        self.assertEqual(run_command("check", "/none", "--json").code, 1)
        self.in_force.write_text("[]")
        outcome = self.check_against(_NEXT_DOCUMENT, "--json")
        self.assertEqual(outcome.code, 1)
        self.assertEqual(json.loads(outcome.output)["source"], str(self.in_force))

    def test_wrong_use(self) -> None:
        """Options that exclude each other are wrong use."""
        both = run_command("check", "-", "--against", "-")
        settings = run_command("check", "--settings", "file", "--strict")
        self.assertEqual((both.code, settings.code), (2, 2))
