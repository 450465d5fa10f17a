"""Talks to the backend server beside the companion."""

from .client import BackendClient

__all__ = ["BackendClient"]
