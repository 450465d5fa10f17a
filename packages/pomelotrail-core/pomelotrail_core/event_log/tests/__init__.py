"""Tests of the event log."""
