"""Constants of the configuration check."""

from typing import Final

# For errors of the schema that state what is expected and no more.
DEFAULT_REMEDY: Final = "correct the value"
# Enough digits to tell any two durations apart.
DURATION_DIGITS: Final = 15
