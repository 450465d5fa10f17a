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


def source_name(path: Path) -> str:
    """Return the name of a document in messages."""
    return "standard input" if path == STANDARD_INPUT else str(path)


def read_text(path: Path) -> Result[str, CommandError]:
    """Read a text as it is published, with the line ends that it has."""
    try:
        data = sys.stdin.buffer.read() if path == STANDARD_INPUT else path.read_bytes()
        return Ok(data.decode())
    except (OSError, ValueError) as error:
        problem = f"{source_name(path)} can't be read ({error})"
        return Err(CommandError(problem, "give a YAML file"))


def read_document(path: Path) -> Result[DocumentFile, CommandError]:
    """Read a document and check it by the rules that every process applies."""
    source = source_name(path)
    match read_text(path):
        case Err(error):
            return Err(error)
        case Ok(text):
            pass
    match parse_configuration(text, source):
        case Err(error):
            return Err(CommandError(str(error)))
        case Ok(configuration):
            return Ok(DocumentFile(source, text, configuration))
