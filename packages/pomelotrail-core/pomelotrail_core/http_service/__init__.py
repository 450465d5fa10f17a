"""A small HTTP/1.1 service for readiness and metrics."""

from .messages import HttpReply
from .service import HttpService

__all__ = ["HttpReply", "HttpService"]
