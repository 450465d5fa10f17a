"""A stand-in of the platform's store, as its protocol describes it."""

from .publisher import PublishedRoute, Publisher
from .store import PlatformStore

__all__ = ["PlatformStore", "PublishedRoute", "Publisher"]
