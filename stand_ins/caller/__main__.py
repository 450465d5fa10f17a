"""Run callers: ``python -m stand_ins.caller SETTINGS``.

Every caller keeps a board open and sends the listed requests in turn until the
given time has elapsed; the last line printed is a summary in JSON. With
``reconnect`` in the settings, a caller whose flow was lost opens another.
"""

import asyncio
import json
import sys
from collections import Counter

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.process import announce_ready
from stand_ins.caller.client import Caller, FlowLostError, async_connect
from stand_ins.serving import read_yaml

IDEMPOTENCY_KEY_HEADER = "idempotency-key"


async def _async_send(caller: Caller, request: dict, served: Counter[str]) -> None:
    """Send one request; retry with the ticket in a 428 answer."""
    body = b"x" * request.get("body_bytes", 0)
    headers: dict[str, str] = {}
    for _ in range(2):
        answer = await caller.async_request(
            request["method"], request["path"], body, headers
        )
        if answer.status != 428:
            break
        headers[IDEMPOTENCY_KEY_HEADER] = answer.headers[IDEMPOTENCY_KEY_HEADER]
    expected = request.get("answer_bytes", 1)
    is_served = answer.status == 200 and len(answer.body) >= expected
    served[request["name"] if is_served else f"status {answer.status}"] += 1


async def _async_run_caller(
    settings: dict, service: dict, served: Counter[str]
) -> None:
    """Run one caller of a service."""
    loop = asyncio.get_running_loop()
    end = loop.time() + settings["seconds"]
    while loop.time() < end:
        try:
            await _async_send_on_flow(settings, service, served, end)
        except (FlowLostError, ConnectionError):
            served["broken flows"] += 1
            if not settings.get("reconnect", False):
                return


async def _async_send_on_flow(
    settings: dict, service: dict, served: Counter[str], end: float
) -> None:
    """Send the requests on one flow until the end time."""
    address = Endpoint.parse(service["address"]).unwrap()
    loop = asyncio.get_running_loop()
    async with async_connect(address.host, address.port) as caller:
        board = (
            caller.start_request("GET", service["board"])
            if "board" in service
            else None
        )
        while loop.time() < end:
            for request in service["requests"]:
                await _async_send(caller, request, served)
            await asyncio.sleep(settings["pause_seconds"])
        if board is not None:
            received = len(board.body)
            await board.async_wait_bytes(received + 1)
            served["board kept open"] += 1


async def _async_run_callers(settings: dict) -> None:
    """Run all callers and print the summary."""
    served: Counter[str] = Counter()
    announce_ready(settings["name"])
    await asyncio.gather(
        *(
            _async_run_caller(settings, service, served)
            for service in settings["services"]
            for _ in range(service["callers"])
        )
    )
    print(json.dumps(dict(sorted(served.items()))), flush=True)


if __name__ == "__main__":
    asyncio.run(_async_run_callers(read_yaml(sys.argv[1])))
