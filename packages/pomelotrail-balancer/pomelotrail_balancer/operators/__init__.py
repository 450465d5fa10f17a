"""The commands that operators run."""

from .check import run_check
from .timeline import run_timeline

__all__ = ["run_check", "run_timeline"]
