"""Settings common to all processes of the fleet."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, TypeVar

import attrs
import voluptuous as vol
from result import Err, Ok, Result

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.logs import JSON_LOGS, TEXT_LOGS
from pomelotrail_core.routing.const import (
    FLEET_KEY_BYTES,
    MAX_KEY_GENERATION,
    TOKEN_KEY_BYTES,
)
from pomelotrail_core.routing.token import TokenKeys

from .errors import SettingsError
from .loader import load_settings
from .tls_files import TLS_SCHEMA, TlsFiles, build_tls_files
from .validators import endpoint, hex_key

SettingsT = TypeVar("SettingsT")

_TOKEN_KEY: Final = {
    vol.Required("generation"): vol.All(int, vol.Range(min=0, max=MAX_KEY_GENERATION)),
    vol.Required("key"): hex_key(TOKEN_KEY_BYTES),
}

PROCESS_SCHEMA: Final = {
    vol.Required("name"): vol.All(str, vol.Length(min=1)),
    vol.Required("zone"): vol.All(str, vol.Length(min=1)),
    vol.Required("packets"): endpoint,
    vol.Required("control"): endpoint,
    vol.Optional("metrics"): endpoint,
    vol.Required("configuration_service"): vol.All(str, vol.Match(r"^https?://")),
    vol.Optional("peers", default=[]): [endpoint],
    vol.Optional("tls"): TLS_SCHEMA,
    vol.Required("fleet_key"): hex_key(FLEET_KEY_BYTES),
    vol.Optional("accepted_fleet_keys", default=list): [hex_key(FLEET_KEY_BYTES)],
    vol.Required("token_keys"): vol.All([_TOKEN_KEY], vol.Length(min=1)),
    vol.Optional("log_level", default="info"): vol.In(
        ["debug", "info", "warning", "error"]
    ),
    vol.Optional("log_format", default=TEXT_LOGS): vol.In([TEXT_LOGS, JSON_LOGS]),
}


@attrs.frozen
class ProcessSettings:
    """Identity and addresses of this process, and its keys.

    ``packets`` is the UDP address for encapsulated packets, ``control`` the
    address of the grpclib server. The first token key seals new tokens; packets are
    authenticated with ``fleet_key`` and also verified with the accepted keys.
    ``peers`` are control addresses that a new process queries in addition to the
    configuration service.
    """

    name: str
    zone: str
    packets: Endpoint
    control: Endpoint
    metrics: Endpoint | None
    configuration_service: str
    fleet_key: bytes = attrs.field(repr=False)
    accepted_fleet_keys: tuple[bytes, ...] = attrs.field(repr=False)
    token_keys: TokenKeys = attrs.field(repr=False)
    log_level: str
    peers: tuple[Endpoint, ...] = ()
    tls: TlsFiles | None = None
    log_format: str = TEXT_LOGS


def read_settings(
    path: Path, schema: vol.Schema, build: Callable[[dict[str, Any]], SettingsT]
) -> Result[SettingsT, SettingsError]:
    """Load a settings file and build the typed settings of a program."""
    match load_settings(path, schema):
        case Err(error):
            return Err(error)
        case Ok(document):
            return Ok(build(document))


def build_process_settings(document: dict[str, Any]) -> ProcessSettings:
    """Build the common settings from a validated document."""
    keys = {entry["generation"]: entry["key"] for entry in document["token_keys"]}
    return ProcessSettings(
        name=document["name"],
        zone=document["zone"],
        packets=document["packets"],
        control=document["control"],
        metrics=document.get("metrics"),
        configuration_service=document["configuration_service"],
        fleet_key=document["fleet_key"],
        accepted_fleet_keys=tuple(document["accepted_fleet_keys"]),
        token_keys=TokenKeys(document["token_keys"][0]["generation"], keys),
        log_level=document["log_level"],
        peers=tuple(document["peers"]),
        tls=build_tls_files(document.get("tls")),
        log_format=document["log_format"],
    )
