"""Constants of flow balancing."""

from datetime import timedelta
from typing import Final

MILLISECOND: Final = timedelta(milliseconds=1)
# Companions reply to an offer within a few milliseconds, also across zones. Observed
# reply times lengthen the timeout.
OFFER_TIMEOUT: Final = timedelta(milliseconds=40)
# Callers retransmit an opening packet after 200 ms.
MAX_OFFER_TIMEOUT: Final = timedelta(milliseconds=200)
# Late replies to so many offers are still used; an offer takes about 200 bytes.
MAX_OVERDUE_OFFERS: Final = 1_000
# Unless the process is overloaded, timers fire within 2 ms of their deadline.
LATE_TIMER_THRESHOLD: Final = timedelta(milliseconds=10)
# A process that is overloaded for longer than this can't serve the flow.
MAX_LATE_TIMEOUTS: Final = 5
# A companion reports an unresponsive backend server after 60 ms; see FlowAdmission.
SERVER_ANSWER_TIMEOUT: Final = timedelta(milliseconds=80)
# Offers per opening packet: to the preferred companions, some others, and those
# with the shortest queues; each takes up to a round trip.
MAX_OFFERS: Final = 14
# Opening packets placed before the event loop reads packets and messages again;
# each takes half a millisecond of processor time.
OPENINGS_PER_ITERATION: Final = 4
# Callers retransmit an opening packet after 200 ms.
MAX_OPENING_WAIT: Final = timedelta(milliseconds=200)
# The first retransmission of an opening packet follows after 200 ms.
MIN_RETRANSMISSION_INTERVAL: Final = timedelta(milliseconds=150)
# Callers retransmit an opening packet so long after they first sent it.
RETRANSMISSION_TIMES: Final = (timedelta(milliseconds=200), timedelta(milliseconds=600))
# Companions reply within a few milliseconds; then all others are queried.
LOOKUP_STAGE_TIMEOUT: Final = timedelta(milliseconds=15)
# Limit for the second stage of lookups: a query, its reply and their handling take
# about 60 microseconds, so this uses a quarter of a core.
LOOKUP_MESSAGES_PER_CORE_S: Final = 4_000
# Queries take 90 bytes on the wire, so this uses a quarter of the link.
LOOKUP_MESSAGES_PER_MBIT: Final = 350
# The smallest VM in use handles this rate in addition to its packets.
MIN_LOOKUP_MESSAGES_PER_S: Final = 150.0
# Size of a query for one flow with its IP and UDP headers.
QUERY_BYTES: Final = 90
DATAGRAM_OVERHEAD_BYTES: Final = 28
# The reply to a probe takes half the bytes of a query.
PROBE_REPLY_COST: Final = 0.5
# Packets of a lookup to a server through a relay, before one is sent without: a relay
# may not reach the others.
MAX_RELAYED_PROBES: Final = 1
# Packets that one lookup sends to servers without a relay in one round: 24 KB, which
# take 40 ms on a link of 5 Mbit/s.
MAX_DIRECT_PROBES: Final = 20
# As in RFC 6298, a reply is overdue after the mean and four deviations. The average
# covers about the last ten replies.
REPLY_TIME_WEIGHT: Final = 0.1
REPLY_TIME_DEVIATIONS: Final = 4
# Companions of a lost zone among those that a flow is offered to first.
MAX_FAILED_COMPANIONS: Final = 3
MAX_TIMEOUT_DOUBLINGS: Final = 4
# Packets that arrive together are read within this time, and their flows are
# looked up with the same messages.
BATCH_INTERVAL: Final = timedelta(milliseconds=2)
# A flow takes 12 bytes and its framing; keeps a message below 1,200 bytes.
MAX_FLOWS_PER_QUERY: Final = 72
# This many flows in a message cost as much as another message for one flow.
FLOWS_PER_MESSAGE_UNIT: Final = 8
# Companions reply in milliseconds; slow ones and slow links within a second.
QUERY_LIFETIME: Final = timedelta(seconds=2)
# A companion that has just started doesn't know all flows for up to 60 s; it is
# asked again after this time.
UNSURE_RETENTION: Final = timedelta(seconds=5)
# Callers retransmit after 200 ms or more; a shorter interval would query a
# companion again before it had time to start. Slow links lengthen it.
LOOKUP_RETRY_INTERVAL: Final = timedelta(milliseconds=150)
# Rounds of queries after which a flow may be at a service that its route left, although
# not all servers of its route have answered.
ROUNDS_BEFORE_WIDENING: Final = 3
# A failed check costs a call to the store, so the next one is delayed.
CHECK_RETRY_DELAY: Final = timedelta(milliseconds=400)
# Callers retransmit a packet within 1.6 s while they wait for its answer.
LOOKUP_IDLE_TIMEOUT: Final = timedelta(seconds=2)
# With 200 servers a lookup takes up to 16 KB; limits the memory to 8 MB.
MAX_LOOKUPS: Final = 500
# Callers accept a reset within this distance of the sequence number they expect.
MAX_SEQUENCE_DISTANCE: Final = 76_800
# Endpoints have at most 16 packets in flight.
MAX_HELD_PACKETS: Final = 16
# Flows without a packet for this long are evicted, and looked up again if needed.
FLOW_IDLE_TIMEOUT: Final = timedelta(seconds=20)
# A flow takes about 620 bytes; limits the memory to 12 MB.
MAX_FLOWS: Final = 20_000
PING_INTERVAL: Final = timedelta(milliseconds=200)
# Callers give up an opening after 1.4 s, so older packets are useless.
EARLY_PACKET_LIFETIME: Final = timedelta(milliseconds=1_400)
# Limits the memory of a balancer without configuration to about 1 MB.
MAX_EARLY_PACKETS: Final = 1_000
