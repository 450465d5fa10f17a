"""Tests of waking late."""
