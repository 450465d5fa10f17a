"""Settings of a balancer."""

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
from pomelotrail_core.settings.validators import endpoint

_SCHEMA: Final = vol.Schema(
    {
        **PROCESS_SCHEMA,
        vol.Required("listen"): vol.All(
            [{vol.Required("service"): str, vol.Required("address"): endpoint}],
            vol.Length(min=1),
        ),
    }
)


@attrs.frozen
class ListenAddress:
    """Address on which the fabric delivers the packets of a service."""

    service: str
    address: Endpoint


@attrs.frozen
class BalancerSettings:
    """Validated settings of a balancer."""

    process: ProcessSettings
    listen: tuple[ListenAddress, ...]


def read_balancer_settings(path: Path) -> Result[BalancerSettings, SettingsError]:
    """Read and validate the settings file of a balancer."""
    return read_settings(path, _SCHEMA, _build)


def _build(document: dict[str, Any]) -> BalancerSettings:
    """Build the typed settings."""
    return BalancerSettings(
        process=build_process_settings(document),
        listen=tuple(ListenAddress(**entry) for entry in document["listen"]),
    )
