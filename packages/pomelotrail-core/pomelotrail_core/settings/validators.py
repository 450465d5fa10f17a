"""Validators of single values, shared by settings and configuration."""

import re
import reprlib
from datetime import timedelta
from typing import Any, Final

import voluptuous as vol
from result import Err, Ok

from pomelotrail_core.endpoint import Endpoint

_DURATION: Final = re.compile(r"^(\d+(?:\.\d+)?) ?(ms|s|min|h)$")
_UNITS: Final = {
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "min": timedelta(minutes=1),
    "h": timedelta(hours=1),
}


_MAX_VALUE_CHARACTERS: Final = 200
_MAX_VALUE_LEVELS: Final = 2
_SHORT: Final = reprlib.Repr()
_SHORT.maxstring = _SHORT.maxother = _SHORT.maxlong = _MAX_VALUE_CHARACTERS
_SHORT.maxlevel = _MAX_VALUE_LEVELS


def short_repr(value: Any) -> str:
    """Return a value for an error message.

    With aliases, a small document can hold a value whose whole text doesn't fit into
    memory.
    """
    try:
        return _SHORT.repr(value)
    except ValueError:
        # Python doesn't write integers of more than 4,300 digits, which YAML can hold
        # in hexadecimal.
        return f"a value of type {type(value).__name__} that is too long"


class SecretInvalid(vol.Invalid):
    """An invalid secret; messages must not repeat its value."""


def duration(value: Any) -> timedelta:
    """Parse a duration such as ``250 ms``, ``3 s``, ``5 min`` or ``2 h``."""
    match = _DURATION.match(value) if isinstance(value, str) else None
    if match is None:
        raise vol.Invalid(
            f"{short_repr(value)} is not a duration; "
            "write a number and ms, s, min or h, as 3 s"
        )
    try:
        return float(match[1]) * _UNITS[match[2]]
    except OverflowError as error:
        raise vol.Invalid(
            f"{short_repr(value)} is too long; write a shorter duration"
        ) from error


def number(value: Any) -> float:
    """Parse a number; an integer may be too large for one."""
    try:
        return float(value)
    except (TypeError, ValueError, OverflowError) as error:
        raise vol.Invalid("expected float") from error


def endpoint(value: Any) -> Endpoint:
    """Parse an endpoint such as ``192.0.2.7:4433``."""
    match Endpoint.parse(value if isinstance(value, str) else short_repr(value)):
        case Ok(parsed):
            return parsed
        case Err(error):
            raise vol.Invalid(str(error))


def hex_key(size: int) -> Any:
    """Return a validator for a key of the given size in bytes, in hexadecimal."""

    def validate(value: Any) -> bytes:
        """Parse one key."""
        try:
            key = bytes.fromhex(str(value))
        except ValueError:
            key = b""
        if len(key) != size:
            raise SecretInvalid(f"write {size} bytes as {2 * size} hexadecimal digits")
        return key

    return validate
