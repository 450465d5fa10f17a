"""Forwards packets of flows between callers and companions."""

from .balancer import FlowBalancer
from .flow_table import FlowRecord, FlowTable
from .message_budget import lookup_messages_per_s

__all__ = ["FlowBalancer", "FlowRecord", "FlowTable", "lookup_messages_per_s"]
