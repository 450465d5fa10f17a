"""Detection of a backend server that has stopped."""

import asyncio

from pomelotrail_core.datagram_callback import Address

from .const import SERVER_CONNECT_TIMEOUT


async def async_is_server_gone(server: Address) -> bool:
    """Return whether a server on this VM no longer accepts connections.

    Called only while the VM is being stopped. The kernel accepts connections for a
    busy server, so a timeout means that the server no longer has a network.
    """
    try:
        async with asyncio.timeout(SERVER_CONNECT_TIMEOUT.total_seconds()):
            _, writer = await asyncio.open_connection(*server)
    except (OSError, TimeoutError):
        return True
    writer.transport.abort()
    return False
