"""``pomelotrail check``: checks a configuration document."""

import sys
from pathlib import Path

from result import Err, Ok

from pomelotrail_core.configuration import parse_configuration

from .const import EXIT_FAILED, EXIT_OK


def run_check(path: Path) -> int:
    """Check a document by the rules that every process applies."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: can't be read ({error}); give a YAML file", file=sys.stderr)
        return EXIT_FAILED
    match parse_configuration(text, str(path)):
        case Ok(configuration):
            print(f"{path}: version {configuration.version} is valid")
            return EXIT_OK
        case Err(error):
            print(error, file=sys.stderr)
            return EXIT_FAILED
