"""Environment variables for pip, without those that change where it installs."""

import os
from typing import Final

# Options that exclude ``--target`` or an installation in a virtual environment, or
# install for another interpreter. Those that name an index or a proxy stay.
_PLACE_OPTIONS: Final = (
    *("TARGET", "PREFIX", "ROOT", "PYTHON", "USER", "REQUIRE_VIRTUALENV", "DRY_RUN"),
    *("PLATFORM", "PYTHON_VERSION", "IMPLEMENTATION", "ABI", "NO_DEPS", "EDITABLE"),
    *("REQUIREMENT", "SRC", "REPORT"),
)
# They override a configuration file, which an empty value would not. Paths in such a
# file stay: pip takes an empty prefix for the root of the file system.
_NEUTRAL: Final = {
    "PIP_USER": "0",
    "PIP_REQUIRE_VIRTUALENV": "0",
    "PIP_DRY_RUN": "0",
    "PIP_NO_DEPS": "0",
}


def pip_environment() -> dict[str, str]:
    """Return the environment for pip: the user's, but for places and ``PYTHON*``."""
    removed = {f"PIP_{option}" for option in _PLACE_OPTIONS}
    kept = {
        name: value
        for name, value in os.environ.items()
        if name not in removed and not name.startswith("PYTHON")
    }
    return kept | _NEUTRAL
