"""A flow that pauses for less than the idle time-out, which was raised, is reset."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import ConsumerFlow, Fleet, play  # noqa: E402

# TROUBLE=0 leaves the disruption out.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

FIRST_IDLE_MS, RAISED_IDLE_MS = 15_000, 45_000
PAUSE_S = 25.0


async def async_stay_busy(fleet: Fleet, flow: ConsumerFlow, name: str) -> int:
    """Send a request each second on a long flow; return how many are answered."""
    answered = 0
    for number in range(int(PAUSE_S) + 2):
        result = await flow.async_request(f"{name}-{number}")
        answered += result.startswith(f"{name}-{number} ")
        await asyncio.sleep(1.0)
    return answered


async def async_case(fleet: Fleet) -> bool:
    """Open long flows, raise the time-out, and use one of them after a pause."""
    flows = []
    for number in range(4):
        flow, result = await fleet.async_open("board")
        if result != "open":
            raise RuntimeError(f"flow {number} was not opened: {result}")
        await flow.async_request(f"first-{number}")
        flows.append(flow)
    busy = [
        asyncio.create_task(async_stay_busy(fleet, flow, f"busy-{number}"))
        for number, flow in enumerate(flows[1:])
    ]
    paused, paused_at = flows[0], time.monotonic()
    await asyncio.sleep(2.0)
    if HAS_TROUBLE:
        fleet.idle_timeout_ms = RAISED_IDLE_MS
        fleet.publish_configuration()
    if os.environ.get("NEW_FLOWS"):
        # Not part of the case: with new flows, the companions hear of the time-out.
        for number in range(8):
            await fleet.async_ask("board", f"new-{number}")
    await asyncio.sleep(PAUSE_S)
    idle_s = time.monotonic() - paused_at
    key = next(
        key
        for endpoint in fleet.endpoints
        for key in endpoint.flows
        if fleet.text(key) == paused.text
    )
    holder = next(each for each in fleet.endpoints if key in each.flows)
    fleet.record.write(
        f"{paused.text} has been idle for {idle_s:.1f} s; {holder.name} holds it, "
        f"open: {holder.flows[key].is_open}; "
        f"idle_timeout_ms is {fleet.idle_timeout_ms}"
    )
    await paused.async_request("after-pause")
    answered = await asyncio.gather(*busy)
    fleet.record.write(f"requests answered on the busy flows: {answered}")
    was_reset = any(is_own for _, is_own in paused.resets)
    is_excused = idle_s * 1000 > fleet.idle_timeout_ms
    fleet.record.write(f"reset by the system: {was_reset}; excused: {is_excused}")
    return was_reset and not is_excused


play(
    lambda: Fleet(
        FOLDER / "record.txt",
        {"ledger": 2, "desk": 1},
        {"board": "ledger"},
        idle_timeout_ms=FIRST_IDLE_MS,
    ),
    async_case,
)
