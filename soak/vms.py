"""VMs of a soak's fleet."""

import attrs

from .endpoints import SoakServer
from .links import CompanionLink, StoreLink
from .processes import SoakProcess
from .schedule import get_zone


@attrs.define(eq=False)
class BackendVM:
    """VM of a backend server and its companion."""

    index: int
    process: SoakProcess
    server: SoakServer
    link: CompanionLink
    link_address: str
    server_id: str = ""
    started_ms: int = 0
    cold_since: float | None = None
    is_draining: bool = False

    @property
    def zone(self) -> str:
        """Return the availability zone."""
        return get_zone(self.index)


@attrs.define(eq=False)
class BalancerVM:
    """VM of a balancer."""

    process: SoakProcess
    store: StoreLink
    usable_from: float = 0.0
    usable_until: float | None = None
