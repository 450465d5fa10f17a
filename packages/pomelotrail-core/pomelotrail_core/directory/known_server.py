"""A backend server of which the directory has read an entry."""

from datetime import timedelta

import msgspec

from .messages import BackendServer, ServerState


class KnownServer(msgspec.Struct):
    """A backend server, when its entry was seen, and when that lapsed."""

    server: BackendServer
    seen: timedelta
    lapses: timedelta | None = None

    @property
    def is_ready(self) -> bool:
        """Tell whether the entry is there and didn't say that the server leaves."""
        return self.lapses is None and self.server.state is ServerState.READY
