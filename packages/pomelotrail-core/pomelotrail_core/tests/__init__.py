"""Tests of what every slice uses."""
