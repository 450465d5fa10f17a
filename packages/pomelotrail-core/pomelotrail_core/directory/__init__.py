"""Backend servers, routes and out-of-service zones published by the platform."""

from .completeness import CompletenessCheck
from .directory import Directory
from .errors import SourceError, SourceProblem
from .follower import DirectoryFollower
from .messages import (
    BackendServer,
    ConfigurationItem,
    DirectoryItem,
    Listing,
    PublishedConfiguration,
    RemovedItem,
    Route,
    ServerItem,
    ServerState,
    ServiceSettings,
    ServiceShare,
    UnusableItem,
    ZoneItem,
)
from .revision import Revision
from .source import DirectorySource

__all__ = [
    "BackendServer",
    "CompletenessCheck",
    "ConfigurationItem",
    "Directory",
    "DirectoryFollower",
    "DirectoryItem",
    "DirectorySource",
    "Listing",
    "PublishedConfiguration",
    "RemovedItem",
    "Revision",
    "Route",
    "ServerItem",
    "ServerState",
    "ServiceShare",
    "ServiceSettings",
    "SourceError",
    "SourceProblem",
    "UnusableItem",
    "ZoneItem",
]
