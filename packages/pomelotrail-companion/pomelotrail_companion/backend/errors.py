"""Errors of the backend client."""

import aiohttp


class ConnectionBroken(aiohttp.ClientError):
    """The connection to the backend server was lost during a request."""
