"""What a start waits for, and how it fails."""

from .addresses import async_open_address
from .errors import StartError
from .files import async_load_files, read_files
from .stopping import async_run_unless_stopped

__all__ = [
    "StartError",
    "async_load_files",
    "async_open_address",
    "async_run_unless_stopped",
    "read_files",
]
