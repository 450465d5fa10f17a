"""Tests for configuration distribution."""
