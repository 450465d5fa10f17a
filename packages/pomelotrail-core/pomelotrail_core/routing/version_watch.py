"""Notices peers that have a higher configuration version."""

from collections.abc import Callable

from pomelotrail_core.endpoint import Endpoint

NewerVersionSeen = Callable[[int, Endpoint], None]
OwnVersion = Callable[[], int]


class VersionWatch:
    """Tells a listener once of each higher version that packets carry.

    Every packet between processes carries the version that its sender has in
    force, so a process that missed a change learns of it from its traffic.
    The listener gets the version and the packet address of the sender.
    """

    def __init__(self, own: OwnVersion, listener: NewerVersionSeen) -> None:
        """Compare with ``own`` and tell ``listener``."""
        self._own = own
        self._listener = listener
        self._highest = 0

    def see(self, version: int, sender: tuple[str, int]) -> None:
        """Take note of the version in a packet that the fleet key opened."""
        if version <= self._highest:
            return
        self._highest = version
        if version > self._own():
            self._listener(version, Endpoint(*sender))
