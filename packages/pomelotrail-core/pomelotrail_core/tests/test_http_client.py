"""Tests of the HTTP client connection."""

import socket
import unittest
from datetime import timedelta
from typing import Final

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.http_client import HttpConnection

# Operators' limit on the time from the confirmation of a change until it is in force.
_APPLY_LIMIT: Final = timedelta(seconds=3)


class HttpConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Test connections to a server on loopback that says nothing."""

    def setUp(self) -> None:
        """Start to listen."""
        self._server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self._server.close)

    async def test_silent_connection_is_reset_before_a_change_is_overdue(self) -> None:
        """The kernel probes the connection while nothing arrives."""
        _, port = self._server.getsockname()
        connection = await HttpConnection.async_open(Endpoint("127.0.0.1", port))
        self.addCleanup(connection.close)
        options = connection.transport_socket
        self.assertTrue(options.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        idle, interval, probes, unacknowledged_ms = (
            options.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
                socket.TCP_USER_TIMEOUT,
            )
        )
        while_idle = timedelta(seconds=idle + interval * probes)
        self.assertLessEqual(while_idle, _APPLY_LIMIT)
        after_request = timedelta(milliseconds=unacknowledged_ms)
        self.assertTrue(timedelta() < after_request <= _APPLY_LIMIT)
