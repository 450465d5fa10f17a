"""A server's start by a clock that stepped back makes its companion deny live flows."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import BackendServer, Caller, Fleet, now_ms, run  # noqa: E402

SERVICE = "198.18.0.1"
# The step of the time of day; the site files have up to this.
STEP_MS = 2_400
# When the companion of the new server is stopped and started again, after its start.
RESTART_AFTER_S = 1.2
# More than `contact_ms`: all machines are in touch again.
CALM_S = 5.0
FLOWS = 40


async def async_case(fleet: Fleet, has_trouble: bool) -> bool:
    """Return whether an open flow of a living server was reset."""
    fleet.publish(1, {SERVICE: "ledger"})
    for zone in ("zone-1", "zone-2"):
        await fleet.async_add_server("ledger", zone)
    for zone in ("zone-1", "zone-2"):
        await fleet.async_add_balancer(zone)
    fleet.end_first_start()
    await asyncio.sleep(1.5)
    # The machine's time of day is ahead while the server starts, and steps back then.
    born_ms = now_ms() + (STEP_MS if has_trouble else 0)
    new = await fleet.async_add_server("ledger", "zone-1", born_ms)
    began = fleet.record.now
    await asyncio.sleep(0.5)
    callers = await _async_open(fleet)
    at_new = [each for each in callers if new.has_open_flow(each.source)]
    fleet.record.write(f"{len(at_new)} of {len(callers)} flows are open at {new.name}")
    await asyncio.sleep(max(0.0, began + RESTART_AFTER_S - fleet.record.now))
    # Planned: machines of the system are stopped and started in turn.
    await fleet.async_restart(fleet.companions[-1], signal.SIGTERM)
    # Planned: a machine is added, and with it most flows move to another one.
    await fleet.async_add_balancer("zone-1")
    await asyncio.sleep(CALM_S)
    results = await asyncio.gather(
        *(each.async_request(f"second-{each.name}".encode()) for each in at_new)
    )
    cut = [
        each
        for each, result in zip(at_new, results, strict=True)
        if result == "reset" and each.reset is not None and not each.reset.sum
    ]
    fleet.record.write(f"{len(cut)} of {len(at_new)} flows of {new.name} were reset")
    _record_evidence(fleet, new, cut)
    if not at_new:
        raise RuntimeError("no flow was opened at the new server")
    return bool(cut)


async def _async_open(fleet: Fleet) -> list[Caller]:
    """Open flows and send a request on each."""
    callers = [fleet.caller(SERVICE) for _ in range(FLOWS)]
    opened = await asyncio.gather(*(each.async_open() for each in callers))
    callers = [each for each, is_open in zip(callers, opened, strict=True) if is_open]
    requests = (each.async_request(f"first-{each.name}".encode()) for each in callers)
    await asyncio.gather(*requests)
    return callers


def _record_evidence(fleet: Fleet, new: BackendServer, cut: list[Caller]) -> None:
    """Record that the server holds the flows, and what the companion believed."""
    held = sum(new.has_open_flow(each.source) for each in cut)
    fleet.record.write(f"{new.name} still holds {held} of the flows that were reset")
    for line in fleet.companions[-1].log_lines:
        if line["event"] == "knows_all_flows":
            fleet.record.write(f"log of the companion: {line}")


if __name__ == "__main__":
    run(async_case, FOLDER, 100)
