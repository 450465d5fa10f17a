"""Reads the operators' document from a file or standard input."""

import sys
from pathlib import Path

import attrs
from result import Err, Ok, Result

from pomelotrail_core.configuration import Configuration, parse_configuration

from .errors import CommandError

STANDARD_INPUT = Path("-")


@attrs.frozen
class DocumentFile:
    """A valid document with its text."""

    source: str
    text: str
    configuration: Configuration


def read_document(path: Path) -> Result[DocumentFile, CommandError]:
    """Read a document and check it by the rules that every process applies."""
    source = "standard input" if path == STANDARD_INPUT else str(path)
    try:
        text = sys.stdin.read() if path == STANDARD_INPUT else path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err(CommandError(f"{source}: can't be read ({error}); give a YAML file"))
    match parse_configuration(text, source):
        case Err(error):
            return Err(CommandError(str(error)))
        case Ok(configuration):
            return Ok(DocumentFile(source, text, configuration))
