"""What the companions and backend servers of a zone have really got."""

import aiohttp

from harness.fleet import CompanionPlace, Fleet
from pomelotrail_core.peers.channel import open_channel
from pomelotrail_core.peers.status_grpc import StatusStub
from pomelotrail_core.peers.status_pb2 import StatusRequest


async def async_packets(fleet: Fleet, zone: str) -> int:
    """Return the datagrams that the companions of a zone have received."""
    total = 0.0
    for place in _places(fleet, zone):
        channel = open_channel(place.control)
        try:
            reply = await StatusStub(channel).Get(StatusRequest())
        finally:
            channel.close()
        total += reply.figures["packets_received"]
    return round(total)


async def async_overruns(fleet: Fleet, zone: str) -> int:
    """Return the requests beyond what the servers of a zone could carry."""
    total = 0
    async with aiohttp.ClientSession() as session:
        for place in _places(fleet, zone):
            url = f"http://{place.backend_server}/admin/state"
            async with session.get(url) as response:
                total += (await response.json())["overruns"]
    return total


async def async_turn_cold(fleet: Fleet, zone: str) -> None:
    """Let the backend servers of a zone start from cold."""
    async with aiohttp.ClientSession() as session:
        for place in _places(fleet, zone):
            await session.post(f"http://{place.backend_server}/admin/cold")


def _places(fleet: Fleet, zone: str) -> list[CompanionPlace]:
    """Return the companions of a zone."""
    return [place for place in fleet.companions if place.zone == zone]
