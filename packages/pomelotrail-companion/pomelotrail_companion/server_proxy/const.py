"""Constants of the server proxy."""

from datetime import timedelta
from typing import Final

MILLISECOND: Final = timedelta(milliseconds=1)
# Callers stop retransmitting an opening packet after 1.4 s. A server that discards a
# flow sooner after accepting it has probably started again.
OPENING_TIMEOUT: Final = timedelta(milliseconds=1_500)
# Packets between zones take 3 ms each way. Callers send their request with the last
# packet of the handshake, or retransmit a lost one after 200 ms.
FIRST_REQUEST_TIMEOUT: Final = timedelta(milliseconds=250)
# A backend server accepts a flow in 0.3 ms; only a slow or failed one takes longer.
SERVER_ACCEPT_TIMEOUT: Final = timedelta(milliseconds=60)
# The longest request timeout of callers is 12 s; a later response is discarded.
REQUEST_TIMEOUT: Final = timedelta(seconds=12)
# After this time, or this many times the observed processing time if that is longer,
# the slot of a request counts as free: no request of a service runs longer.
RUNNING_TIMEOUT: Final = timedelta(seconds=2)
RUNNING_WORK_FACTOR: Final = 32
# A request that runs this long is probably lost, as with the timeout above; a server
# at half speed responds in time.
OVERDUE_AFTER: Final = timedelta(seconds=1)
OVERDUE_WORK_FACTOR: Final = 16
# A server with intermittent failures fails again within seconds; a server that has
# recovered should soon get new flows again.
UNANSWERED_WINDOW: Final = timedelta(seconds=5)
# Makes a server with two slots decline offers that require a free slot.
UNANSWERED_LOAD_PENALTY: Final = 2
# A backend server that lost a flow has started again, unless it discarded the flow as
# idle: operators allow more than this.
LOST_FLOW_MAX_IDLE: Final = timedelta(seconds=5)
# Balancers know within this time that a server has started again.
RESTART_READ_DELAY: Final = timedelta(seconds=3)
# Connections on the same VM are accepted or refused in less than 1 ms.
SERVER_CONNECT_TIMEOUT: Final = timedelta(milliseconds=200)
# Both endpoints retransmit their last packets for up to 1.6 s.
CLOSED_LINGER: Final = timedelta(seconds=4)
SWEEP_INTERVAL: Final = timedelta(seconds=1)
# Minimum time between two probes of an unknown flow to the backend server.
PROBE_INTERVAL: Final = timedelta(milliseconds=150)
# Companions deny a probe within a few milliseconds of the request, also across zones.
DENIAL_COLLECTION_TIME: Final = timedelta(milliseconds=12)
# Balancers repeat probes that had no reply after 150 ms or more.
DENIAL_RETENTION: Final = timedelta(seconds=1)
# Bounds the memory for collected denials: about 8 KB each with 64 companions.
MAX_DENIAL_COLLECTIONS: Final = 500
# Bounds the memory for flows: 300 bytes each. A backend server has up to 2,000.
MAX_FLOWS: Final = 16_000
BUDGET_WINDOW: Final = timedelta(seconds=1)
