"""Reads what the companions and backend servers of a zone have received."""

import aiohttp

from harness.fleet import Fleet, PlannedCompanion
from pomelotrail_core.peers.channel import open_channel
from pomelotrail_core.peers.status_grpc import StatusStub
from pomelotrail_core.peers.status_pb2 import StatusRequest


async def async_count_packets(fleet: Fleet, zone: str) -> int:
    """Return the number of datagrams received by the companions of a zone."""
    total = 0.0
    for companion in _companions_in_zone(fleet, zone):
        channel = open_channel(companion.control)
        try:
            reply = await StatusStub(channel).Get(StatusRequest())
        finally:
            channel.close()
        total += reply.figures["packets_received"]
    return round(total)


async def async_count_overruns(fleet: Fleet, zone: str) -> int:
    """Return the number of requests beyond the capacity of a zone's servers."""
    total = 0
    async with aiohttp.ClientSession() as session:
        for companion in _companions_in_zone(fleet, zone):
            url = f"http://{companion.backend_server}/admin/state"
            async with session.get(url) as response:
                total += (await response.json())["overruns"]
    return total


async def async_reset_to_cold(fleet: Fleet, zone: str) -> None:
    """Reset the backend servers of a zone to cold."""
    async with aiohttp.ClientSession() as session:
        for companion in _companions_in_zone(fleet, zone):
            await session.post(f"http://{companion.backend_server}/admin/cold")


def _companions_in_zone(fleet: Fleet, zone: str) -> list[PlannedCompanion]:
    """Return the companions of a zone."""
    return [companion for companion in fleet.companions if companion.zone == zone]
