"""Tasks that run beside the main one for the life of a process."""

from .tasks import BackgroundTasks

__all__ = ["BackgroundTasks"]
