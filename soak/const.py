"""Constants of the soak."""

from typing import Final

# Time limits that the documentation promises, in seconds.
DRAIN_BOUND_S: Final = 3.0
ZONE_BOUND_S: Final = 5.0
CONFIGURATION_BOUND_S: Final = 3.0
# What a restored store lacks is written again within this time.
REWRITE_BOUND_S: Final = 2.0
# The promised time limits hold after a period without faults.
QUIET_PERIOD_S: Final = 4.0
RECOVERY_S: Final = 12.0
COLD_BUDGET_FACTOR: Final = 1.5
COLD_BUDGET_SLACK: Final = 5
# The entry of a cold server must have reached all processes before its budget is
# checked.
COLD_PROPAGATION_S: Final = 1.5
COLD_DURATION_S: Final = 3.0
COLD_FLOWS_PER_S: Final = 6.0

# Callers ignore a reset of an open flow whose sequence number is further than this
# from the last one that they acknowledged.
MAX_RESET_DISTANCE: Final = 76_800
# The time of day of a VM jumps by up to this much around the start of its server.
CLOCK_ERROR_MS: Final = 3_000

SLOTS_PER_SERVER: Final = 4
# Priorities of the routes to one service each, and of the moving route: in a fleet
# with bursts these differ, and servers have one slot.
URGENT_PRIORITY: Final = 0
ORDINARY_PRIORITY: Final = 1
# Backend servers that don't register before a `server add` fault.
SPARE_SERVERS: Final = 2
REQUEST_DURATION_S: Final = 0.02
# Longer, so that a burst that the soak process can relay is too much for the servers.
BURST_REQUEST_DURATION_S: Final = 0.05
ZONES: Final = ("zone-1", "zone-2", "zone-3")
SERVICES: Final = ("ledger", "desk")
SERVICE_ADDRESS: Final = "198.51.100.1"
PORTS: Final = {"ledger": 8443, "desk": 9443}
# Port of the route whose service changes with each configuration.
MOVING_PORT: Final = 7443
CALLERS_PER_SERVICE: Final = 6
# A single server of one slot can carry the callers of two routes.
CALLERS_BESIDE_BURSTS: Final = 2

# A process that got SIGTERM must have ended by then, with the time it may be
# suspended; the platform allows 6 s.
STOP_BOUND_S: Final = 12.0
# The platform starts a process that ended by itself again after this time.
END_RESTART_DELAY_S: Final = 0.5
# Small, so that a pipe that nobody reads is full at once.
PIPE_BYTES: Final = 4_096
READ_BYTES: Final = 65_536
METRICS_PORT: Final = 9464
