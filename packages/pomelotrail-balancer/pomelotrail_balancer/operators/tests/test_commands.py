"""Tests of the commands that check documents or query processes."""

import json
import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

from harness.fleet import PortReserver
from pomelotrail_core.timeline import EventKind

from .builders import (
    COMMENTED_DOCUMENT,
    SkewedClock,
    answering_process,
    run_command,
)


class CheckTest(unittest.TestCase):
    """Documents and settings are checked, with a remedy in each error."""

    def test_valid_document(self) -> None:
        """A valid document is confirmed with its version."""
        outcome = run_command("check", "-", standard_input=COMMENTED_DOCUMENT)
        self.assertEqual(outcome.code, 0)
        self.assertEqual(outcome.output, "standard input: version 12 is valid\n")

    def test_invalid_document(self) -> None:
        """The error of a misspelled key suggests the correct one."""
        text = COMMENTED_DOCUMENT.replace("slots: 5", "slot: 5")
        outcome = run_command("check", "-", standard_input=text)
        self.assertEqual(outcome.code, 1)
        self.assertIn("did you mean 'slots'", outcome.errors)

    def test_missing_file(self) -> None:
        """The error of a missing file has a remedy."""
        outcome = run_command("check", "/does/not/exist.yaml")
        self.assertEqual(outcome.code, 1)
        self.assertIn("give a YAML file", outcome.errors)

    def test_invalid_settings(self) -> None:
        """Settings are checked by the rules of the balancer."""
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
            file.write("name: balancer-1\n")
            file.flush()
            outcome = run_command("check", "--settings", file.name)
        self.assertEqual(outcome.code, 2)
        self.assertIn("is missing; add it", outcome.errors)


class UsageTest(unittest.TestCase):
    """Usage errors exit with code 2, and help shows examples."""

    def test_help_of_every_command(self) -> None:
        """Each command documents examples and exit codes."""
        commands = run_command("--help").output
        names = (
            "balancer",
            "check",
            "status",
            "zone",
            "backend",
            "timeline",
            "explain",
        )
        for name in names:
            self.assertIn(f"    {name} ", commands)
            outcome = run_command(name, "--help")
            self.assertEqual(outcome.code, 0)
            self.assertIn(f"  pomelotrail {name} ", outcome.output)
            self.assertIn("exit codes:", outcome.output)

    def test_wrong_address(self) -> None:
        """The error of an invalid address shows the expected form."""
        outcome = run_command("status", "balancer-1")
        self.assertEqual(outcome.code, 2)
        self.assertIn("192.0.2.7:4433", outcome.errors)

    def test_no_process_named(self) -> None:
        """The error of a command without processes shows how to select them."""
        for command in (["status"], ["timeline"], ["explain", "f"]):
            outcome = run_command(*command)
            self.assertEqual(outcome.code, 1)
            self.assertIn("--document FILE", outcome.errors)


