"""Validators of single values, shared by settings and configuration."""

import re
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


class SecretInvalid(vol.Invalid):
    """An invalid secret; messages must not repeat its value."""


def duration(value: Any) -> timedelta:
    """Parse a duration such as ``250 ms``, ``3 s``, ``5 min`` or ``2 h``."""
    match = _DURATION.match(str(value))
    if match is None:
        raise vol.Invalid(
            f"{value!r} is not a duration; write a number and ms, s, min or h, as 3 s"
        )
    return float(match[1]) * _UNITS[match[2]]


def endpoint(value: Any) -> Endpoint:
    """Parse an endpoint such as ``192.0.2.7:4433``."""
    match Endpoint.parse(value):
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
