"""Names and times of the build."""

from datetime import timedelta
from typing import Final

# A build may take this long; what an interrupted one left is removed afterwards.
BUILD_TIME_LIMIT: Final = timedelta(minutes=15)
PRIVATE_PREFIX: Final = "building-"
CONTENTS_FILE: Final = "contents"
COMPILED_FOLDER: Final = "__pycache__"
# The part of a compiled module before its code.
COMPILED_HEADER_BYTES: Final = 16
REQUIREMENT_FILES: Final = ("requirements-platform.txt", "constraints.txt")
# Digits of a digest that name a folder.
KEY_LENGTH: Final = 16
# Characters of a line of sha256sum before the name of the file.
DIGEST_WIDTH: Final = 66
