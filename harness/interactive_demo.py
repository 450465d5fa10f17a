"""Keeps a demo fleet running, so that a user can operate it by hand."""

import asyncio
import signal
import sys
from typing import Any, Final

import yaml

from harness.demo_callers import (
    ISSUE_CERTIFICATE,
    POST_ENTRY,
    desk_callers,
    ledger_callers,
)
from harness.demo_directory import ClaimedDirectory, DirectoryInUse
from harness.fleet import Fleet
from harness.process import ROOT
from harness.specification import KESAR_TIDEWATER
from pomelotrail_core.command_line.const import TLS_DIRECTORY_VARIABLE
from pomelotrail_core.endpoint import Endpoint

DEMO_DIRECTORY: Final = ROOT / ".demo"
DOCUMENT_FILE: Final = "document.yaml"
CALLERS: Final = "callers"
BURST: Final = "burst"
CALLER_SECONDS: Final = 86_400.0
BURST_SECONDS: Final = 3.0
BURST_CALLER_COUNT: Final = 40
WATCH_INTERVAL_SECONDS: Final = 0.5


async def async_serve_until_signal() -> int:
    """Start the fleet with callers and serve until SIGINT or SIGTERM."""
    try:
        claimed = ClaimedDirectory(DEMO_DIRECTORY)
    except DirectoryInUse as error:
        print(error, file=sys.stderr)
        return 1
    stop = asyncio.Event()
    # The programs of the fleet ignore SIGHUP, so a closed terminal must stop it.
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    fleet = Fleet(KESAR_TIDEWATER, DEMO_DIRECTORY)
    try:
        await fleet.async_start()
        text = yaml.safe_dump(fleet.document, sort_keys=False)
        (DEMO_DIRECTORY / DOCUMENT_FILE).write_text(text)
        _write_burst(fleet)
        fleet.add_stand_in(CALLERS, "caller", _caller_settings(fleet))
        await fleet.processes[CALLERS].async_start()
        print(_instructions(fleet), flush=True)
        watching = asyncio.create_task(_async_watch_balancers(fleet))
        await stop.wait()
        watching.cancel()
        print("stopping")
    finally:
        await fleet.async_stop()
        claimed.release()
    return 0


async def _async_watch_balancers(fleet: Fleet) -> None:
    """Keep the fabric's members equal to the balancers that accept connections."""
    known = [balancer.name for balancer in fleet.balancers]
    while True:
        await asyncio.sleep(WATCH_INTERVAL_SECONDS)
        live = [
            balancer.name
            for balancer in fleet.balancers
            if await _async_is_listening(balancer.control)
        ]
        if live != known:
            print(f"the fabric sprays over {', '.join(live)} now", flush=True)
            await fleet.async_set_members(live)
            known = live


async def _async_is_listening(endpoint: Endpoint) -> bool:
    """Return whether a process accepts connections at its control address."""
    try:
        _, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    except OSError:
        return False
    writer.close()
    return True


def _caller_settings(fleet: Fleet) -> dict[str, Any]:
    """Return settings for callers that keep boards open and send a few requests."""
    return {
        "seconds": CALLER_SECONDS,
        "pause_seconds": 1.0,
        "reconnect": True,
        "services": [
            ledger_callers(fleet, 8, [POST_ENTRY]),
            desk_callers(fleet, 4, [ISSUE_CERTIFICATE]),
        ],
    }


def _write_burst(fleet: Fleet) -> None:
    """Write the settings of a burst of callers that the user can start."""
    settings = {
        "name": BURST,
        "seconds": BURST_SECONDS,
        "pause_seconds": 0.0,
        "services": [desk_callers(fleet, BURST_CALLER_COUNT, [ISSUE_CERTIFICATE])],
    }
    path = DEMO_DIRECTORY / f"{BURST}.yaml"
    path.write_text(yaml.safe_dump(settings, sort_keys=False))


def _instructions(fleet: Fleet) -> str:
    """Return the instructions that are printed after the start."""
    document = f"{DEMO_DIRECTORY.name}/{DOCUMENT_FILE}"
    program = ".venv/bin/pomelotrail"
    lines = [
        _process_table(fleet),
        "",
        f"The configuration document is {document}. Try, from another shell:",
        f"  export {TLS_DIRECTORY_VARIABLE}={DEMO_DIRECTORY.name}/tls",
        f"  {program} status --document {document}",
        f"  {program} zone out veraval {document} --output {document}",
        f"  script/publish {document}",
        f"  {program} timeline --document {document} --last 1min",
        f"  {program} zone in veraval {document} --output {document}",
        f"  script/call {DEMO_DIRECTORY.name}/{BURST}.yaml      # a burst of callers",
        "  curl http://METRICS/metrics",
        "  kill -9 PID                       # of a balancer",
        "  curl -X POST http://BACKEND-SERVER/admin/cold   # turns it cold",
        "Ctrl-C stops the fleet.",
    ]
    return "\n".join(lines)


def _process_table(fleet: Fleet) -> str:
    """Return a table of the processes with their addresses."""
    lines = [
        f"{'PROCESS':<20}{'ZONE':<12}{'PID':<9}{'CONTROL':<18}{'METRICS':<18}"
        "BACKEND-SERVER"
    ]
    backend_servers = {
        companion.name: str(companion.backend_server) for companion in fleet.companions
    }
    for planned in [*fleet.balancers, *fleet.companions]:
        pid = fleet.processes[planned.name].pid
        backend_server = backend_servers.get(planned.name, "")
        lines.append(
            f"{planned.name:<20}{planned.zone:<12}{pid:<9}{planned.control!s:<18}"
            f"{planned.metrics!s:<18}{backend_server}".rstrip()
        )
    return "\n".join(lines)
