"""Constants of the soak."""

from typing import Final

# What the users' pages promise, in seconds.
DRAIN_BOUND_S: Final = 3.0
ZONE_BOUND_S: Final = 5.0
CONFIGURATION_BOUND_S: Final = 3.0
# Promises with a time bound hold for processes that were left alone for so long.
CALM_S: Final = 4.0
RECOVERY_S: Final = 12.0
COLD_FACTOR: Final = 1.5
COLD_SLACK: Final = 5
# A cold server's entry must have reached everybody before its budget is checked.
COLD_NOTICE_S: Final = 1.5
COLD_TIME_S: Final = 3.0
COLD_PER_S: Final = 6.0

SLOTS: Final = 4
# Backend servers that don't register before a fault of their kind.
SPARE_SERVERS: Final = 2
WORK_S: Final = 0.02
# Fleets of parallel runs have loopback networks of their own.
FIRST_NETWORK: Final = 20
ZONES: Final = ("zone-1", "zone-2", "zone-3")
SERVICES: Final = ("ledger", "desk")
HOST: Final = "198.51.100.1"
PORTS: Final = {"ledger": 8443, "desk": 9443}
# The route that changes its service with each configuration.
MOVING_PORT: Final = 7443
CALLERS_PER_SERVICE: Final = 6
