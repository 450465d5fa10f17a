"""Tests of loading settings files."""

import unittest
from pathlib import Path

import voluptuous as vol

from pomelotrail_core.settings import duration, endpoint, hex_key, load_settings
from pomelotrail_core.settings.loader import parse_document

_SCHEMA = vol.Schema(
    {
        vol.Required("packets"): endpoint,
        vol.Optional("timeout"): duration,
        vol.Optional("key"): hex_key(4),
    }
)


class LoaderTest(unittest.TestCase):
    """Errors have the key, the value and the allowed form."""

    def error(self, text: str) -> str:
        """Return the error message for an invalid text."""
        return str(parse_document(text, _SCHEMA, "a.yaml").unwrap_err())

    def test_unknown_key_suggests_a_similar_key(self) -> None:
        """The error for a misspelt key suggests the similar allowed key."""
        message = self.error("packet: 192.0.2.1:1")
        self.assertIn("'packet'", message)
        self.assertIn("did you mean 'packets'", message)

    def test_missing_key(self) -> None:
        """The error for a missing key names it."""
        message = self.error("timeout: 3 s")
        self.assertIn("key 'packets': is missing", message)

    def test_wrong_value_names_what_is_allowed(self) -> None:
        """The error for a wrong value has the value and the allowed form."""
        message = self.error("{packets: '192.0.2.1:1', timeout: 3 weeks}")
        self.assertIn("'3 weeks'", message)
        self.assertIn("ms, s, min or h", message)

    def test_secret_is_not_in_the_error(self) -> None:
        """The error for an invalid secret does not contain its value."""
        message = self.error("{packets: '192.0.2.1:1', key: 'c0ffee'}")
        self.assertIn("8 hexadecimal digits", message)
        self.assertNotIn("c0ffee", message)

    def test_not_yaml(self) -> None:
        """The error for invalid YAML has the line."""
        self.assertIn("line 1", self.error("a: [1"))

    def test_value_without_the_form_of_its_type(self) -> None:
        """Guards against readers that end for a date or number that is impossible."""
        for value in (
            "2020-13-45",
            "!!int one",
            "!!bool one",
            "!!timestamp one",
            "9" * 5_000,
        ):
            self.assertIn("is not YAML", self.error(f"packets: {value}"))

    def test_duration_out_of_range(self) -> None:
        """Guards against readers that end for a duration that is too long."""
        for digits in (20, 400):
            message = self.error(
                f"{{packets: '192.0.2.1:1', timeout: {'9' * digits} h}}"
            )
            self.assertIn("is too long", message)

    def test_error_does_not_expand_aliases(self) -> None:
        """Guards against an error whose text doesn't fit into memory."""
        levels = ["l0: &l0 [" + "x, " * 9 + "]"]
        levels += [
            f"l{level}: &l{level} [{f'*l{level - 1}, ' * 9}]" for level in range(1, 6)
        ]
        text = "\n".join([*levels, "packets: *l5"])
        for check in (int, duration, endpoint):
            schema = vol.Schema({vol.Required("packets"): check}, extra=vol.ALLOW_EXTRA)
            error = parse_document(text, schema, "a.yaml").unwrap_err()
            self.assertLess(len(str(error)), 10_000)

    def test_unreadable_file(self) -> None:
        """The error for a missing file names it."""
        error = load_settings(Path("/does/not/exist.yaml"), _SCHEMA).unwrap_err()
        self.assertIn("/does/not/exist.yaml", str(error))
