"""Tests of flow balancing."""
