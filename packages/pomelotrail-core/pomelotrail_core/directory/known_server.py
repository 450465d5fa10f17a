"""A backend server whose entry the directory has read."""

from datetime import timedelta

import msgspec

from .messages import BackendServer, ServerState


class KnownServer(msgspec.Struct):
    """A backend server with the time at which its entry was read or removed.

    ``grace_ends`` is when the grace period of a missing entry ends; None while the
    entry is present. ``unconfirmed_until`` is set for an entry that a restored store
    lists although its removal was read before: the server gets no new flows until then.
    ``older`` is the entry of a restored store that a later entry, read before,
    supersedes. It applies after ``older_from``, unless the server writes again.
    """

    server: BackendServer
    recorded_at: timedelta
    grace_ends: timedelta | None = None
    unconfirmed_until: timedelta = timedelta()
    older: BackendServer | None = None
    older_from: timedelta = timedelta()

    @property
    def is_ready(self) -> bool:
        """Return whether the entry is present and the server is not leaving."""
        return self.grace_ends is None and self.server.state is ServerState.READY
