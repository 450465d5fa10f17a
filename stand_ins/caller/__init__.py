"""Caller: an HTTP/3 client that keeps boards open and sends requests."""

from .client import Caller, CallerAnswer, FlowLostError, async_connect

__all__ = ["Caller", "CallerAnswer", "FlowLostError", "async_connect"]
