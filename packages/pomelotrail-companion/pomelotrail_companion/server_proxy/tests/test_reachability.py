"""Tests of detecting a backend server that has stopped."""

import asyncio
import socket
import unittest

from pomelotrail_companion.server_proxy.reachability import async_is_server_gone


class ReachabilityTest(unittest.IsolatedAsyncioTestCase):
    """A listening server and a stopped one."""

    async def test_server(self) -> None:
        """A server is gone once its port is closed."""
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        self.assertFalse(await async_is_server_gone(address))
        server.close()
        await server.wait_closed()
        self.assertTrue(await async_is_server_gone(address))

    async def test_server_without_a_network(self) -> None:
        """A connection timeout on the same VM also means that it is gone."""
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        # The backlog of the listener is full, so further connections hang.
        clients = [socket.socket() for _ in range(4)]
        for client in clients:
            client.setblocking(False)
            client.connect_ex(address)
            self.addCleanup(client.close)
        self.assertTrue(await async_is_server_gone(address))
