"""Layer-4 proxy in front of a backend server; all its flows pass through it."""

from .addresses import DoorwayAddresses
from .cold_budget import ColdBudget
from .doorway import Doorway
from .flow_book import FlowBook

__all__ = ["ColdBudget", "Doorway", "DoorwayAddresses", "FlowBook"]
