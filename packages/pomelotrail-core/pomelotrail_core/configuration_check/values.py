"""Values in the form in which a document has them."""

from datetime import timedelta
from typing import Final

from .const import DURATION_DIGITS

_SECOND: Final = timedelta(seconds=1)
_MILLISECOND: Final = timedelta(milliseconds=1)


def duration_text(value: timedelta) -> str:
    """Return a duration such as ``250 ms`` or ``3 s``."""
    if value < _SECOND:
        return f"{value / _MILLISECOND:.{DURATION_DIGITS}g} ms"
    return f"{value / _SECOND:.{DURATION_DIGITS}g} s"
