"""Constants of the doorway slice."""

from datetime import timedelta
from typing import Final

MILLISECOND: Final = timedelta(milliseconds=1)
# Callers give up an opening after 1.4 s.
OPENING_TIMEOUT: Final = timedelta(milliseconds=1_500)
# Between zones, packets need 3 ms each way; callers send their request with the
# handshake's last packet, or repeat a lost one after 200 ms.
FIRST_REQUEST_TIMEOUT: Final = timedelta(milliseconds=250)
# A backend server accepts a flow in 0.3 ms; only a slow or dead one needs more.
SERVER_ANSWER_TIMEOUT: Final = timedelta(milliseconds=60)
# The longest timeout of a request is 12 s; later its answer is worth nothing.
REQUEST_TIMEOUT: Final = timedelta(seconds=12)
# Longer than any work; a slot whose request takes longer counts as free.
RUNNING_TIMEOUT: Final = timedelta(seconds=2)
# The longest work is 480 ms; a server that is slowed down by half still answers.
OVERDUE: Final = timedelta(seconds=1)
# A server that fails now and then fails again within seconds; one that recovered
# should not wait long for new flows.
UNANSWERED_MEMORY: Final = timedelta(seconds=5)
# Enough that a server of two slots declines flows that ask for a free one.
UNANSWERED_LOAD: Final = 2
# A connection on the same VM is accepted or refused in less than a millisecond.
DEPARTURE_TIMEOUT: Final = timedelta(milliseconds=200)
# A flow may be discarded after an idle time of 15 s, set by the operators.
IDLE_TIMEOUT: Final = timedelta(seconds=20)
# Ends repeat their last packets for up to 1.6 s.
CLOSED_LINGER: Final = timedelta(seconds=4)
# No flow lives longer; after it a restarted companion knows all flows.
LONGEST_FLOW: Final = timedelta(seconds=60)
# From the start of one process to that of the next, with a flow let in between:
# loading takes 60 ms and more, and the platform waits before it starts the next.
LOADING_TIME: Final = timedelta(milliseconds=300)
SWEEP_INTERVAL: Final = timedelta(seconds=1)
# One packet of an unknown flow in this time is given to the backend server.
PROBE_INTERVAL: Final = timedelta(milliseconds=150)
# Bounds the memory for flows: 300 bytes each. A backend server holds 2,000.
MAX_FLOWS: Final = 16_000
BUDGET_WINDOW: Final = timedelta(seconds=1)
