"""Counters and latency histograms of hot paths, rendered on scrape."""

from .counters import Counters, LatencyHistogram

__all__ = ["Counters", "LatencyHistogram"]
