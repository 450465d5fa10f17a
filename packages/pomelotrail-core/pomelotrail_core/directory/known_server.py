"""A backend server whose entry the directory has read."""

from datetime import timedelta

import msgspec

from .messages import BackendServer, ServerState


class KnownServer(msgspec.Struct):
    """A backend server with the time at which its entry was read or removed.

    ``grace_ends`` is when the grace period of a missing entry ends; None while the
    entry is present.
    """

    server: BackendServer
    recorded_at: timedelta
    grace_ends: timedelta | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether the entry is present and the server is not leaving."""
        return self.grace_ends is None and self.server.state is ServerState.READY
