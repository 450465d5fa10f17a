"""Layer-4 proxy in front of a backend server; all its flows pass through it."""

from .addresses import ServerProxyAddresses
from .cold_budget import ColdBudget
from .doorway import ServerProxy
from .flow_book import ServerFlows

__all__ = ["ColdBudget", "ServerProxy", "ServerProxyAddresses", "ServerFlows"]
