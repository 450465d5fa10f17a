"""An entry that can't be read ends all balancers, again and again."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import Fleet, play  # noqa: E402

# TROUBLE=0 leaves the disruption out.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# A value that isn't valid JSON: the brackets are never closed. The store takes any
# bytes, at most value_bytes (1,048,576).
UNREADABLE = b'{"service": "ledger", "tags": ' + b"[" * 2_000
ASKED_FOR_S = 20.0


async def async_case(fleet: Fleet) -> bool:
    """Serve, let another writer write an entry, and serve on."""
    served_before = 0
    for number in range(20):
        result, _ = await fleet.async_ask("board", f"before-{number}")
        served_before += result.startswith("before-")
    fleet.record.write(f"before: {served_before} of 20 requests are served")
    if served_before < 20:
        raise RuntimeError("requests fail without the disruption")
    if HAS_TROUBLE:
        fleet.store.put("servers/inventory-7", UNREADABLE)
        fleet.record.write("another writer writes servers/inventory-7")
    loop = asyncio.get_running_loop()
    ends = loop.time() + ASKED_FOR_S
    sent = served = 0
    while loop.time() < ends:
        result, _ = await fleet.async_ask("board", f"after-{sent}")
        sent += 1
        served += result.startswith("after-")
        await asyncio.sleep(0.1)
    counts = {each.name: len(each.own_ends) for each in fleet.machines}
    fleet.record.write(f"after: {served} of {sent} requests are served")
    fleet.record.write(f"processes that ended by themselves: {counts}")
    # Fault: on a tenth of the machines, two at least, three times in the day.
    ended = [name for name, count in counts.items() if count >= 3]
    return len(ended) >= max(2, len(counts) / 10)


play(
    lambda: Fleet(FOLDER / "record.txt", {"ledger": 2, "desk": 1}, {"board": "ledger"}),
    async_case,
)
