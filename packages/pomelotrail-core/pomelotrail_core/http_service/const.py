"""Constants of the HTTP service."""

import errno
from datetime import timedelta
from typing import Final

# Requests have no body and few headers.
READ_BYTES: Final = 8_192
# Closes connections of idle clients; probes arrive twice per second.
IDLE_TIMEOUT: Final = timedelta(seconds=15)
MAX_CONNECTIONS: Final = 64
# A client that pipelines this many requests is answered and then disconnected.
MAX_PENDING_REQUESTS: Final = 16
LISTEN_BACKLOG: Final = 100
# An address that can't be used is tried again after this delay, and after twice as
# long each time. A predecessor that stops frees its readiness address in seconds, and
# routers probe it twice per second.
RETRY_DELAY_FIRST: Final = timedelta(milliseconds=100)
RETRY_DELAY_LAST: Final = timedelta(seconds=5)
# Accepting fails with these while descriptors or memory are used up; the listening
# socket is kept, and with it the connections that wait.
TEMPORARY_ACCEPT_ERRORS: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
# Probes and scrapes have some hundred bytes.
MAX_REQUEST_BYTES: Final = 65_536
