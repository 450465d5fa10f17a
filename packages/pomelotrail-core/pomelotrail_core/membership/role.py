"""Roles of a process in membership."""

import enum


class MemberRole(enum.Enum):
    """Balancers monitor companions; companions send heartbeats."""

    BALANCER = "balancer"
    COMPANION = "companion"
