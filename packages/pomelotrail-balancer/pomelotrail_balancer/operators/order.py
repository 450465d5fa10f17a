"""``pomelotrail zone`` and ``pomelotrail backend``: edit the service state."""

import abc
import argparse
import difflib
import sys
from pathlib import Path

from result import Err, Ok, Result

from pomelotrail_core.command_line import EXIT_FAILED, EXIT_OK, Command

from .document_editor import set_backend_server_out, set_zone_out
from .document_file import DocumentFile, read_document
from .errors import CommandError

_PUBLISH_HINT = "publish it by the platform's own means; nothing has changed yet"


class OrderCommand(Command):
    """Edits a document and prints its next version, which the operator publishes."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        parser.add_argument("order", choices=["out", "in"])
        parser.add_argument("name", metavar="NAME")
        parser.add_argument(
            "file", type=Path, metavar="FILE", help="document (YAML), or -"
        )
        parser.add_argument(
            "--output",
            type=Path,
            metavar="FILE",
            help="write the next version here instead of to standard output",
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Print the difference and write the next version."""
        match read_document(arguments.file):
            case Err(error):
                return _fail(error)
            case Ok(document):
                pass
        match self.edit(document, arguments.name, arguments.order == "out"):
            case Err(error):
                return _fail(error)
            case Ok(text):
                return _write_next_version(document, text, arguments.output)

    @abc.abstractmethod
    def edit(
        self, document: DocumentFile, name: str, is_out: bool
    ) -> Result[str, CommandError]:
        """Return the text of the next version."""


class ZoneCommand(OrderCommand):
    """Takes an availability zone out of service or restores it."""

    name = "zone"
    summary = "take an availability zone out of service or bring it back"
    examples = (
        "pomelotrail zone out veraval document.yaml > next.yaml\n"
        "pomelotrail zone in veraval document.yaml --output document.yaml"
    )

    def edit(
        self, document: DocumentFile, name: str, is_out: bool
    ) -> Result[str, CommandError]:
        """Return the text of the next version."""
        return set_zone_out(document, name, is_out)


class BackendCommand(OrderCommand):
    """Takes a backend server out of service or restores it."""

    name = "backend"
    summary = "take a backend server out of service or bring it back"
    examples = (
        "pomelotrail backend out ledger-1 document.yaml > next.yaml\n"
        "pomelotrail backend in ledger-1 document.yaml --output document.yaml"
    )

    def edit(
        self, document: DocumentFile, name: str, is_out: bool
    ) -> Result[str, CommandError]:
        """Return the text of the next version."""
        return set_backend_server_out(document, name, is_out)


def _fail(error: CommandError) -> int:
    """Print an error."""
    print(error, file=sys.stderr)
    return EXIT_FAILED


def _write_next_version(document: DocumentFile, text: str, output: Path | None) -> int:
    """Print the difference, and print or write the next version."""
    version = document.configuration.version
    difference = difflib.unified_diff(
        document.text.splitlines(keepends=True),
        text.splitlines(keepends=True),
        f"{document.source} (version {version})",
        f"{document.source} (version {version + 1})",
    )
    sys.stderr.writelines(difference)
    if output is None:
        sys.stdout.write(text)
        return EXIT_OK
    try:
        output.write_text(text)
    except OSError as error:
        return _fail(
            CommandError(
                f"{output}: can't be written ({error.strerror}); "
                "give --output a path that can be written"
            )
        )
    print(f"{output}: version {version + 1} written; {_PUBLISH_HINT}", file=sys.stderr)
    return EXIT_OK
