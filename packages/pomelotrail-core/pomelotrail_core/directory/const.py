"""Constants of the directory slice."""

from datetime import timedelta
from typing import Final

# A watch that outlives its connection is noticed after this wait and the margin.
WATCH_WAIT: Final = timedelta(seconds=4)
ANSWER_MARGIN: Final = timedelta(seconds=1)
LIST_TIMEOUT: Final = timedelta(seconds=1)
# Changes that follow one another closely are read by one call. Operators bound the
# time until a change is in force by 3 s and more.
SETTLE: Final = timedelta(milliseconds=800)
# Waits between failed calls double from the first to the last.
FIRST_RETRY: Final = timedelta(milliseconds=100)
LAST_RETRY: Final = timedelta(milliseconds=800)
# A process without any configuration serves nobody, so it asks more often.
LAST_RETRY_UNUSABLE: Final = timedelta(milliseconds=200)
RETRY_JITTER: Final = 0.5
# Checks of the revision that are asked for within this time share a call.
CHECK_INTERVAL: Final = timedelta(milliseconds=20)
# Further calls are this far apart: each is priced, and after a power loss every
# open flow asks for one.
CHECK_PAUSE: Final = timedelta(milliseconds=150)
CHECK_TIMEOUT: Final = timedelta(milliseconds=400)
# Entries that expired during an outage are written again within this time.
LAPSE_GRACE: Final = timedelta(seconds=2)
# An outage explains a missing entry for this long after it ended.
OUTAGE_MEMORY: Final = timedelta(seconds=4)
# Flows may live this long at a backend server whose entry is gone.
FORMER_SERVER_MEMORY: Final = timedelta(seconds=60)
# Servers crash one by one, or a zone of three and more at once; when so many of those
# known go missing together without a word, their entries have lapsed in an outage
# that ended before a call failed.
FEWEST_LAPSED: Final = 3
LAPSED_SHARE: Final = 0.4
