"""The demo: a whole fleet on loopback that loses a balancer on the way."""

import argparse
import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import Any, Final

from harness.fleet import Fleet
from harness.keep import async_keep
from harness.process import BINARIES
from harness.specification import KESAR_TIDEWATER

CALLER_SECONDS: Final = 6.0
KILL_AFTER_SECONDS: Final = 2.0
FABRIC_NOTICES_SECONDS: Final = 1.0
ARCHIVE_BYTES: Final = 1_000_000
UPLOAD_BYTES: Final = 500_000
TIMELINE_LINES: Final = 25

EXPECTED: Final = (
    "post-entry",
    "bulk-upload",
    "issue-certificate",
    "fetch-archive",
    "board kept open",
)


def main() -> None:
    """Run the demo and exit with 0 if every class was served."""
    parser = argparse.ArgumentParser(
        prog="script/demo", description="Show a whole fleet on loopback."
    )
    parser.add_argument(
        "--keep",
        action="store_true",
        help="keep serving until Ctrl-C, and say how to operate the fleet by hand",
    )
    arguments = parser.parse_args()
    run = async_keep if arguments.keep else _async_demo
    sys.exit(asyncio.run(run()))


async def _async_demo() -> int:
    """Start the fleet, serve callers, kill a balancer, and show what happened."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(KESAR_TIDEWATER, Path(directory))
        try:
            await fleet.async_start()
            real = len(fleet.companions) + len(fleet.balancers)
            print(f"started {real} processes of pomelotrail and the stand-ins")
            served = await _async_serve(fleet)
            await _async_show_timeline(fleet)
        finally:
            await fleet.async_stop()
    return _judge(served)


async def _async_serve(fleet: Fleet) -> dict[str, int]:
    """Run the callers, and kill a balancer while they are served."""
    fleet.stand_in("callers", "caller", _caller_settings(fleet))
    callers = fleet.processes["callers"]
    await callers.async_start()
    await asyncio.sleep(KILL_AFTER_SECONDS)
    victim = fleet.balancers[0].name
    await fleet.processes[victim].async_kill()
    print(f"killed {victim}")
    await asyncio.sleep(FABRIC_NOTICES_SECONDS)
    await fleet.async_set_members([place.name for place in fleet.balancers[1:]])
    print("the fabric has noticed and sprays over the others")
    output = await callers.async_read_output()
    served = json.loads(output.splitlines()[-1])
    for name, count in served.items():
        print(f"served  {name}: {count}")
    return served


def _caller_settings(fleet: Fleet) -> dict[str, Any]:
    """Return what the callers of both services do."""
    ledger = str(fleet.service_addresses["stock-ledger"])
    desk = str(fleet.service_addresses["certificate-desk"])
    return {
        "seconds": CALLER_SECONDS,
        "pause_seconds": 0.2,
        "services": [
            {
                "address": ledger,
                "callers": 6,
                "board": "/board",
                "requests": [
                    {
                        "name": "post-entry",
                        "method": "POST",
                        "path": "/entries",
                        "body_bytes": 300,
                    },
                    {
                        "name": "bulk-upload",
                        "method": "POST",
                        "path": "/uploads",
                        "body_bytes": UPLOAD_BYTES,
                    },
                ],
            },
            {
                "address": desk,
                "callers": 3,
                "requests": [
                    {
                        "name": "issue-certificate",
                        "method": "POST",
                        "path": "/certificates",
                        "body_bytes": 300,
                    },
                    {
                        "name": "fetch-archive",
                        "method": "GET",
                        "path": f"/archive?bytes={ARCHIVE_BYTES}",
                        "answer_bytes": ARCHIVE_BYTES,
                    },
                ],
            },
        ],
    }


async def _async_show_timeline(fleet: Fleet) -> None:
    """Print the end of the time line by the operators' own command."""
    program = str(BINARIES / "pomelotrail")
    addresses = [str(endpoint) for endpoint in fleet.control_addresses]
    process = await asyncio.create_subprocess_exec(
        program,
        "timeline",
        *addresses,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    lines = output.decode().splitlines()
    print(f"time line: {len(lines)} events, the last {TIMELINE_LINES}:")
    for line in lines[-TIMELINE_LINES:]:
        print(f"  {line}")
    for line in errors.decode().splitlines():
        print(f"  {line}")


def _judge(served: dict[str, int]) -> int:
    """Return the exit code: 0 if every class was served and no flow broke."""
    missing = [name for name in EXPECTED if not served.get(name)]
    broken = served.get("broken flows", 0)
    if missing or broken:
        print(f"demo failed: not served {missing}, broken flows {broken}")
        return 1
    print("demo passed: every class was served and no flow broke")
    return 0


if __name__ == "__main__":
    main()