class QueryTest(unittest.TestCase):
    """Answers of processes are shown, and unresponsive ones are listed."""

    def test_status_as_table_and_json(self) -> None:
        """The status of a process is printed as a table or as JSON."""
        with answering_process("ledger-1") as process:
            address = str(process.endpoint)
            table = run_command("status", address)
            data = run_command("status", address, "--format", "json")
        self.assertEqual((table.code, data.code), (0, 0))
        self.assertRegex(table.output, rf"ledger-1 +veraval +companion +{address} +12")
        answered = json.loads(data.output)["processes"][0]
        self.assertEqual(answered["configuration_version"], 12)
        self.assertEqual(answered["figures"], {"flows": 3.0})

    def test_partial_status(self) -> None:
        """An unreachable process is listed, and the others are shown."""
        unreachable = str(PortReserver().reserve())
        with answering_process("ledger-1") as process:
            outcome = run_command("status", str(process.endpoint), unreachable)
        self.assertEqual(outcome.code, 3)
        self.assertIn("ledger-1", outcome.output)
        self.assertIn(f"no answer from {unreachable}", outcome.errors)
        self.assertIn("partial: 1 of 2 processes answered", outcome.errors)

    def test_no_process_answers(self) -> None:
        """Without any answer the command fails."""
        unreachable = str(PortReserver().reserve())
        for command in ("status", "timeline"):
            outcome = run_command(command, unreachable)
            self.assertEqual(outcome.code, 1)
            self.assertIn("no process answered", outcome.errors)
            self.assertIn("set POMELOTRAIL_TLS", outcome.errors)

    def test_document_names_the_processes(self) -> None:
        """An unresponsive process of a document is shown with its name."""
        text = COMMENTED_DOCUMENT
        for address in ("192.0.2.1:7001", "192.0.2.2:7001"):
            text = text.replace(address, str(PortReserver().reserve()))
        outcome = run_command("status", "--document", "-", standard_input=text)
        self.assertEqual(outcome.code, 1)
        self.assertIn("ledger-1: no answer from 127.0.0.1", outcome.errors)

    def test_timeline_corrects_clocks(self) -> None:
        """Events are in their true order although a wall clock is wrong."""
        fast = SkewedClock(timedelta(hours=1))
        with (
            answering_process("balancer-1", fast) as balancer,
            answering_process("ledger-1") as ledger,
        ):
            balancer.recorder.record(EventKind.FLOW_PASSED_ON, flow="f1")
            fast.jump(timedelta(minutes=1))
            ledger.recorder.record(EventKind.FLOW_OPENED, flow="f1")
            addresses = (str(ledger.endpoint), str(balancer.endpoint))
            outcome = run_command("timeline", *addresses)
        self.assertEqual(outcome.code, 0)
        events = [line for line in outcome.output.splitlines() if line[0] != "#"]
        self.assertIn("flow passed on", events[0])
        self.assertIn("flow opened", events[1])
        self.assertRegex(outcome.output, r"# balancer-1 .* clock \+36\d{5}\.\d ms")

    def test_timeline_filters_and_json(self) -> None:
        """Only the selected events are shown."""
        with answering_process("ledger-1") as process:
            process.recorder.record(
                EventKind.REQUEST_STARTED, flow="f1", request="f1-0"
            )
            process.recorder.record(
                EventKind.REQUEST_STARTED, flow="f2", request="f2-0"
            )
            outcome = run_command(
                "timeline", str(process.endpoint), "--flow", "f2", "--format", "json"
            )
        shown = [json.loads(line) for line in outcome.output.splitlines()]
        self.assertEqual([each["request"] for each in shown], ["f2-0"])

    def test_timeline_of_one_kind(self) -> None:
        """A kind selects events; the error of an unknown one lists the known kinds."""
        with answering_process("ledger-1") as process:
            process.recorder.record(EventKind.REQUEST_STARTED, request="f1-0")
            process.recorder.record(EventKind.REQUEST_REFUSED, request="f2-0")
            address = str(process.endpoint)
            chosen = run_command("timeline", address, "--kind", "request refused")
            wrong = run_command("timeline", address, "--kind", "refused")
        self.assertIn("f2-0", chosen.output)
        self.assertNotIn("f1-0", chosen.output)
        self.assertEqual(wrong.code, 2)
        self.assertIn("request refused", wrong.errors)

    def test_last_excludes_older_events(self) -> None:
        """``--last`` excludes events older than the given duration."""
        with answering_process("ledger-1") as process:
            process.recorder.record(EventKind.DRAINING)
            recent = run_command("timeline", str(process.endpoint), "--last", "1h")
            none = run_command("timeline", str(process.endpoint), "--last", "0.001ms")
        self.assertIn("draining", recent.output)
        self.assertNotIn("draining", none.output)

    def test_page_is_written(self) -> None:
        """The page is written to a file; an unwritable path is an error."""
        with answering_process("ledger-1") as process:
            address = str(process.endpoint)
            with tempfile.TemporaryDirectory() as directory:
                path = Path(directory) / "timeline.html"
                outcome = run_command(
                    "timeline", address, "--format", "html", "--output", str(path)
                )
                self.assertEqual(outcome.code, 0)
                self.assertIn("ledger-1", path.read_text())
                wrong = run_command("timeline", address, "--output", directory)
        self.assertEqual(wrong.code, 1)
        self.assertIn("can't be written", wrong.errors)

    def test_explain_over_processes(self) -> None:
        """The explanation of a flow covers all processes it passed through."""
        with (
            answering_process("ledger-1") as first,
            answering_process("ledger-2") as second,
        ):
            cold = first.recorder.record(
                EventKind.BACKEND_SERVER_COLD, detail="2 sheds"
            )
            first.recorder.record(EventKind.FLOW_PASSED_ON, flow="f1", cause=cold)
            second.recorder.record(EventKind.FLOW_OPENED, flow="f1")
            addresses = (str(first.endpoint), str(second.endpoint))
            outcome = run_command("explain", "f1", *addresses)
        self.assertEqual(outcome.code, 0)
        self.assertRegex(outcome.output, r"ledger-1 \(veraval\) passed flow f1 on")
        self.assertRegex(outcome.output, r"because at .* found its .* cold: 2 sheds")
        self.assertIn("ledger-2 (veraval) took flow f1", outcome.output)

    def test_explain_unknown_subject(self) -> None:
        """The error of an unknown name shows where to find names."""
        with answering_process("ledger-1") as process:
            outcome = run_command("explain", "nobody", str(process.endpoint))
        self.assertEqual(outcome.code, 1)
        self.assertIn("pomelotrail timeline", outcome.errors)
