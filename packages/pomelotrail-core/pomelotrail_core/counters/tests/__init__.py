"""Tests of counters."""
