"""Errors of the backend slice."""

import aiohttp


class ConnectionBroken(aiohttp.ClientError):
    """The connection to the backend server ended within a request."""
