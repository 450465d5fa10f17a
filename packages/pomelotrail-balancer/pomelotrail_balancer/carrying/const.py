"""Constants of the carrying slice."""

from datetime import timedelta
from typing import Final

MILLISECOND: Final = timedelta(milliseconds=1)
# A companion answers an offer in a few milliseconds, across zones too.
OFFER_TIMEOUT: Final = timedelta(milliseconds=40)
# Timers of a process that is not overloaded end within a millisecond or two.
LATE: Final = timedelta(milliseconds=10)
# A process that is overloaded for longer than these waits can't serve the flow.
MAX_LATE_TIMEOUTS: Final = 5
# A companion reports a silent backend server after 60 ms; see its doorway.
SERVER_ANSWER_TIMEOUT: Final = timedelta(milliseconds=80)
# Offers for one copy of an opening: the preferred companions, some others, and
# the shortest queues; each costs up to a round trip.
MAX_OFFERS: Final = 14
# Openings placed before packets and messages are read again; each takes half a
# millisecond of processor time.
OPENINGS_PER_TURN: Final = 4
# Callers send a copy of an opening after 200 ms.
MAX_OPENING_WAIT: Final = timedelta(milliseconds=200)
# Callers send the first copy of an opening after 200 ms.
MIN_COPY_INTERVAL: Final = timedelta(milliseconds=150)
# Companions answer a lookup in a few milliseconds; then all others are asked.
LOOKUP_STAGE: Final = timedelta(milliseconds=15)
# Second stages of lookups: a question, its answer and their handling take some 60
# microseconds, so these fill a quarter of a core.
LOOKUP_MESSAGES_PER_CORE_S: Final = 4_000
# Questions take 90 bytes on the wire, so these fill a quarter of a link.
LOOKUP_MESSAGES_PER_MBIT: Final = 350
# What the smallest VM served today carries beside its packets.
LEAST_LOOKUP_MESSAGES_PER_S: Final = 150.0
# Packets that arrive together are read within this time; their flows share messages.
GATHERING: Final = timedelta(milliseconds=2)
# 12 bytes and their frame a flow; with these a message stays below 1,200 bytes.
FLOWS_PER_QUESTION: Final = 72
# So many more flows cost a message as much as another message of one flow.
FLOWS_PER_MESSAGE_UNIT: Final = 8
# Companions answer in milliseconds, slowed ones and slow links within a second.
ANSWER_LIFETIME: Final = timedelta(seconds=2)
# Callers send lost packets again after 200 ms and more; a companion that is asked
# again sooner would be asked before it had a chance to start.
LOOKUP_INTERVAL: Final = timedelta(milliseconds=150)
# A failed check cost a call to the store; the next one waits this long.
CHECK_RETRY: Final = timedelta(milliseconds=400)
# Callers repeat a packet within 1.6 s while they wait for its answer.
LOOKUP_LIFETIME: Final = timedelta(seconds=2)
# At 200 servers a lookup takes up to 16 KB; these bound the memory to 8 MB.
MAX_LOOKUPS: Final = 500
# A caller takes a reset that is this near to what it expects.
MAX_POSITION_STEP: Final = 76_800
# Ends have at most 16 packets in flight.
MAX_HELD_PACKETS: Final = 16
# Flows that send nothing for this long are looked up again if they return.
IDLE_FLOW: Final = timedelta(seconds=20)
# A flow costs about 620 bytes; 20,000 of them are 12 MB.
MAX_FLOWS: Final = 20_000
PING_INTERVAL: Final = timedelta(milliseconds=200)
# Callers give up an opening after 1.4 s; older packets serve nobody.
EARLY_PACKET_LIFETIME: Final = timedelta(milliseconds=1_400)
# Bounds the memory of a balancer without configuration to about 1 MB.
MAX_EARLY_PACKETS: Final = 1_000
