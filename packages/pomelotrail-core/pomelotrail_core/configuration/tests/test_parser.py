"""Tests of parsing and validating configuration documents."""

import re
import unittest

import yaml

from harness.builders import document
from pomelotrail_core.configuration import parse_configuration


class ParserTest(unittest.TestCase):
    """A document is accepted or refused as a whole."""

    def error(self, **changes: object) -> str:
        """Return the error message for a changed document."""
        return str(parse_configuration(document(**changes)).unwrap_err())

    def test_valid_document(self) -> None:
        """Every part of a valid document is parsed into a typed object."""
        configuration = parse_configuration(document(7)).unwrap()
        self.assertEqual(configuration.version, 7)
        service = configuration.service("stock-ledger")
        self.assertEqual(service.request_class("GET", "/board/3").name, "read-board")
        self.assertIsNone(service.request_class("GET", "/boards"))

    def test_unknown_zone(self) -> None:
        """A document with a backend server in an unlisted zone is refused."""
        message = self.error(zones=[{"name": "rajkot", "number": 1}])
        self.assertIn("'veraval' is not listed", message)
        self.assertIn("rajkot", message)

    def test_repeated_zone_number(self) -> None:
        """Zone numbers must be unique because routing tokens contain them."""
        zones = [{"name": "veraval", "number": 1}, {"name": "rajkot", "number": 1}]
        self.assertIn("number 1 occurs 2 times", self.error(zones=zones))

    def test_weights_are_not_accepted(self) -> None:
        """A weight is refused because operators configure targets."""
        content = yaml.safe_load(document())
        content["services"][0]["backend_servers"][0]["weight"] = 3
        error = parse_configuration(yaml.safe_dump(content)).unwrap_err()
        self.assertIn("weight", str(error))
        self.assertIn("is not known", str(error))

    def test_numbers_that_messages_can_not_carry(self) -> None:
        """Guards against a version in force that no packet can carry."""
        for key in ("version", "slots", "connections"):
            text = re.sub(rf"\b{key}: \d+", f"{key}: {10**30}", document())
            error = parse_configuration(text).unwrap_err()
            self.assertIn(key, str(error))
            self.assertIn("at most", str(error))

    def test_numbers_too_long_to_write(self) -> None:
        """Guards against a published document that ends the reader of the document.

        Python neither writes integers of more than 4,300 digits nor converts those
        above 1e308 to floating point.
        """
        too_long = f"0x{'f' * 5000}"
        for value, field in (
            ("version: 1", "version"),
            ("192.0.2.9:7000", "services.0.backend_servers.0.packets"),
            ("300 ms", "services.0.classes.0.target.within"),
            ("0.99", "services.0.classes.0.target.share"),
        ):
            key, _, _ = value.rpartition(" ") if ": " in value else ("", "", "")
            text = document().replace(value, f"{key} {too_long}".strip())
            error = parse_configuration(text).unwrap_err()
            self.assertEqual(error.field, field)
        error = parse_configuration(f"? {too_long}\n: 1\n").unwrap_err()
        self.assertEqual(error.problem, "is not known")

    def test_error_names_field_problem_and_remedy(self) -> None:
        """An error has the field at fault, what is wrong and what to do."""
        text = document().replace("slots: 5", "slot: 5")
        error = parse_configuration(text, "new.yaml").unwrap_err()
        self.assertEqual(error.field, "services.0.backend_servers.0.slot")
        self.assertEqual(error.problem, "is not known")
        self.assertIn("did you mean 'slots'", error.remedy)
        text = document().replace("300 ms", "soon")
        error = parse_configuration(text).unwrap_err()
        self.assertEqual(error.problem, "'soon' is not a duration")
        self.assertEqual(error.remedy, "write a number and ms, s, min or h, as 3 s")

    def test_too_large(self) -> None:
        """A document above the size limit of the service is refused."""
        error = parse_configuration("#" * 1_000_001).unwrap_err()
        self.assertIn("larger than", str(error))
