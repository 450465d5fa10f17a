"""Constants of the messages between balancers and companions."""

from typing import Final

# A probe request for so many servers, with a packet of 1,200 bytes, stays below
# 1,700 bytes.
MAX_PROBES_PER_REQUEST: Final = 64
