"""Tests of the spread."""
