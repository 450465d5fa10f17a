"""Talks to the backend server beside the companion."""

from .client import BackendClient
from .session import open_backend_session

__all__ = ["BackendClient", "open_backend_session"]
