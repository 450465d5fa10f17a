"""Tests of suspend detection."""
