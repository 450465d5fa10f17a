"""Stand-in for the platform's store that follows its protocol."""

from .publisher import PublishedRoute, Publisher
from .store import PlatformStore

__all__ = ["PlatformStore", "PublishedRoute", "Publisher"]
