"""Layer-4 proxy in front of a backend server; all its flows pass through it."""

from .addresses import ServerProxyAddresses
from .cold_budget import ColdBudget
from .server_flows import ServerFlows
from .server_proxy import ServerProxy

__all__ = ["ColdBudget", "ServerProxy", "ServerProxyAddresses", "ServerFlows"]
