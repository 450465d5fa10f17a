"""What a process is to membership."""

import enum


class MemberRole(enum.Enum):
    """Balancers watch; companions are watched."""

    BALANCER = "balancer"
    COMPANION = "companion"
