"""Constants of admission control."""

from datetime import timedelta
from typing import Final

# Concurrency limit.
GROWTH_COMPLETIONS: Final = 10
WEAK_GROWTH_COMPLETIONS: Final = 2
NEW_BASELINE_COMPLETIONS: Final = 20
IDLE_TIMEOUT: Final = timedelta(seconds=30)

# Latency baseline of one class.
BASELINE_SAMPLES: Final = 50
FASTER_BASELINE_SAMPLES: Final = 10
TYPICAL_LATENCY_FACTOR: Final = 1.5
STABLE_SLOW_FACTOR: Final = 2.0
VARIABLE_SLOW_FACTOR: Final = 1.5

# Order of work.
MAX_WAITING: Final = 256
USE_HALF_LIFE: Final = timedelta(seconds=5)
TARGET_HALF_LIFE: Final = timedelta(seconds=30)
RECENT_CLASS_WINDOW: Final = timedelta(seconds=30)
SERVICE_TIME_GAIN: Final = 0.125
MIN_RATE_SHARE: Final = 0.2
MIN_REMAINING_SHARE: Final = 0.1
SHORTFALL_STEP: Final = 0.1

# Refusals.
MIN_RETRY_AFTER: Final = timedelta(seconds=1)
RETRY_JITTER: Final = timedelta(seconds=2)
SHED_HEADER: Final = "request-shed"
SHED_FOR_DEADLINE: Final = "deadline"

# Flows.
SHARE_SLACK: Final = 0.02
CANDIDATE_SLACK: Final = 0.05
LOAD_REPORT_MAX_AGE: Final = timedelta(seconds=10)
EXCHANGE_INTERVAL: Final = timedelta(seconds=1)
EXCHANGE_PEERS: Final = 3
EXCHANGE_TIMEOUT: Final = timedelta(milliseconds=500)
