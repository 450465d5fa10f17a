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

    def test_unreadable_file(self) -> None:
        """The error for a missing file names it."""
        error = load_settings(Path("/does/not/exist.yaml"), _SCHEMA).unwrap_err()
        self.assertIn("/does/not/exist.yaml", str(error))
