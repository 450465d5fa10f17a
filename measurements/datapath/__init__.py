"""Cost of a packet, an opening packet, a handshake and an open flow.

The baseline of the balancer is a bare relay that receives and sends the same 1,200
bytes on the same event loop; both are measured alternately in one run.
"""

import asyncio

from measurements.interface import Figures, MeasurementOptions

from .connections import measure_connections
from .packets import measure_packets
from .ranking import measure_ranking


async def async_measure(options: MeasurementOptions) -> Figures:
    """Measure packets, ranking and connections one after the other."""
    rounds = 150 if options.quick else 600
    flows = 150 if options.quick else 600
    packets = await asyncio.to_thread(measure_packets, options.seed, rounds)
    ranking = await asyncio.to_thread(measure_ranking, options.seed)
    connections = await asyncio.to_thread(measure_connections, flows)
    return {**packets, **ranking, **connections}
