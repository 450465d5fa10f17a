"""The settings of a companion."""

from datetime import timedelta
from pathlib import Path
from typing import Any, Final

import attrs
import voluptuous as vol
from result import Result

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.settings import SettingsError
from pomelotrail_core.settings.process_settings import (
    PROCESS_SCHEMA,
    ProcessSettings,
    build_process_settings,
    read_settings,
)
from pomelotrail_core.settings.validators import duration, endpoint

_SCHEMA: Final = vol.Schema(
    {
        **PROCESS_SCHEMA,
        vol.Required("service"): vol.All(str, vol.Length(min=1)),
        vol.Required("backend_server"): endpoint,
        vol.Required("certificate"): str,
        vol.Required("private_key"): str,
        vol.Optional("drain_limit"): duration,
        vol.Optional("health_path"): vol.All(str, vol.Match(r"^/")),
    }
)


@attrs.frozen
class CompanionSettings:
    """The checked settings of a companion.

    ``backend_server`` is the address where the backend server listens for HTTP/1.1;
    certificate and private key are the PEM files for the TLS connections of callers.
    ``drain_limit`` is how long a shutdown waits for running requests; None
    waits for all of them. ``health_path`` is the path where the backend server
    reports whether it is warm; None if it doesn't.
    """

    process: ProcessSettings
    service: str
    backend_server: Endpoint
    certificate: Path
    private_key: Path
    drain_limit: timedelta | None
    health_path: str | None


def read_companion_settings(path: Path) -> Result[CompanionSettings, SettingsError]:
    """Read and check the settings file of a companion."""
    return read_settings(path, _SCHEMA, _build)


def _build(document: dict[str, Any]) -> CompanionSettings:
    """Build the typed settings."""
    return CompanionSettings(
        process=build_process_settings(document),
        service=document["service"],
        backend_server=document["backend_server"],
        certificate=Path(document["certificate"]),
        private_key=Path(document["private_key"]),
        drain_limit=document.get("drain_limit"),
        health_path=document.get("health_path"),
    )
