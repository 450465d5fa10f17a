"""Tests of the packets of flows."""
