"""Detection of peers that have a newer configuration version."""

from collections.abc import Callable

from pomelotrail_core.endpoint import Endpoint

NewerVersionListener = Callable[[int, Endpoint], None]
VersionGetter = Callable[[], int]


class VersionWatch:
    """Reports each newer version that packets carry to a listener, once.

    Every packet between processes carries the version that its sender has in
    force, so a process that missed a change detects it from its traffic.
    The listener receives the version and the packet address of the sender.
    """

    def __init__(self, own: VersionGetter, listener: NewerVersionListener) -> None:
        """Compare with ``own`` and report to ``listener``."""
        self._own_version = own
        self._listener = listener
        self._highest_seen = 0

    def observe(self, version: int, sender: tuple[str, int]) -> None:
        """Process the version in a packet authenticated with the fleet key."""
        if version <= self._highest_seen:
            return
        self._highest_seen = version
        if version > self._own_version():
            self._listener(version, Endpoint(*sender))
