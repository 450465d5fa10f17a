"""Tests of the shared modules."""
