"""Tests of the companion's command line."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

import yaml

from pomelotrail_companion.main import main

_SETTINGS = {
    "name": "ledger-1",
    "zone": "veraval",
    "packets": "192.0.2.9:7000",
    "control": "192.0.2.9:7001",
    "configuration_service": "http://192.0.2.2:8080/v1/configuration",
    "fleet_key": "00" * 32,
    "token_keys": [{"generation": 0, "key": "11" * 16}],
    "service": "stock-ledger",
    "backend_server": "127.0.0.1:8000",
    "certificate": "certificate.pem",
    "private_key": "private-key.pem",
}


class CompanionCommandsTest(unittest.TestCase):
    """Settings are checked, and invalid ones never start a companion."""

    def run_with(self, command: str, **changes: object) -> tuple[int, str]:
        """Run a command with changed settings; return exit code and output."""
        output = io.StringIO()
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "ledger-1.yaml"
            path.write_text(yaml.safe_dump({**_SETTINGS, **changes}))
            with (
                contextlib.redirect_stdout(output),
                contextlib.redirect_stderr(output),
                self.assertRaises(SystemExit) as exit_request,
            ):
                main([command, str(path)])
        return int(exit_request.exception.code or 0), output.getvalue()

    def test_valid_settings(self) -> None:
        """Valid settings are accepted."""
        code, text = self.run_with("check", log_format="json")
        self.assertEqual(code, 0)
        self.assertIn("the settings are valid", text)

    def test_invalid_settings(self) -> None:
        """Both commands refuse invalid settings and name the setting."""
        for command in ("check", "run"):
            code, text = self.run_with(command, log_format="xml")
            self.assertEqual(code, 2)
            self.assertIn("'log_format'", text)
