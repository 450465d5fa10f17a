"""Demo: a whole fleet on loopback in which a balancer is killed."""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

from harness.demo_callers import (
    ISSUE_CERTIFICATE,
    POST_ENTRY,
    desk_callers,
    ledger_callers,
    upload,
)
from harness.fleet import Fleet
from harness.interactive_demo import async_serve_until_signal
from harness.process import BINARIES
from harness.specification import KESAR_TIDEWATER

CALLER_SECONDS: Final = 6.0
KILL_AFTER_SECONDS: Final = 2.0
FABRIC_DETECTION_SECONDS: Final = 1.0
ARCHIVE_BYTES: Final = 1_000_000
UPLOAD_BYTES: Final = 500_000
TIMELINE_LINES: Final = 12

EXPECTED_KINDS: Final = (
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
    run = async_serve_until_signal if arguments.keep else _async_demo
    try:
        code = asyncio.run(run())
    except asyncio.CancelledError:
        print("demo stopped by a signal")
        code = 1
    sys.exit(code)


async def _async_demo() -> int:
    """Start the fleet, serve callers, kill a balancer, and show what happened."""
    demo = asyncio.current_task()
    assert demo is not None
    # The programs of the fleet ignore SIGHUP, so a closed terminal must stop it.
    for number in (signal.SIGTERM, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, demo.cancel)
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
    return _exit_code(served)


async def _async_serve(fleet: Fleet) -> dict[str, int]:
    """Run the callers and kill a balancer while they send requests."""
    fleet.add_stand_in("callers", "caller", _caller_settings(fleet))
    callers = fleet.processes["callers"]
    await callers.async_start()
    await asyncio.sleep(KILL_AFTER_SECONDS)
    victim = fleet.balancers[0].name
    await fleet.processes[victim].async_kill()
    print(f"killed {victim}")
    await asyncio.sleep(FABRIC_DETECTION_SECONDS)
    await fleet.async_set_members([balancer.name for balancer in fleet.balancers[1:]])
    print("the fabric has noticed and sprays over the others")
    output = await callers.async_read_output()
    served = json.loads(output.splitlines()[-1])
    for name, count in served.items():
        print(f"served  {name}: {count}")
    return served


def _caller_settings(fleet: Fleet) -> dict[str, Any]:
    """Return the settings of the callers of both services."""
    archive = {
        "name": "fetch-archive",
        "method": "GET",
        "path": f"/archive?bytes={ARCHIVE_BYTES}",
        "answer_bytes": ARCHIVE_BYTES,
    }
    ledger_requests = [POST_ENTRY, upload(UPLOAD_BYTES)]
    return {
        "seconds": CALLER_SECONDS,
        "pause_seconds": 0.2,
        "services": [
            ledger_callers(fleet, 6, ledger_requests),
            desk_callers(fleet, 3, [ISSUE_CERTIFICATE, archive]),
        ],
    }


async def _async_show_timeline(fleet: Fleet) -> None:
    """Print the end of the timeline and the explanation of one request.

    Both come from the command line that operators use.
    """
    addresses = [str(endpoint) for endpoint in fleet.control_addresses]
    lines, errors = await _async_run_command("timeline", *addresses)
    events = [line for line in lines if not line.startswith("#")]
    print(f"time line: {len(events)} events, the last {TIMELINE_LINES}:")
    _print_indented(events[-TIMELINE_LINES:])
    _print_indented(errors)
    answered = [line for line in events if "request answered" in line]
    if not answered:
        return
    request = answered[-1].split("request answered")[1].split()[0]
    explanation, _ = await _async_run_command("explain", request, *addresses)
    print(f"pomelotrail explain {request}:")
    _print_indented(explanation)


async def _async_run_command(*arguments: str) -> tuple[list[str], list[str]]:
    """Run an operator command and return its output and error lines."""
    process = await asyncio.create_subprocess_exec(
        str(BINARIES / "pomelotrail"),
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return output.decode().splitlines(), errors.decode().splitlines()


def _print_indented(lines: Sequence[str]) -> None:
    """Print lines indented below the line above."""
    for line in lines:
        print(f"  {line}")


def _exit_code(served: dict[str, int]) -> int:
    """Return the exit code: 0 if every class was served and no flow broke."""
    missing = [name for name in EXPECTED_KINDS if not served.get(name)]
    broken = served.get("broken flows", 0)
    if missing or broken:
        print(f"demo failed: not served {missing}, broken flows {broken}")
        return 1
    print("demo passed: every class was served and no flow broke")
    return 0


if __name__ == "__main__":
    main()
