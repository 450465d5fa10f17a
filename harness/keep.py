"""Keeps a demo fleet serving, so that a reader can operate it by hand."""

import asyncio
import shutil
import signal
from typing import Any, Final

import yaml

from harness.demo_callers import (
    ISSUE_CERTIFICATE,
    POST_ENTRY,
    desk_callers,
    ledger_callers,
)
from harness.fleet import Fleet
from harness.process import ROOT
from harness.specification import KESAR_TIDEWATER
from pomelotrail_core.command_line.const import TLS_DIRECTORY_VARIABLE
from pomelotrail_core.endpoint import Endpoint

DIRECTORY: Final = ROOT / ".demo"
DOCUMENT: Final = "document.yaml"
CALLERS: Final = "callers"
BURST: Final = "burst"
CALLER_SECONDS: Final = 86_400.0
BURST_SECONDS: Final = 3.0
BURST_CALLERS: Final = 40
WATCH_SECONDS: Final = 0.5


async def async_keep() -> int:
    """Start the fleet with callers and serve until a signal comes."""
    shutil.rmtree(DIRECTORY, ignore_errors=True)
    DIRECTORY.mkdir()
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    fleet = Fleet(KESAR_TIDEWATER, DIRECTORY)
    try:
        await fleet.async_start()
        text = yaml.safe_dump(fleet.document, sort_keys=False)
        (DIRECTORY / DOCUMENT).write_text(text)
        _write_burst(fleet)
        fleet.stand_in(CALLERS, "caller", _caller_settings(fleet))
        await fleet.processes[CALLERS].async_start()
        print(_instructions(fleet), flush=True)
        watching = asyncio.create_task(_async_watch_balancers(fleet))
        await stop.wait()
        watching.cancel()
        print("stopping")
    finally:
        await fleet.async_stop()
    return 0


async def _async_watch_balancers(fleet: Fleet) -> None:
    """Let the fabric notice which balancers die and come back."""
    known = [place.name for place in fleet.balancers]
    while True:
        await asyncio.sleep(WATCH_SECONDS)
        live = [
            place.name
            for place in fleet.balancers
            if await _async_is_listening(place.control)
        ]
        if live != known:
            print(f"the fabric sprays over {', '.join(live)} now", flush=True)
            await fleet.async_set_members(live)
            known = live


async def _async_is_listening(endpoint: Endpoint) -> bool:
    """Tell whether a process accepts connections at its control address."""
    try:
        _, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    except OSError:
        return False
    writer.close()
    return True


def _caller_settings(fleet: Fleet) -> dict[str, Any]:
    """Return callers that keep boards open and send a few requests."""
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
    """Write the settings of a burst of callers that the reader can start."""
    settings = {
        "name": BURST,
        "seconds": BURST_SECONDS,
        "pause_seconds": 0.0,
        "services": [desk_callers(fleet, BURST_CALLERS, [ISSUE_CERTIFICATE])],
    }
    path = DIRECTORY / f"{BURST}.yaml"
    path.write_text(yaml.safe_dump(settings, sort_keys=False))


def _instructions(fleet: Fleet) -> str:
    """Return what the reader can do now."""
    document = f"{DIRECTORY.name}/{DOCUMENT}"
    program = ".venv/bin/pomelotrail"
    lines = [
        _process_table(fleet),
        "",
        f"The configuration document is {document}. Try, from another shell:",
        f"  export {TLS_DIRECTORY_VARIABLE}={DIRECTORY.name}/tls",
        f"  {program} status --document {document}",
        f"  {program} zone out veraval {document} --output {document}",
        f"  script/publish {document}",
        f"  {program} timeline --document {document} --last 1min",
        f"  {program} zone in veraval {document} --output {document}",
        f"  script/call {DIRECTORY.name}/{BURST}.yaml      # a burst of callers",
        "  curl http://METRICS/metrics",
        "  kill -9 PID                       # of a balancer",
        "  curl -X POST http://BACKEND-SERVER/admin/cold   # turns it cold",
        "Ctrl-C stops the fleet.",
    ]
    return "\n".join(lines)


def _process_table(fleet: Fleet) -> str:
    """Return the processes with their addresses."""
    lines = [
        f"{'PROCESS':<20}{'ZONE':<12}{'PID':<9}{'CONTROL':<18}{'METRICS':<18}"
        "BACKEND-SERVER"
    ]
    backend_servers = {
        place.name: str(place.backend_server) for place in fleet.companions
    }
    for place in [*fleet.balancers, *fleet.companions]:
        pid = fleet.processes[place.name].pid
        backend_server = backend_servers.get(place.name, "")
        lines.append(
            f"{place.name:<20}{place.zone:<12}{pid:<9}{place.control!s:<18}"
            f"{place.metrics!s:<18}{backend_server}".rstrip()
        )
    return "\n".join(lines)
