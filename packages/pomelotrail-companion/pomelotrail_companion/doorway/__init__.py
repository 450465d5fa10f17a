"""The only way by which flows reach a backend server."""

from .addresses import DoorwayAddresses
from .cold_budget import ColdBudget
from .doorway import Doorway
from .flow_book import FlowBook

__all__ = ["ColdBudget", "Doorway", "DoorwayAddresses", "FlowBook"]
