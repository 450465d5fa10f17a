"""HTTP/1.1 client for the backend server of the companion."""

from .client import BackendClient
from .session import open_backend_session

__all__ = ["BackendClient", "open_backend_session"]
