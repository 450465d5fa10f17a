"""Tests of the events for availability zones."""
