"""Limits and formats of the operators' commands."""

from datetime import timedelta
from typing import Final

STATUS_TIMEOUT: Final = timedelta(seconds=3)
MAX_CONCURRENT_QUERIES: Final = 64
CLASS_FIGURE_PREFIX: Final = "class."
FORMAT_TEXT: Final = "text"
FORMAT_TABLE: Final = "table"
FORMAT_JSON: Final = "json"
FORMAT_HTML: Final = "html"
