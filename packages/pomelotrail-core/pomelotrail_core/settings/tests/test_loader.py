"""Tests of reading settings files."""

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
    """Errors name the key, the value and what is allowed."""

    def error(self, text: str) -> str:
        """Return the message for a text that is refused."""
        return str(parse_document(text, _SCHEMA, "a.yaml").unwrap_err())

    def test_unknown_key_names_the_likely_one(self) -> None:
        """A misspelt key is refused with the key that was meant."""
        message = self.error("packet: 192.0.2.1:1")
        self.assertIn("'packet'", message)
        self.assertIn("did you mean 'packets'", message)

    def test_missing_key(self) -> None:
        """A missing key is named."""
        message = self.error("timeout: 3 s")
        self.assertIn("key 'packets': is missing", message)

    def test_wrong_value_names_what_is_allowed(self) -> None:
        """A wrong value stands in the message beside the allowed form."""
        message = self.error("{packets: '192.0.2.1:1', timeout: 3 weeks}")
        self.assertIn("'3 weeks'", message)
        self.assertIn("ms, s, min or h", message)

    def test_secret_is_not_repeated(self) -> None:
        """A wrong key does not end up in the message."""
        message = self.error("{packets: '192.0.2.1:1', key: 'c0ffee'}")
        self.assertIn("8 hexadecimal digits", message)
        self.assertNotIn("c0ffee", message)

    def test_not_yaml(self) -> None:
        """Text that is not YAML is refused with its place."""
        self.assertIn("line 1", self.error("a: [1"))

    def test_unreadable_file(self) -> None:
        """A file that is not there is named."""
        error = load_settings(Path("/does/not/exist.yaml"), _SCHEMA).unwrap_err()
        self.assertIn("/does/not/exist.yaml", str(error))
