"""Publishes a document to the stand-in for the configuration service.

In production the platform publishes documents; balancers and companions only read
them. This command takes its place in the demo::

    script/publish .demo/document.yaml
"""

import argparse
import asyncio
import sys
from pathlib import Path

import aiohttp
import yaml
from result import Err, Ok

from harness.interactive_demo import DEMO_DIRECTORY
from pomelotrail_balancer.operators.document_file import read_document
from pomelotrail_core.command_line import argument_endpoint
from pomelotrail_core.configuration.const import VERSION_HEADER
from pomelotrail_core.endpoint import Endpoint


def main() -> None:
    """Check a document, publish it and exit with 0 on success."""
    parser = argparse.ArgumentParser(
        prog="script/publish", description="Publish a document in the demo."
    )
    parser.add_argument("file", type=Path, help="document (YAML)")
    parser.add_argument(
        "--service",
        type=argument_endpoint,
        help="address of the stand-in; that of script/demo --keep if left out",
    )
    arguments = parser.parse_args()
    endpoint = arguments.service or _demo_service()
    if endpoint is None:
        sys.exit("no demo is running; start script/demo --keep, or give --service")
    match read_document(arguments.file):
        case Err(error):
            sys.exit(str(error))
        case Ok(document):
            version = document.configuration.version
    sys.exit(asyncio.run(_async_publish(document.text, version, endpoint)))


def _demo_service() -> Endpoint | None:
    """Return the address of the running demo's service, or None without a demo."""
    path = DEMO_DIRECTORY / "configuration-service.yaml"
    if not path.exists():
        return None
    return Endpoint.parse(yaml.safe_load(path.read_text())["address"]).unwrap()


async def _async_publish(text: str, version: int, endpoint: Endpoint) -> int:
    """Publish a document and return the exit code."""
    url = f"http://{endpoint}/admin/document"
    try:
        async with aiohttp.ClientSession() as session:
            await session.put(
                url,
                data=text,
                headers={VERSION_HEADER: str(version)},
                raise_for_status=True,
            )
    except aiohttp.ClientError as error:
        print(f"{endpoint}: {error}; check that the demo still runs", file=sys.stderr)
        return 1
    print(f"published version {version}")
    return 0


if __name__ == "__main__":
    main()
