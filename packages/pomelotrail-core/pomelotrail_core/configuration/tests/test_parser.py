"""Tests of checking configuration documents."""

import unittest

import yaml

from harness.builders import document
from pomelotrail_core.configuration import parse_configuration


class ParserTest(unittest.TestCase):
    """A document is taken whole or refused whole."""

    def error(self, **changes: object) -> str:
        """Return the message for a changed document that is refused."""
        return str(parse_configuration(document(**changes)).unwrap_err())

    def test_valid_document(self) -> None:
        """Every part of a valid document becomes a typed object."""
        configuration = parse_configuration(document(7)).unwrap()
        self.assertEqual(configuration.version, 7)
        service = configuration.service("stock-ledger")
        self.assertEqual(service.request_class("GET", "/board/3").name, "read-board")
        self.assertIsNone(service.request_class("GET", "/boards"))

    def test_unknown_zone(self) -> None:
        """A backend server in an unlisted zone refuses the document."""
        message = self.error(zones=[{"name": "rajkot", "number": 1}])
        self.assertIn("'veraval' is not listed", message)
        self.assertIn("rajkot", message)

    def test_repeated_zone_number(self) -> None:
        """Numbers stand in routing tokens, so they must be unique."""
        zones = [{"name": "veraval", "number": 1}, {"name": "rajkot", "number": 1}]
        self.assertIn("number 1 stands 2 times", self.error(zones=zones))

    def test_weights_are_not_accepted(self) -> None:
        """Operators state targets; a weight is refused."""
        content = yaml.safe_load(document())
        content["services"][0]["backend_servers"][0]["weight"] = 3
        error = parse_configuration(yaml.safe_dump(content)).unwrap_err()
        self.assertIn("weight", str(error))
        self.assertIn("is not known", str(error))

    def test_too_large(self) -> None:
        """A document above the size of the service is refused."""
        error = parse_configuration("#" * 1_000_001).unwrap_err()
        self.assertIn("larger than", str(error))
